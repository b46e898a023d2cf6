"""Which placement advice a round requests, and on which workers.

Advice on a group that cannot start soon is worthless: its tickets expire, and
its calls delay those on groups that could start now.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Final

from jayshore.fleet.demands import GroupDemand, WorkerHeadroom
from jayshore.fleet.eligibility import count_fits
from jayshore.fleet.model import AdvicePolicy

LONG_CALL_MS: Final = 60
"""Expected duration from which a call counts as long, in ms."""

MAX_ADVICE_WORKERS: Final = 80
"""Maximum number of workers in a request; the service accepts up to 100."""

_MIN_ADVICE_WORKERS: Final = 24
"""Minimum number of workers in a request for advice, if that many exist."""

_ADVICE_WORKERS_PER_NEEDED: Final = 10
"""Workers in a request for each empty worker that the group would fill.

The service permits a third of the workers for the widest groups, and on a busy
fleet a quarter of a worker is free.
"""

SOON_SHARE: Final = 0.5
"""Share of the processors of a service that become free while a ticket holds.

A ticket is valid for 2.5 s, and tasks run for 0.6 to 5 s.
"""


def expected_call_ms(policy: AdvicePolicy, worker_count: int) -> float:
    """Estimate the duration of a call to the advice service.

    Args:
        policy: response times of the service.
        worker_count: number of workers in the request.

    Returns:
        The duration, in ms.
    """
    return policy.decision_ms + policy.per_worker_ms * worker_count


class CallBudget:
    """Calling time that is left for requests until tickets would expire."""

    def __init__(self, *, long_ms: float, all_ms: float) -> None:
        """Create a budget.

        Args:
            long_ms: calling time left for long calls, in ms.
            all_ms: calling time left for all calls, in ms.
        """
        self._long_ms = long_ms
        self._all_ms = all_ms

    def has_time_for(self, expected_ms: float) -> bool:
        """Return whether there is time for a call.

        Args:
            expected_ms: expected duration of the call, in ms.

        Returns:
            False when the call would begin too late.
        """
        left = self._all_ms
        if expected_ms >= LONG_CALL_MS:
            left = min(left, self._long_ms)
        return left > 0

    def take(self, expected_ms: float) -> None:
        """Spend the time of a call.

        Args:
            expected_ms: expected duration of the call, in ms.
        """
        self._all_ms -= expected_ms
        if expected_ms >= LONG_CALL_MS:
            self._long_ms -= expected_ms


class AdviceGate:
    """Decides in the order of ranks which groups may request advice."""

    def __init__(
        self,
        *,
        workers: Iterable[WorkerHeadroom],
        limits: Mapping[str, float],
        budget: CallBudget,
    ) -> None:
        """Create a gate at the start of a round.

        Args:
            workers: headroom of the usable workers.
            limits: thousandths of a core that a workspace with a maximum may
                start now or soon.
            budget: calling time that is left.
        """
        self._budget = budget
        self._closed = False
        self._limits = dict(limits)
        self._soon: dict[str, float] = {}
        for worker in workers:
            soon = (
                worker.free.cpu_millis + SOON_SHARE * worker.capacity.cpu_millis
            )
            service = worker.service
            self._soon[service] = self._soon.get(service, 0) + soon

    def close(self) -> None:
        """Refuse everything from now on."""
        self._closed = True

    def note_group(self, service: str, workspace: str, cpu_millis: int) -> None:
        """Count a group that ranks before all that follow.

        What a workspace cannot start soon keeps no other workspace waiting.

        Args:
            service: service whose workers run it.
            workspace: its owner.
            cpu_millis: processor time that its waiting tasks need together.
        """
        left = self._limits.get(workspace)
        if left is not None:
            self._limits[workspace] = left - cpu_millis
        if left is None or left > 0:
            self._soon[service] = self._soon.get(service, 0) - cpu_millis

    def may_ask(
        self, service: str, workspace: str, policy: AdvicePolicy | None
    ) -> bool:
        """Return whether the next group may request advice.

        Args:
            service: service whose workers run it.
            workspace: its owner.
            policy: response times of the service, None when unknown.

        Returns:
            True while the better ranked groups leave room now or soon, and
            calling time is left.
        """
        if self._closed or self._soon.get(service, 0) <= 0:
            return False
        if self._limits.get(workspace, 1) <= 0:
            return False
        if policy is None:
            return True
        least = expected_call_ms(policy, _MIN_ADVICE_WORKERS)
        return self._budget.has_time_for(least)

    def note_request(
        self, policy: AdvicePolicy | None, worker_count: int
    ) -> None:
        """Count a request.

        Args:
            policy: response times of the service, None when unknown.
            worker_count: number of workers in the request.
        """
        if policy is not None:
            self._budget.take(expected_call_ms(policy, worker_count))


class OpenGate(AdviceGate):
    """Lets every group ask, for a round that is not part of a backlog."""

    def __init__(self) -> None:
        """Create a gate without limits."""
        super().__init__(
            workers=(),
            limits={},
            budget=CallBudget(long_ms=math.inf, all_ms=math.inf),
        )

    def may_ask(
        self, service: str, workspace: str, policy: AdvicePolicy | None
    ) -> bool:
        """Let the group ask.

        Args:
            service: not used.
            workspace: not used.
            policy: not used.

        Returns:
            True.
        """
        return True


def choose_workers_to_ask(
    demand: GroupDemand,
    first: WorkerHeadroom,
    by_preference: Iterable[WorkerHeadroom],
) -> list[str]:
    """Choose workers for a request for advice, healthy and empty ones first.

    Args:
        demand: waiting tasks.
        first: a worker that earlier advice did not cover, whose capacity
            stands for that of all.
        by_preference: the workers that may run them, the best one first.

    Returns:
        Ids of workers that earlier advice did not cover.
    """
    per_worker = max(1, count_fits(demand, first.capacity))
    wanted = _ADVICE_WORKERS_PER_NEEDED * math.ceil(
        len(demand.indexes) / per_worker
    )
    count = min(MAX_ADVICE_WORKERS, max(_MIN_ADVICE_WORKERS, wanted))
    known = demand.evaluated
    uncovered = (
        worker.worker_id
        for worker in by_preference
        if worker.worker_id not in known
    )
    return list(itertools.islice(uncovered, count))
