"""The data model of the configuration files.

The entries of each file have a class of their own. Constraints on single fields
are part of their types; rules that span fields or files are in
`jayshore.config.checks`.
"""

import dataclasses
import enum
from typing import Annotated, TypeAlias

import msgspec

from jayshore.clock import Millis
from jayshore.resources import Resources

# Names become parts of store keys and URLs, so slashes and dots are not
# allowed. `\Z` is used because `$` also matches before a trailing newline.
Name: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9_-]{0,62}\Z')
]
Sha256Hex: TypeAlias = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}\Z')]
# Numbers stay below 2**31, so that they and sums of a few of them fit into the
# fields of the peer protocol.
MAX_NUMBER = 2**31 - 1
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
PositiveMillis: TypeAlias = Annotated[Millis, msgspec.Meta(gt=0, le=MAX_NUMBER)]
Positive: TypeAlias = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
NotNegative: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# An objective of 1 leaves no error budget, so its burn rate is undefined.
Objective: TypeAlias = Annotated[float, msgspec.Meta(gt=0, lt=1)]


class WorkKind(enum.StrEnum):
    """The kinds of work; policies and targets depend on the kind."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'
    PREVIEW = 'preview'


class DomainState(enum.StrEnum):
    """Whether a failure domain still holds its grants of the team limits."""

    ACTIVE = 'active'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A service-level target of a team for one kind of work.

    Attributes:
        work: the kind of work.
        waiting_ms: longest waiting time with which a start counts as good.
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
        share: fair-share weight of the team when the cell is full.
        limit: resources that the team may use across all domains.
        max_waiting: largest number of waiting jobs; further ones are refused.
        targets: service-level targets, at most one per kind of work.
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
        team: the team that the key authenticates.
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
        kind: the kind of work that the queue accepts.
        open: whether jobs without a key are accepted.
        team: for an open queue, the team on whose account jobs run.
        urgent: whether jobs may use the urgent reserve, which batch cannot
            fill.
        max_waiting: largest number of waiting jobs in the queue.
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
        open: whether requests without a key are accepted.
        team: for an open service, the team on whose account requests run.
        max_queue: largest number of requests that wait for a slot.
        default_timeout_ms: timeout of a request that does not set one.
    """

    name: Name
    open: bool = False
    team: Name | None = None
    max_queue: Count
    default_timeout_ms: PositiveMillis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Weights:
    """Weights of the terms of the placement score.

    The candidates are the 32 workers with the least free capacity that still
    fit a task; `jayshore.placement.scoring` has the formula.

    Attributes:
        packing: preference for workers with higher utilisation.
        spread: preference for racks, domains and workers with fewer replicas
            of a service.
        health: preference for workers with fewer failures.
    """

    packing: NotNegative = 1.0
    spread: NotNegative = 1.0
    health: NotNegative = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Aging:
    """Aging of waiting work, which prevents starvation.

    Priority rises with the waiting time from `after_ms` to `full_ms`, and over
    this time makes up for one whole share in use by the team. Shares are
    ignored among work that has waited for `full_ms`, so the default exceeds the
    usual waiting times of a full cell.

    Attributes:
        after_ms: waiting time from which priority rises.
        full_ms: waiting time at which work precedes all younger work except
            previews, urgent work and work close to its deadline. These are
            aged separately; work close to its deadline goes by deadline.
    """

    after_ms: PositiveMillis = Millis(30_000)
    full_ms: PositiveMillis = Millis(14_400_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """When running work is preempted.

    Attributes:
        enabled: whether work is preempted for fair share; a lowered limit
            stops work in any case.
        above_share: ratio of usage to share from which a team is preempted.
        checkpoint_ms: time for a task to write a checkpoint before it is
            stopped, for fair share or for a lowered limit.
    """

    enabled: bool = True
    above_share: Annotated[float, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 1.1
    checkpoint_ms: PositiveMillis = Millis(10_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryBudget:
    """How many retries are allowed per team and per upstream.

    Attributes:
        ratio: retries allowed per first attempt.
        min_per_s: retries per second that are allowed at any request rate.
        max_attempts: attempts of one request or task, including the first.
    """

    ratio: NotNegative = 0.1
    min_per_s: NotNegative = 1.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policies:
    """The content of `policies.json`; all fields are optional."""

    weights: Weights = Weights()
    aging: Aging = Aging()
    preemption: Preemption = Preemption()
    retry_budget: RetryBudget = RetryBudget()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Domain:
    """One entry of `domains.json`.

    Attributes:
        name: unique among failure domains.
        region: the region of the domain.
        state: `lost` releases its grants of the team limits to other domains.
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
        address: IP address and port of its peer listener.
    """

    name: Name
    domain: Name
    address: str
