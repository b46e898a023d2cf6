"""Ends the leadership of a process that has certainly ended.

The store lease of a killed leader lasts for up to two seconds, in which nothing
starts. Two facts show its end sooner: its own next life, and a host that
answers while no process listens at the leader's port.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final

import eliot

from jayshore.background import BackgroundTasks
from jayshore.fleet.members import Membership
from jayshore.store.store import Store, StoreError

_WITNESSES: Final = 2
"""Other instances that are asked before the lease is ended.

A cut that refuses connections looks to one instance like an ended process.
"""


class LeaderFailureDetector:
    """Ends the lease of a leader that has ended.

    That is safe at any time, since an epoch fences all that its holder still
    does; ended wrongly, it costs a takeover.
    """

    def __init__(
        self,
        *,
        name: str,
        membership: Membership,
        store: Store,
        ask: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        """Use what is known of the leader.

        Args:
            name: of this instance.
            membership: the leader and the other instances.
            store: where the lease is ended.
            ask: asks a witness whether an instance has ended.
        """
        self._name = name
        self._membership = membership
        self._store = store
        self._ask = ask
        self._checking = False
        self._tasks = BackgroundTasks()

    async def end_stale_leadership(self) -> None:
        """End the leadership of an earlier life of this instance.

        Called while this life does not lead.
        """
        if self._membership.leader == self._name:
            await self._end('earlier life of this instance')

    async def suspect(self, name: str) -> None:
        """Check in the background whether the leader has ended.

        Args:
            name: of the instance at whose host no process listens.
        """
        if name == self._membership.leader and not self._checking:
            self._checking = True
            await self._tasks.spawn(self._check(name))

    async def _check(self, name: str) -> None:
        try:
            if await self._has_witness(name):
                await self._end('no process listens there')
        finally:
            self._checking = False

    async def _has_witness(self, name: str) -> bool:
        others = [
            other
            for other in self._membership.members
            if other not in {self._name, name}
        ]
        random.shuffle(others)
        for witness in others[:_WITNESSES]:
            if await self._ask(witness, name):
                return name == self._membership.leader
        return False

    async def _end(self, reason: str) -> None:
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
