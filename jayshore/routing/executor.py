"""Interface to one executor, independent of the transport.

The error types tell whether a request certainly did not run or may have run.
Every outcome depends on this distinction.
"""

import abc
import dataclasses
import enum

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError


class ExecutorError(JayshoreError):
    """Base class of the errors of calls to an executor."""


class ExecutorUnreachable(ExecutorError):  # noqa: N818
    """The call was certainly not sent completely and had no effect."""


class ExecutorLost(ExecutorError):  # noqa: N818
    """The call was sent without a usable answer; it may have had effect."""


class ExecutorTimedOut(ExecutorError):  # noqa: N818
    """The call was sent and not answered in time; it may have had effect."""


class ExecutorFenced(ExecutorError):  # noqa: N818
    """The executor refused the call without effect: it has a newer lease."""


class RunState(enum.StrEnum):
    """State of a request as the executor knows it."""

    NEVER = 'never'
    RUNNING = 'running'
    FINISHED = 'finished'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningRequest:
    """A request in the inventory of an executor."""

    request_id: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Inventory:
    """What an executor reports when its lease is opened or renewed.

    Attributes:
        leaving: the executor takes no new requests.
        running: the requests that are running.
    """

    leaving: bool
    running: tuple[RunningRequest, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenedLease:
    """A lease on an executor.

    Attributes:
        lease_id: fencing token of the requests sent under the lease.
        boot_id: changes when the executor restarts and forgets its requests.
        slots: number of requests that it runs at a time.
        connections: number of connections that it accepts.
        inventory: what was running when the lease was opened.
    """

    lease_id: int
    boot_id: str
    slots: int
    connections: int
    inventory: Inventory


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutedRequest:
    """A request on its way to an executor.

    Attributes:
        request_id: unique id, echoed by the executor.
        service: name of the service.
        team: the team for which it runs.
        idempotent: whether it may be run again after it has run.
        timeout_ms: how long the caller waits, from the call of
            `Router.route`.
        body: the payload, which routing does not interpret.
        content_type: media type of the body.
    """

    request_id: str
    service: str
    team: str
    idempotent: bool
    timeout_ms: Millis
    body: bytes = b''
    content_type: str = 'application/octet-stream'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorAnswer:
    """An answer, which belongs to the request that its id names."""

    request_id: str
    body: bytes
    content_type: str = 'application/octet-stream'


class ExecutorClient(abc.ABC):
    """Calls one executor. Implementations bound the time of every call."""

    @abc.abstractmethod
    async def open(self, epoch: int) -> OpenedLease:
        """Open a new lease, which ends all earlier ones.

        Args:
            epoch: epoch of the leadership under which it is opened.

        Returns:
            The lease and the inventory.

        Raises:
            ExecutorFenced: the executor has seen a higher epoch.
            ExecutorUnreachable: the call was not sent.
            ExecutorLost: the call was sent and not answered.
            ExecutorTimedOut: the call was sent and not answered in time.
        """

    @abc.abstractmethod
    async def renew(self, lease_id: int) -> Inventory:
        """Renew the lease by a long poll for a change of the inventory.

        Args:
            lease_id: the newest lease.

        Returns:
            The inventory, once it has changed or the client's polling time is
            over.

        Raises:
            ExecutorFenced: the lease is not the newest one.
            ExecutorUnreachable: the call was not sent.
            ExecutorLost: the call was sent and not answered.
            ExecutorTimedOut: the call was sent and not answered in time.
        """

    @abc.abstractmethod
    async def run(
        self,
        request: RoutedRequest,
        *,
        lease_id: int,
        timeout_ms: Millis,
    ) -> ExecutorAnswer:
        """Send a request and return the next answer on its connection.

        The answer may belong to another request. In that case the client
        closes the connection, since its further answers would be mismatched as
        well. The client sends the request at most once, even when a pooled
        connection turns out to be closed after the whole request was written.

        Args:
            request: the request to run.
            lease_id: the lease under which it is sent.
            timeout_ms: how long to wait for the answer, in ms.

        Returns:
            The answer.

        Raises:
            ExecutorFenced: the lease is not the newest one; the request did
                not run.
            ExecutorUnreachable: the request was not sent.
            ExecutorLost: the request was sent and not answered completely.
            ExecutorTimedOut: the request was sent and not answered in time.
        """

    @abc.abstractmethod
    async def state_of(self, request_id: str) -> RunState:
        """Query the state of a request.

        Args:
            request_id: id of the request.

        Returns:
            The state, as far as the executor knows it since its last restart.

        Raises:
            ExecutorUnreachable: the call was not sent.
            ExecutorLost: the call was sent and not answered.
            ExecutorTimedOut: the call was sent and not answered in time.
        """
