"""Fencing by leases of workers and executors (section 4.1 of the design)."""

import dataclasses
import secrets

import msgspec

from jayshore.clock import Clock, Millis
from jayshore.http.messages import Response, json_response

DEFAULT_TASK_LEASE_MS = 300_000

_BOOT_ID_BYTES = 8
_LEASE_IDS_PER_MS = 1000
_STATUS_CONFLICT = 409


class OpenLeaseRequest(msgspec.Struct, kw_only=True):
    """Body of `POST /v1/lease/open`.

    Attributes:
        epoch: epoch of the requesting leader.
        holder: name of the leader's process.
        task_lease_ms: how long tasks keep running without a renewal, in ms.
    """

    epoch: int
    holder: str
    task_lease_ms: int = DEFAULT_TASK_LEASE_MS


class EpochTooLow(Exception):
    """A superseded leader requested a lease."""

    def __init__(self, *, epoch: int) -> None:
        """Create the error.

        Args:
            epoch: the highest epoch seen.
        """
        super().__init__(f'a leader of epoch {epoch} has opened the lease')
        self.epoch = epoch


class LeaseNotCurrent(Exception):
    """A call carries a lease id that is not the newest one."""

    def __init__(self, *, lease_id: int) -> None:
        """Create the error.

        Args:
            lease_id: the newest lease id.
        """
        super().__init__(f'the newest lease is {lease_id}')
        self.lease_id = lease_id


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantedLease:
    """A lease granted to a leader.

    Attributes:
        lease_id: id of the lease.
        epoch: epoch of the leader.
        holder: name of the leader's process.
        at_ms: when it was granted, in ms.
    """

    lease_id: int
    epoch: int
    holder: str
    at_ms: Millis


class LeaseState:
    """The newest lease and the highest epoch of the current boot.

    Attributes:
        boot_id: random id of this boot.
        lease_id: the newest lease, 0 before the first.
        task_lease_ms: how long tasks keep running without a renewal, in ms.
        renewed_ms: when the lease was last opened or renewed, in ms.
        granted_leases: all leases, across boots.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Start a first boot without a lease.

        Args:
            clock: measures the time since the last renewal.
        """
        self.granted_leases: list[GrantedLease] = []
        self._clock = clock
        self.reboot()

    def reboot(self) -> None:
        """Forget lease and epoch, as a restarted process does."""
        self.boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        self.lease_id = 0
        self.task_lease_ms = DEFAULT_TASK_LEASE_MS
        self.renewed_ms = self._clock.now()
        self._epoch = 0
        # Ids of a later boot are larger than those of earlier ones, so that
        # a delayed start from an earlier boot never carries a valid id.
        self._last_lease_id = self.renewed_ms * _LEASE_IDS_PER_MS

    def open(self, body: OpenLeaseRequest) -> int:
        """Grant a new lease.

        Args:
            body: the leader's request.

        Returns:
            The id of the new lease.

        Raises:
            EpochTooLow: a leader with a higher epoch has opened a lease.
        """
        if body.epoch < self._epoch:
            raise EpochTooLow(epoch=self._epoch)
        self._epoch = body.epoch
        self._last_lease_id += 1
        self.lease_id = self._last_lease_id
        self.task_lease_ms = body.task_lease_ms
        self.renewed_ms = self._clock.now()
        self.granted_leases.append(
            GrantedLease(
                lease_id=self.lease_id,
                epoch=body.epoch,
                holder=body.holder,
                at_ms=self.renewed_ms,
            )
        )
        return self.lease_id

    def require_current(self, lease_id: int) -> None:
        """Check that a call carries the newest lease and that it is valid.

        Args:
            lease_id: the id that a call carries.

        Raises:
            LeaseNotCurrent: it is not the newest lease, or it has expired.
        """
        # An expired lease stays invalid: a late renewal must not revive tasks
        # that its sender may believe to have ended.
        expired = self.is_task_lease_expired()
        if expired or not lease_id or lease_id != self.lease_id:
            raise LeaseNotCurrent(lease_id=self.lease_id)

    def renew(self, lease_id: int) -> None:
        """Renew the newest lease.

        Args:
            lease_id: the id that the call carries.

        Raises:
            LeaseNotCurrent: it is not the newest lease, or it has expired.
        """
        self.require_current(lease_id)
        self.renewed_ms = self._clock.now()

    def is_task_lease_expired(self) -> bool:
        """Check whether tasks have to be stopped for lack of renewals.

        Returns:
            True if the last renewal is older than the task lease.
        """
        return self._clock.now() - self.renewed_ms > self.task_lease_ms


def refusal_response(error: EpochTooLow | LeaseNotCurrent) -> Response:
    """Encode the refusal of a call with an old epoch or lease.

    Args:
        error: the reason for the refusal.

    Returns:
        Status 409 with the highest epoch or the newest lease id.
    """
    if isinstance(error, EpochTooLow):
        return json_response(_STATUS_CONFLICT, {'epoch': error.epoch})
    return json_response(_STATUS_CONFLICT, {'lease_id': error.lease_id})
