"""What one server connection uses of the budgets of its process."""

from jayshore.http.budgets import CONNECTION_BYTES, AddressBudget
from jayshore.http.evictions import Evictable

_COVERED_BY_CONNECTION = 4096
_STEP_BYTES = 16_384


class ConnectionAccount:
    """Takes descriptors and memory for one connection, and returns them.

    Memory is taken in steps of 16 KiB. A small request takes none, since the
    share of its connection covers it.

    Attributes:
        covered: bytes that the current request may use without taking more.
    """

    def __init__(self, *, address: AddressBudget, owner: Evictable) -> None:
        """Create an account that uses nothing yet.

        Args:
            address: budget of the address.
            owner: the connection, which is closed when it is slow or idle and
                others need room.
        """
        self._address = address
        self._budgets = address.budgets
        self._owner = owner
        self._is_open = False
        self.covered = _COVERED_BY_CONNECTION

    async def open(self) -> bool:
        """Take a descriptor and the memory of a connection.

        Returns:
            False when there is none, and no connection is slow or idle.
        """
        if not await self._address.make_room(self._take_connection):
            self._budgets.report.note('refused_connection')
            return False
        self._address.queue.add(self._owner)
        self._is_open = True
        return True

    def close(self) -> None:
        """Return everything, when the connection is closed."""
        if not self._is_open:
            return
        self.release()
        self._address.queue.remove(self._owner)
        self._is_open = False
        trusted = self._address.trusted
        self._budgets.memory.give(CONNECTION_BYTES, trusted=trusted)
        self._budgets.descriptors.give(1, trusted=trusted)

    async def cover(self, amount: int) -> bool:
        """Take the memory of the current request or response.

        Args:
            amount: bytes that the request or response uses in all.

        Returns:
            False when there is too little, and no connection is slow or idle.
            It is always taken when no other request uses memory.
        """
        needed = amount - self.covered
        if needed <= 0 or not self._is_open:
            return True
        steps = -(-needed // _STEP_BYTES) * _STEP_BYTES
        if await self._address.make_room(lambda: self._take_bytes(steps)):
            return not self._owner.activity.evicted
        self._budgets.report.note('refused_memory')
        return False

    async def cover_response(self, size: int, sent: int) -> bool:
        """Take the memory of a response that the caller has not taken yet.

        Responses to other instances may be listings of many megabytes, so that
        only what is left of them counts.

        Args:
            size: bytes of the response.
            sent: bytes that were sent already.

        Returns:
            False when there is too little, and no connection is slow or idle.
        """
        amount = size - sent if self._address.trusted else 2 * size
        return await self.cover(amount)

    def release(self) -> None:
        """Return the memory of the current request and response."""
        extra = self.covered - _COVERED_BY_CONNECTION
        if extra:
            self._budgets.memory.give(extra, trusted=self._address.trusted)
            self._budgets.request_bytes -= extra
            self.covered = _COVERED_BY_CONNECTION

    def note(self, cause: str) -> None:
        """Count a refused request.

        Args:
            cause: kind of the refusal.
        """
        self._budgets.report.note(cause)

    def _take_connection(self) -> bool:
        trusted = self._address.trusted
        budgets = self._budgets
        if not budgets.descriptors.take(1, trusted=trusted):
            return False
        if budgets.memory.take(CONNECTION_BYTES, trusted=trusted):
            return True
        budgets.descriptors.give(1, trusted=trusted)
        return False

    def _take_bytes(self, amount: int) -> bool:
        budgets = self._budgets
        trusted = self._address.trusted
        if not budgets.memory.take(amount, trusted=trusted):
            if budgets.request_bytes > self.covered - _COVERED_BY_CONNECTION:
                return False
            budgets.memory.force(amount, trusted=trusted)
        budgets.request_bytes += amount
        self.covered += amount
        return True
