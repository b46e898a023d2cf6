"""Makes the demands of waiting groups, as a placement round takes them."""

from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.demands import GroupDemand
from jayshore.fleet.jobtable import GroupEntry, TaskEntry
from jayshore.fleet.model import Queue
from jayshore.fleet.probation import Probation, is_suspect
from jayshore.fleet.ranking import Rank, longest_chain_ms, objective_ms
from jayshore.fleet.speedorder import is_tight
from jayshore.fleet.waiting import WaitingGroup

AVOID_FAILED_MS: Final = Millis(1500)
"""How long a last attempt waits for a worker without a failure, in ms.

Work that can start has to start within 3 s, and a run takes about one second.
"""


class DemandMaker:
    """Makes demands from the present state of groups."""

    def __init__(self, *, probation: Probation) -> None:
        """Create a maker.

        Args:
            probation: knows the tasks under suspicion.
        """
        self._probation = probation

    def make(
        self,
        waiting: WaitingGroup,
        rank: Rank,
        now: Millis,
        *,
        any_worker: bool,
    ) -> list[GroupDemand]:
        """Make the demands of a group.

        Args:
            waiting: the group.
            rank: its present rank.
            now: time on the local clock, in ms.
            any_worker: it may use quarantined workers.

        Returns:
            One demand, or two when some of its tasks are under suspicion,
            which come first.
        """
        return [
            self._make_one(waiting, part, rank, now, any_worker=any_worker)
            for part in split_suspects(waiting.group, waiting.tasks)
        ]

    def _make_one(
        self,
        waiting: WaitingGroup,
        tasks: list[TaskEntry],
        rank: Rank,
        now: Millis,
        *,
        any_worker: bool,
    ) -> GroupDemand:
        group = waiting.group
        queue = waiting.queue
        spec = group.spec
        job = group.job.job
        path_ms = longest_chain_ms(job, group.group_id.group)
        due_at = group.job.accepted_at + objective_ms(job, queue)
        suspect = any(map(is_suspect, tasks))
        likely = (
            suspect
            and not (spec.gang or spec.long_running)
            and self._probation.is_likely(tasks)
        )
        return GroupDemand(
            group_id=group.group_id,
            rank=rank,
            indexes=tuple(entry.task_id.position for entry in tasks),
            need=spec.reserved,
            service=queue.service,
            workspace=group.job.job.workspace,
            gang=spec.gang,
            long_running=spec.long_running,
            same_rack=spec.same_rack,
            required_label=spec.required_label,
            data_rack=spec.data_rack,
            max_per_worker=spec.max_per_worker,
            advised=queue.advice is not None,
            tickets={
                worker: ticket.valid_until
                for worker, ticket in group.tickets.items()
            },
            evaluated=frozenset(group.evaluated),
            advice_pending=group.advice_pending,
            failed_on=frozenset(group.failed_on),
            last_attempt=should_avoid_failed_workers(group, tasks, queue, now),
            suspect=suspect,
            likely=likely,
            any_worker=any_worker,
            policy=queue.advice,
            patient=suspect
            and self._probation.is_patient(group, now, likely=likely),
            path_ms=path_ms,
            tight=is_tight(path_ms, Millis(due_at - now)),
        )


def split_suspects(
    group: GroupEntry, waiting: list[TaskEntry]
) -> list[list[TaskEntry]]:
    """Split waiting tasks into those under suspicion and the others."""
    suspects = [task for task in waiting if is_suspect(task)]
    if group.spec.gang or not suspects:
        return [waiting]
    others = [task for task in waiting if not is_suspect(task)]
    return [part for part in (suspects, others) if part]


def should_avoid_failed_workers(
    group: GroupEntry, waiting: list[TaskEntry], queue: Queue, now: Millis
) -> bool:
    """Return whether a last attempt should wait for a worker without failures.

    Gangs never wait, because they need many workers at once.
    """
    if group.spec.gang or group.failed_at is None:
        return False
    if now - group.failed_at >= AVOID_FAILED_MS:
        return False
    return any(entry.failures >= queue.max_attempts - 1 for entry in waiting)
