"""The platform's lagging list of instances."""

import abc
import dataclasses
import enum


class InstanceKind(enum.StrEnum):
    """What an instance does."""

    WORKER = 'worker'
    EXECUTOR = 'executor'


class InstanceState(enum.StrEnum):
    """What the platform intends with an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """One listed instance.

    Attributes:
        id: the platform's id, never used again after the instance is gone.
        kind: worker or executor.
        address: where it listens, `host:port`.
        domain: failure domain.
        rack: rack within the domain.
        state: live or leaving.
        service: the service of an executor.
    """

    id: str
    kind: InstanceKind
    address: str
    domain: str
    rack: str = ''
    state: InstanceState = InstanceState.LIVE
    service: str | None = None


class InstanceList(abc.ABC):
    """The list of live and leaving instances, which lags behind."""

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Read the list.

        Returns:
            All listed instances.

        Raises:
            StoreUnavailable: the platform did not answer.
        """  # noqa: DAR401 raised by implementations
