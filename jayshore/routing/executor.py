"""What routing needs of one executor, whatever the transport.

The error types carry the distinction on which every outcome depends: whether a
request certainly did not run, or may have run.
"""

import abc
import dataclasses
import enum

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError


class ExecutorError(JayshoreError):
    """Base of the failures of a call to an executor."""


class ExecutorUnreachable(ExecutorError):  # noqa: N818
    """The call was certainly not sent in whole, so it had no effect."""


class ExecutorLost(ExecutorError):  # noqa: N818
    """The call was sent and no usable answer came; it may have had effect."""


class ExecutorTimedOut(ExecutorError):  # noqa: N818
    """The call was sent and no answer came in time."""


class ExecutorFenced(ExecutorError):  # noqa: N818
    """The executor has a newer lease and refused the call without effect."""


class RunState(enum.StrEnum):
    """What an executor knows of a request."""

    NEVER = 'never'
    RUNNING = 'running'
    FINISHED = 'finished'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningRequest:
    """An entry of the inventory of an executor."""

    request_id: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Inventory:
    """What an executor reports when its lease is opened or renewed.

    Attributes:
        leaving: the executor takes no new work.
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
        slots: requests that it can run at a time.
        connections: connections that it accepts.
        inventory: what it was doing when the lease was opened.
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
        idempotent: whether it may run again after it has run.
        timeout_ms: how long the caller waits, counted from the call of
            `Router.route`.
        body: opaque.
        content_type: of the body.
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
    """An answer as it came in, to whichever request the id in it names."""

    request_id: str
    body: bytes
    content_type: str = 'application/octet-stream'


class ExecutorClient(abc.ABC):
    """The calls to one executor. Every call is bounded in time by the port."""

    @abc.abstractmethod
    async def open(self, epoch: int) -> OpenedLease:
        """Open a new lease, which ends all earlier ones.

        Args:
            epoch: of the leadership under which it is opened.

        Returns:
            The lease and the inventory.

        Raises:
            ExecutorFenced: the executor has seen a higher epoch.
            ExecutorUnreachable: not sent.
            ExecutorLost: sent, no answer.
            ExecutorTimedOut: sent, no answer in time.
        """

    @abc.abstractmethod
    async def renew(self, lease_id: int) -> Inventory:
        """Wait until the inventory changes, or for the port's polling time.

        Args:
            lease_id: the newest lease.

        Returns:
            The inventory.

        Raises:
            ExecutorFenced: the lease is not the newest one.
            ExecutorUnreachable: not sent.
            ExecutorLost: sent, no answer.
            ExecutorTimedOut: sent, no answer in time.
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

        The answer may belong to another request. In that case the port closes
        the connection, since its further answers would be out of step too. The
        port sends the request at most once, also when a pooled connection
        turns out to be closed after the whole request was written.

        Args:
            request: what to run.
            lease_id: the lease under which it is sent.
            timeout_ms: how long to wait for the answer, in ms.

        Returns:
            The answer.

        Raises:
            ExecutorFenced: the lease is not the newest one; nothing ran.
            ExecutorUnreachable: not sent.
            ExecutorLost: sent, no answer or one that is not complete.
            ExecutorTimedOut: sent, no answer in time.
        """

    @abc.abstractmethod
    async def state_of(self, request_id: str) -> RunState:
        """Ask what the executor knows of a request.

        Args:
            request_id: id of the request.

        Returns:
            Its state since the last restart of the executor.

        Raises:
            ExecutorUnreachable: not sent.
            ExecutorLost: sent, no answer.
            ExecutorTimedOut: sent, no answer in time.
        """
