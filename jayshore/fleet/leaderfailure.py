"""Revokes the lease of a leader whose process has ended.

The store lease of a killed leader lasts for up to two seconds, during which no
task starts. Two signs show its end sooner: the next incarnation of the same
instance, and a host that refuses connections at the leader's port.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final

import eliot

from jayshore.background import BackgroundTasks
from jayshore.fleet.members import Membership
from jayshore.store.store import Store, StoreError

_MAX_WITNESSES: Final = 2
"""Number of other instances that are asked before the lease is revoked.

To one instance, a network fault that refuses connections looks the same as an
ended process.
"""


class LeaderFailureDetector:
    """Revokes the lease of a failed leader before it expires.

    Revoking it is safe at any time, because the epoch fences whatever the
    former leader still does; a false detection costs one takeover.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        store: Store,
        ask: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        """Create a detector.

        Args:
            name: name of this instance.
            membership: the leader and the registered instances.
            store: store that holds the lease.
            ask: asks a witness (first name) whether the process of an instance
                (second name) has ended.
        """
        self._name = name
        self._membership = membership
        self._store = store
        self._ask_witness = ask
        self._checking = False
        self._tasks = BackgroundTasks()

    async def end_stale_leadership(self) -> None:
        """Revoke a lease of an earlier incarnation of this instance.

        May only be called while this incarnation does not lead.
        """
        if self._membership.leader == self._name:
            await self._revoke_lease('earlier incarnation of this instance')

    async def suspect(self, name: str) -> None:
        """Check in the background whether the leader has ended.

        Args:
            name: name of the instance at whose host no process listens.
        """
        if name == self._membership.leader and not self._checking:
            self._checking = True
            await self._tasks.spawn(self._confirm_failure(name))

    async def _confirm_failure(self, name: str) -> None:
        try:
            if await self._is_confirmed_by_witness(name):
                await self._revoke_lease('no process listens there')
        finally:
            self._checking = False

    async def _is_confirmed_by_witness(self, name: str) -> bool:
        others = [
            other
            for other in self._membership.members
            if other not in {self._name, name}
        ]
        random.shuffle(others)
        for witness in others[:_MAX_WITNESSES]:
            if await self._ask_witness(witness, name):
                return name == self._membership.leader
        return False

    async def _revoke_lease(self, reason: str) -> None:
        lease_id = self._membership.leader_lease
        if not lease_id:
            return
        eliot.log_message(
            'leadership:ended',
            leader=self._membership.leader,
            reason=reason,
        )
        try:
            await self._store.revoke_lease(lease_id)
        except StoreError as error:
            eliot.log_message('leadership:not_ended', error=str(error))
