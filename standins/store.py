"""Simulated platform store with a delayed instance list.

Run with `python -m standins.store --port PORT --settings JSON`.
"""

import curio
import msgspec

from jayshore.clock import (
    Clock,
    Millis,
    MonotonicClock,
    to_seconds,
)
from jayshore.http.messages import (
    Request,
    Response,
    decode_json,
    error_response,
    json_response,
)
from standins.faults import FaultGate
from standins.instancelist import DelayedInstanceList, StoreFaults
from standins.keyvalue import (
    KeyValueState,
    LeaseUnknown,
    Listing,
    RevisionMismatch,
)
from standins.serving import (
    ADMIN,
    Route,
    StandIn,
    decode_settings,
    parse_arguments,
    route,
    run,
)

_TICK_MS = Millis(20)
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_GONE = 410
_STATUS_TOO_LARGE = 413


class StoreSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the process.

    Attributes:
        max_value_bytes: size of the largest accepted value, in bytes.
        lag_ms: delay until a change of the instance list is visible, in ms.
    """

    max_value_bytes: int = 1_048_576
    lag_ms: int = 0


class _PutRequest(msgspec.Struct, kw_only=True):
    value: str
    expect_revision: int
    lease_id: int | None = None


class _GrantLeaseRequest(msgspec.Struct, kw_only=True):
    ttl_ms: int


class StoreStandIn(StandIn):
    """Serves the store protocol (section 8.2 of the design page)."""

    def __init__(self, *, settings: StoreSettings, clock: Clock) -> None:
        """Create an empty store with an empty instance list.

        Args:
            settings: settings of the process.
            clock: clock of leases and of the delay of the instance list.
        """
        faults = StoreFaults(lag_ms=settings.lag_ms)
        self._settings = settings
        self._clock = clock
        self._state = KeyValueState()
        self._change_event = curio.Event()
        self._published_revision = 0
        self._instance_list = DelayedInstanceList(faults=faults, clock=clock)
        super().__init__(gate=FaultGate(faults))

    def routes(self) -> list[Route]:
        """List the calls of the store and of the instance list.

        Returns:
            The routes.
        """
        return [
            route('GET', '/v1/kv/(.+)', 'get', self._get),
            route('PUT', '/v1/kv/(.+)', 'put', self._put),
            route('DELETE', '/v1/kv/(.+)', 'delete', self._delete),
            route('GET', '/v1/list', 'list', self._list),
            route('GET', '/v1/watch', 'watch', self._watch),
            route('POST', '/v1/leases', 'lease_grant', self._grant_lease),
            route(
                'POST',
                r'/v1/leases/(\d+)/renew',
                'lease_renew',
                self._renew_lease,
            ),
            route(
                'DELETE',
                r'/v1/leases/(\d+)',
                'lease_revoke',
                self._revoke_lease,
            ),
            route(
                'GET', '/v1/instances', 'instances', self._instance_list.read
            ),
            route('PUT', '/admin/instances', ADMIN, self._instance_list.write),
        ]

    async def background(self) -> None:
        """Expire leases and wake the watchers of their keys, periodically."""
        while True:
            await curio.sleep(to_seconds(_TICK_MS))
            await self._publish_changes()

    async def _get(self, _request: Request, key: str) -> Response:
        await self._publish_changes()
        entry = self._state.get(key)
        if entry is None:
            return error_response(_STATUS_NOT_FOUND, 'not_found', key)
        return json_response(_STATUS_OK, entry)

    async def _put(self, request: Request, key: str) -> Response:
        body = decode_json(request.body, _PutRequest)
        if len(body.value.encode()) > self._settings.max_value_bytes:
            return error_response(_STATUS_TOO_LARGE, 'value_too_large', key)
        await self._publish_changes()
        try:
            revision = self._state.put(
                key, body.value, body.expect_revision, body.lease_id
            )
        except RevisionMismatch as mismatch:
            return _conflict_response(mismatch)
        except LeaseUnknown as gone:
            return _lease_gone_response(gone)
        return await self._write_response('put', revision)

    async def _delete(self, request: Request, key: str) -> Response:
        expected = int(request.query['expect_revision'])
        await self._publish_changes()
        try:
            revision = self._state.delete(key, expected)
        except RevisionMismatch as mismatch:
            return _conflict_response(mismatch)
        return await self._write_response('delete', revision)

    async def _list(self, request: Request) -> Response:
        await self._publish_changes()
        return json_response(_STATUS_OK, self._read_changes(request))

    async def _watch(self, request: Request) -> Response:
        wait = Millis(int(request.query['wait_ms']))
        async with curio.ignore_after(to_seconds(wait)):
            while not _has_changes(self._read_changes(request)):
                await self._change_event.wait()
        self._gate.after_wait(request)
        return json_response(_STATUS_OK, self._read_changes(request))

    async def _grant_lease(self, request: Request) -> Response:
        ttl = decode_json(request.body, _GrantLeaseRequest).ttl_ms
        lease_id = self._state.grant_lease(ttl, self._clock.now())
        self._gate.after_write('lease_grant')
        return json_response(_STATUS_OK, {'lease_id': lease_id, 'ttl_ms': ttl})

    async def _renew_lease(self, _request: Request, digits: str) -> Response:
        await self._publish_changes()
        lease_id = int(digits)
        try:
            ttl = self._state.renew_lease(lease_id, self._clock.now())
        except LeaseUnknown as gone:
            return _lease_gone_response(gone)
        self._gate.after_write('lease_renew')
        return json_response(_STATUS_OK, {'lease_id': lease_id, 'ttl_ms': ttl})

    async def _revoke_lease(self, _request: Request, digits: str) -> Response:
        try:
            self._state.revoke_lease(int(digits))
        except LeaseUnknown as gone:
            return _lease_gone_response(gone)
        return await self._write_response('lease_revoke', self._state.revision)

    async def _write_response(self, kind: str, revision: int) -> Response:
        await self._publish_changes()
        self._gate.after_write(kind)
        return json_response(_STATUS_OK, {'revision': revision})

    async def _publish_changes(self) -> None:
        self._state.expire_leases(self._clock.now())
        if self._state.revision > self._published_revision:
            self._published_revision = self._state.revision
            changed = self._change_event
            self._change_event = curio.Event()
            await changed.set()

    def _read_changes(self, request: Request) -> Listing:
        return self._state.read_changes(
            request.query.get('prefix', ''), int(request.query.get('since', 0))
        )


def _has_changes(listing: Listing) -> bool:
    return bool(listing.entries or listing.deleted)


def _conflict_response(mismatch: RevisionMismatch) -> Response:
    return json_response(_STATUS_CONFLICT, {'revision': mismatch.revision})


def _lease_gone_response(gone: LeaseUnknown) -> Response:
    return error_response(_STATUS_GONE, 'lease_gone', str(gone))


def main() -> None:
    """Run the store until the process is terminated."""
    arguments = parse_arguments('store and instance list stand-in')
    settings = decode_settings(arguments.settings, StoreSettings)
    stand_in = StoreStandIn(settings=settings, clock=MonotonicClock())
    run(stand_in, arguments.port)


if __name__ == '__main__':
    main()
