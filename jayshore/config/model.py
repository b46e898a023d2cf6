"""The content of the configuration files.

Each class is one entry of one file. What a single field may hold is stated in
its type; rules across fields and files are in `jayshore.config.checks`.
"""

import dataclasses
import enum
from typing import Annotated, TypeAlias

import msgspec

from jayshore.clock import Millis
from jayshore.resources import Resources

# Names become parts of store keys and URLs, hence no slash and no dot. `\Z`
# is used because `$` would let a trailing newline pass.
Name: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9_-]{0,62}\Z')
]
Sha256Hex: TypeAlias = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}\Z')]
# Numbers stay below 2**31, so that they fit into the fields of the inner
# protocol, also after a few of them are added up.
MAX_NUMBER = 2**31 - 1
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
PositiveMillis: TypeAlias = Annotated[Millis, msgspec.Meta(gt=0, le=MAX_NUMBER)]
Positive: TypeAlias = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
NotNegative: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# An objective of 1 leaves no error budget, so a burn rate has no meaning.
Objective: TypeAlias = Annotated[float, msgspec.Meta(gt=0, lt=1)]


class WorkKind(enum.StrEnum):
    """The kinds of work, each with its own policy and targets."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'
    PREVIEW = 'preview'


class DomainState(enum.StrEnum):
    """Whether a failure domain still holds its part of the team limits."""

    ACTIVE = 'active'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A service-level target of a team for one kind of work.

    Attributes:
        work: the kind of work.
        waiting_ms: waiting time up to which a start counts as good.
        objective: fraction of all starts that have to be good.
    """

    work: WorkKind
    waiting_ms: PositiveMillis
    objective: Objective


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Team:
    """One entry of `teams.json`.

    Attributes:
        name: unique among teams.
        share: weight of the team when the cell is full.
        limit: what the team may run across the fleet.
        max_waiting: jobs that may wait, beyond which new ones are refused.
        targets: at most one per kind of work.
    """

    name: Name
    share: Positive
    limit: Resources
    max_waiting: Count
    targets: tuple[Target, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Key:
    """One entry of `keys.json`.

    Attributes:
        id: public part of the bearer key, unique among keys.
        team: the team that the key acts for.
        sha256: digest of the secret, in hex.
    """

    id: Name
    team: Name
    sha256: Sha256Hex


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """One entry of `queues.json`.

    Attributes:
        name: unique among queues.
        kind: the kind of work that the queue takes.
        open: whether work without a key is taken.
        team: for an open queue, the team on whose account work runs.
        urgent: whether work goes to the lane that batch cannot fill.
        max_waiting: jobs that may wait in the queue.
    """

    name: Name
    kind: WorkKind
    open: bool = False
    team: Name | None = None
    urgent: bool = False
    max_waiting: Count


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """One entry of `services.json`.

    Attributes:
        name: unique among services.
        open: whether requests without a key are taken.
        team: for an open service, the team on whose account requests run.
        max_queue: requests that may wait for a slot.
        default_timeout_ms: timeout of a request that names none.
    """

    name: Name
    open: bool = False
    team: Name | None = None
    max_queue: Count
    default_timeout_ms: PositiveMillis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Weights:
    """Weights of the terms of a placement score.

    The 32 workers with the least room on which a task fits are compared, with
    the formula of `jayshore.placement.scoring`.

    Attributes:
        packing: preference for workers that are already well filled.
        spread: preference for racks, domains and workers with fewer replicas
            of a service.
        health: preference for workers with fewer failures.
    """

    packing: NotNegative = 1.0
    spread: NotNegative = 1.0
    health: NotNegative = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Aging:
    """How waiting work rises, so that none starves.

    Rising outweighs the share that a team uses: one whole share over the time
    from `after_ms` to `full_ms`. Shares do not count among work that has waited
    for `full_ms`, so the default exceeds the waits of an ordinary full cell.

    Attributes:
        after_ms: waiting time from which work rises.
        full_ms: waiting time at which work precedes all that is younger, but
            for previews, urgent work and work whose deadline is close. These
            age among themselves, the last by deadline.
    """

    after_ms: PositiveMillis = Millis(30_000)
    full_ms: PositiveMillis = Millis(14_400_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """When running work gives way.

    Attributes:
        enabled: whether work is preempted for fair share at all; a lowered
            limit stops work in any case.
        above_share: ratio of use to share from which a team is preempted.
        checkpoint_ms: time a task has to checkpoint before it is stopped, for
            fair share or for a lowered limit.
    """

    enabled: bool = True
    above_share: Annotated[float, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 1.1
    checkpoint_ms: PositiveMillis = Millis(10_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryBudget:
    """How many retries are allowed per team and per upstream.

    Attributes:
        ratio: retries allowed per first attempt.
        min_per_s: retries per second allowed at any rate of attempts.
        max_attempts: attempts of one request or task, the first included.
    """

    ratio: NotNegative = 0.1
    min_per_s: NotNegative = 1.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policies:
    """The content of `policies.json`; every field may be left out."""

    weights: Weights = Weights()
    aging: Aging = Aging()
    preemption: Preemption = Preemption()
    retry_budget: RetryBudget = RetryBudget()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Domain:
    """One entry of `domains.json`.

    Attributes:
        name: unique among failure domains.
        region: the region that the domain lies in.
        state: `lost` releases its parts of the team limits to the others.
    """

    name: Name
    region: Name
    state: DomainState = DomainState.ACTIVE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """One entry of `instances.json`, the roster of daemons.

    Attributes:
        name: unique among daemons.
        domain: the failure domain of the daemon.
        address: IP number and port of its peer listener.
    """

    name: Name
    domain: Name
    address: str
