"""Lease calls that the worker and executor stand-ins share."""

import abc

import curio
import msgspec

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.http.messages import (
    Request,
    Response,
    decode_json,
    json_response,
)
from standins.faults import FaultGate, Faults
from standins.fencing import (
    EpochTooLow,
    LeaseNotCurrent,
    LeaseState,
    OpenLeaseRequest,
    refusal_response,
)
from standins.serving import ADMIN, Route, StandIn, route
from standins.tasktable import AttemptId

_STATUS_OK = 200


class UpstreamFaults(Faults, kw_only=True):
    """Faults that workers and executors share.

    Attributes:
        leaving: whether the upstream reports that it is leaving.
    """

    leaving: bool = False


class _RenewLeaseRequest(msgspec.Struct, kw_only=True):
    lease_id: int
    ack: list[AttemptId] = []
    wait_ms: int = 0


class LeasingStandIn(StandIn):
    """Grants and renews leases (section 4.1 of the design page)."""

    def __init__(self, *, clock: Clock, faults: UpstreamFaults) -> None:
        """Start a first boot without a lease.

        Args:
            clock: clock of the lease and of the tasks or requests.
            faults: changed in place by `POST /admin/faults`.
        """
        self._clock = clock
        self._lease = LeaseState(clock=clock)
        self._upstream_faults = faults
        self._change_event = curio.Event()
        self._reported_leaving = False
        super().__init__(gate=FaultGate(faults))

    async def change_faults(self, request: Request) -> Response:
        """Set faults and wake the waiting renewals.

        Args:
            request: the call; its body is a JSON object of faults.

        Returns:
            The values of all faults.
        """
        answer = await super().change_faults(request)
        await self._wake_renewals()
        return answer

    @abc.abstractmethod
    def _capacity(self) -> object:
        """Return the capacity to report."""

    @abc.abstractmethod
    def _report_all(self) -> object:
        """Report all that runs, and what ended without acknowledgement."""

    def _report_changes(self) -> object:
        """Report what a renewal returns: everything by default."""
        return self._report_all()

    @abc.abstractmethod
    def _forget_all(self) -> None:
        """Drop all tasks or requests, as a restarted process does."""

    async def _advance(self) -> None:
        """Update what runs to the current time; does nothing by default."""

    def _acknowledge(self, attempt_ids: list[AttemptId]) -> None:
        """Drop acknowledged results; does nothing by default."""

    def _has_changes(self) -> bool:
        """Check whether a waiting renewal has to be answered."""
        return self._reported_leaving != self._upstream_faults.leaving

    async def _wake_renewals(self) -> None:
        """Make the waiting renewals check for changes."""
        changed = self._change_event
        self._change_event = curio.Event()
        await changed.set()

    def _lease_routes(self) -> list[Route]:
        """Return the routes of the lease calls and the reboot."""
        return [
            route('POST', '/v1/lease/open', 'lease_open', self._open_lease),
            route('POST', '/v1/lease/renew', 'lease_renew', self._renew_lease),
            route('POST', '/admin/reboot', ADMIN, self._reboot),
        ]

    async def _open_lease(self, request: Request) -> Response:
        try:
            lease_id = self._lease.open(
                decode_json(request.body, OpenLeaseRequest)
            )
        except EpochTooLow as error:
            return refusal_response(error)
        await self._advance()
        # A renewal that waits under the previous lease has to be refused.
        await self._wake_renewals()
        self._gate.after_write('lease_open')
        return json_response(
            _STATUS_OK,
            {
                'lease_id': lease_id,
                'boot_id': self._lease.boot_id,
                'capacity': self._capacity(),
                'leaving': self._report_leaving(),
                'tasks': self._report_all(),
            },
        )

    async def _renew_lease(self, request: Request) -> Response:
        body = decode_json(request.body, _RenewLeaseRequest)
        try:
            self._lease.renew(body.lease_id)
            self._acknowledge(body.ack)
            await self._advance()
            await self._wait_for_changes(body)
            self._lease.require_current(body.lease_id)
        except LeaseNotCurrent as error:
            return refusal_response(error)
        self._gate.after_wait(request)
        return json_response(
            _STATUS_OK,
            {
                'leaving': self._report_leaving(),
                'tasks': self._report_changes(),
            },
        )

    async def _wait_for_changes(self, body: _RenewLeaseRequest) -> None:
        if body.wait_ms <= 0:
            return
        async with curio.ignore_after(to_seconds(Millis(body.wait_ms))):
            while not self._has_changes():
                await self._change_event.wait()
                self._lease.require_current(body.lease_id)

    async def _reboot(self, _request: Request) -> Response:
        await self._advance()
        self._forget_all()
        self._lease.reboot()
        await self._wake_renewals()
        return json_response(_STATUS_OK, {'boot_id': self._lease.boot_id})

    def _report_leaving(self) -> bool:
        self._reported_leaving = self._upstream_faults.leaving
        return self._reported_leaving
