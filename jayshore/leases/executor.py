"""HTTP client for the calls to one executor."""

import dataclasses

from jayshore.clock import Millis
from jayshore.http.client import (
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
)
from jayshore.http.messages import (
    Request,
    Response,
    decode_json,
    encode_json,
)
from jayshore.routing.executor import (
    ExecutorAnswer,
    ExecutorClient,
    ExecutorFenced,
    ExecutorLost,
    ExecutorTimedOut,
    ExecutorUnreachable,
    Inventory,
    OpenedLease,
    RoutedRequest,
    RunningRequest,
    RunState,
)

REQUEST_ID_HEADER = 'jayshore-request-id'
LEASE_HEADER = 'jayshore-lease'
TEAM_HEADER = 'jayshore-team'

_STATUS_OK = 200
_STATUS_CONFLICT = 409


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Capacity:
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LeaseRenewal:
    leaving: bool
    tasks: tuple[RunningRequest, ...]

    def inventory(self) -> Inventory:
        return Inventory(leaving=self.leaving, running=self.tasks)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _OpenedExecutorLease(_LeaseRenewal):
    lease_id: int
    boot_id: str
    capacity: _Capacity


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RunStateReply:
    state: RunState


class HttpExecutorClient(ExecutorClient):
    """Implements the executor's interface over HTTP."""

    def __init__(
        self,
        *,
        client: HttpClient,
        holder: str,
        call_timeout_ms: Millis,
        renew_wait_ms: Millis,
    ) -> None:
        """Create a client on top of an HTTP client.

        Args:
            client: HTTP client with the executor's address.
            holder: name of this daemon, sent as the holder of the lease.
            call_timeout_ms: timeout of calls other than runs, in ms; a renewal
                may also take its wait.
            renew_wait_ms: how long the executor may hold a renewal back until
                something changes, in ms.
        """
        self._client = client
        self._holder = holder
        self._call_timeout_ms = call_timeout_ms
        self._renew_wait_ms = renew_wait_ms

    async def open(self, epoch: int) -> OpenedLease:
        """Open a new lease.

        Args:
            epoch: epoch of the leadership.

        Returns:
            The lease, the executor's capacity and its inventory.
        """
        answer = await self._post(
            '/v1/lease/open',
            {'epoch': epoch, 'holder': self._holder},
            self._call_timeout_ms,
        )
        opened = decode_json(answer.body, _OpenedExecutorLease)
        return OpenedLease(
            lease_id=opened.lease_id,
            boot_id=opened.boot_id,
            slots=opened.capacity.slots,
            connections=opened.capacity.connections,
            inventory=opened.inventory(),
        )

    async def renew(self, lease_id: int) -> Inventory:
        """Renew the lease and wait for a change of the inventory.

        Args:
            lease_id: id of the newest lease.

        Returns:
            The inventory.
        """
        answer = await self._post(
            '/v1/lease/renew',
            {'lease_id': lease_id, 'wait_ms': self._renew_wait_ms},
            Millis(self._call_timeout_ms + self._renew_wait_ms),
        )
        return decode_json(answer.body, _LeaseRenewal).inventory()

    async def run(
        self, request: RoutedRequest, *, lease_id: int, timeout_ms: Millis
    ) -> ExecutorAnswer:
        """Send a request and return the next answer on its connection.

        Args:
            request: the request to run.
            lease_id: id of the lease under which it is sent.
            timeout_ms: how long to wait for the answer, in ms.

        Returns:
            The answer, with the id of the request that it belongs to.

        Raises:
            ExecutorLost: the answer carries no request id.
        """
        answer = await self._call(
            Request(
                method='POST',
                path='/v1/run',
                headers={
                    LEASE_HEADER: str(lease_id),
                    REQUEST_ID_HEADER: request.request_id,
                    TEAM_HEADER: request.team,
                    'content-type': request.content_type,
                },
                body=request.body,
            ),
            timeout_ms,
        )
        answered_id = answer.header(REQUEST_ID_HEADER)
        if answered_id is None:
            raise ExecutorLost('the answer carries no request id')
        return ExecutorAnswer(
            request_id=answered_id,
            body=answer.body,
            content_type=answer.header('content-type')
            or 'application/octet-stream',
        )

    async def state_of(self, request_id: str) -> RunState:
        """Ask for the state of a request.

        Args:
            request_id: id of the request.

        Returns:
            Its state as the executor reports it.
        """
        answer = await self._call(
            Request(method='GET', path=f'/v1/runs/{request_id}'),
            self._call_timeout_ms,
        )
        return decode_json(answer.body, _RunStateReply).state

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _post(
        self, path: str, body: dict[str, object], timeout_ms: Millis
    ) -> Response:
        return await self._call(
            Request(method='POST', path=path, body=encode_json(body)),
            timeout_ms,
        )

    async def _call(self, request: Request, timeout_ms: Millis) -> Response:
        try:
            answer = await self._client.call(request, timeout_ms=timeout_ms)
        except ConnectFailed as failed:
            raise ExecutorUnreachable(str(failed)) from None
        except ConnectionLost as lost:
            raise ExecutorLost(str(lost)) from None
        except CallTimedOut as timeout:
            raise ExecutorTimedOut(str(timeout)) from None
        if answer.status == _STATUS_CONFLICT:
            raise ExecutorFenced(answer.body.decode(errors='replace'))
        if answer.status != _STATUS_OK:
            raise ExecutorLost(f'status {answer.status}')
        return answer
