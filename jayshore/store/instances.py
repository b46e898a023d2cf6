"""The platform's list of instances."""

import abc
import dataclasses
import enum


class InstanceKind(enum.StrEnum):
    """Role of an instance."""

    WORKER = 'worker'
    EXECUTOR = 'executor'


class InstanceState(enum.StrEnum):
    """Whether the platform keeps an instance or is about to remove it."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """One listed instance.

    Attributes:
        id: id given by the platform, never reused for another instance.
        kind: worker or executor.
        address: `host:port` that it listens on.
        domain: its failure domain.
        rack: rack within the domain.
        state: live or leaving.
        service: service that an executor belongs to, if any.
    """

    id: str
    kind: InstanceKind
    address: str
    domain: str
    rack: str = ''
    state: InstanceState = InstanceState.LIVE
    service: str | None = None


class InstanceList(abc.ABC):
    """Reads the list of live and leaving instances.

    The platform updates the list with a delay, so it may miss recent changes.
    """

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Read the list.

        Returns:
            All listed instances.

        Raises:
            StoreUnavailable: the platform did not give a valid answer.
        """  # noqa: DAR401 raised by implementations
