"""Calls to one executor over HTTP."""

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
    ExecutorFenced,
    ExecutorLost,
    ExecutorClient,
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
class _Renewed:
    leaving: bool
    tasks: tuple[RunningRequest, ...]

    def inventory(self) -> Inventory:
        return Inventory(leaving=self.leaving, running=self.tasks)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Opened(_Renewed):
    lease_id: int
    boot_id: str
    capacity: _Capacity


@dataclasses.dataclass(frozen=True, kw_only=True)
class _State:
    state: RunState


class HttpExecutorClient(ExecutorClient):
    """The executor's interface over HTTP."""

    def __init__(
        self,
        *,
        client: HttpClient,
        holder: str,
        call_timeout_ms: Millis,
        renew_wait_ms: Millis,
    ) -> None:
        """Use a client.

        Args:
            client: the executor's address and connections.
            holder: name of this daemon.
            call_timeout_ms: timeout of calls other than runs, in ms.
            renew_wait_ms: longest wait of a renewal, in ms.
        """
        self._client = client
        self._holder = holder
        self._call_timeout_ms = call_timeout_ms
        self._renew_wait_ms = renew_wait_ms

    async def open(self, epoch: int) -> OpenedLease:
        """Open a new lease.

        Args:
            epoch: of the leadership.

        Returns:
            The lease and the inventory.
        """
        answer = await self._post(
            '/v1/lease/open',
            {'epoch': epoch, 'holder': self._holder},
            self._call_timeout_ms,
        )
        opened = decode_json(answer.body, _Opened)
        return OpenedLease(
            lease_id=opened.lease_id,
            boot_id=opened.boot_id,
            slots=opened.capacity.slots,
            connections=opened.capacity.connections,
            inventory=opened.inventory(),
        )

    async def renew(self, lease_id: int) -> Inventory:
        """Renew the lease and wait for a change.

        Args:
            lease_id: the newest lease.

        Returns:
            The inventory.
        """
        answer = await self._post(
            '/v1/lease/renew',
            {'lease_id': lease_id, 'wait_ms': self._renew_wait_ms},
            Millis(self._call_timeout_ms + self._renew_wait_ms),
        )
        return decode_json(answer.body, _Renewed).inventory()

    async def run(
        self, request: RoutedRequest, *, lease_id: int, timeout_ms: Millis
    ) -> ExecutorAnswer:
        """Send a request and return the next answer on its connection.

        Args:
            request: what to run.
            lease_id: the lease under which it is sent.
            timeout_ms: how long to wait for the answer, in ms.

        Returns:
            The answer, which names the request that it belongs to.

        Raises:
            ExecutorLost: the answer names no request.
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
        answered = answer.header(REQUEST_ID_HEADER)
        if answered is None:
            raise ExecutorLost('the answer names no request')
        return ExecutorAnswer(
            request_id=answered,
            body=answer.body,
            content_type=answer.header('content-type')
            or 'application/octet-stream',
        )

    async def state_of(self, request_id: str) -> RunState:
        """Ask what the executor knows of a request.

        Args:
            request_id: id of the request.

        Returns:
            Its state.
        """
        answer = await self._call(
            Request(method='GET', path=f'/v1/runs/{request_id}'),
            self._call_timeout_ms,
        )
        return decode_json(answer.body, _State).state

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
