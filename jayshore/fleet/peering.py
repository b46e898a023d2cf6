"""Messages and client of the calls between the instances of a deployment.

Any instance serves callers and asks the leader for the state of jobs. The
leader requests placement advice through any instance. The messages are kept
beside the calls that use them, which makes this file longer than most.
"""

import abc
import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable

from jayshore.clock import Clock, Millis
from jayshore.fleet.advising import AdviceRelay
from jayshore.fleet.interfaces import Advice, AdviceService, AdviceUnavailable
from jayshore.fleet.members import Membership
from jayshore.fleet.model import GroupId
from jayshore.fleet.phases import JobState
from jayshore.fleet.scheduler import Scheduler
from jayshore.http.client import (
    Address,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    ConnectRefused,
    HttpClient,
)
from jayshore.http.messages import (
    InvalidJson,
    Request,
    Response,
    decode_json,
    encode_json,
)
from jayshore.outcomes import JayshoreError
from jayshore.store.relay import StoreRelay
from jayshore.store.store import (
    StoreIsolated,
    StoreUnavailable,
    StoreUncertain,
)
from jayshore.store.storecalls import List, StoreCall, StoreReply, Watch

STATE_PATH = '/v1/state'
PENDING_PATH = '/v1/pending'
ADVICE_PATH = '/v1/advice'
STORE_PATH = '/v1/store'
PROBE_PATH = '/v1/probe'

_CONNECTIONS = 16
_CONNECT_MS = Millis(400)
_CALL_MS = Millis(500)
_PROBE_MS = Millis(1000)
_STORE_CALL_MS = Millis(1300)
_STORE_LIST_MS = Millis(8000)
_STORE_ATTEMPTS = 3
_AVOID_FAILED_INSTANCE_MS = Millis(3000)
_STATUS_OK = 200
_REFUSED_STATUSES = frozenset((400, 404, 409, 503))
"""Statuses by which an instance says that a call had no effect."""


class LeaderUnavailable(JayshoreError):
    """No leader that has loaded all jobs replied."""


class PeerUnavailable(JayshoreError):
    """An instance did not serve a call.

    Attributes:
        sent: False when the call certainly had no effect there.
        refused: the instance replied that it cannot serve the call.
    """

    def __init__(
        self, detail: str, *, sent: bool, refused: bool = False
    ) -> None:
        """Create the error.

        Args:
            detail: what happened.
            sent: False when the call certainly had no effect.
            refused: the instance replied.
        """
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class PeerGone(PeerUnavailable):
    """The host of an instance refuses connections: no process listens."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateCall:
    """Request for the state of a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateReply:
    """State and workspace of a job; both None for an unknown job."""

    state: JobState | None = None
    workspace: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingCall:
    """Request for the number of jobs of a queue without a started task."""

    queue: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingReply:
    """Number of pending jobs."""

    pending: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeCall:
    """Request to check whether the process of an instance has ended.

    An empty name requests no check; the reply itself shows that the called
    process runs.
    """

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeReply:
    """Whether no process listens there; False also when that is unknown."""

    gone: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceCall:
    """Request for placement advice; times in ms."""

    group: tuple[str, int, int]
    workers: tuple[str, ...]
    timeout_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceReply:
    """Placement advice: tickets by worker id, validity in ms."""

    tickets: dict[str, str]
    validity_ms: int


class LeaderClient(abc.ABC):
    """Client of the leader of the deployment."""

    @abc.abstractmethod
    async def ask_state(self, job_id: str) -> StateReply:
        """Ask the leader for the state of a job.

        Args:
            job_id: the job.

        Returns:
            State and workspace of the job, as the leader knows them.

        Raises:
            LeaderUnavailable: there is no leader, or it did not reply.
        """  # noqa: DAR401 raised by implementations

    @abc.abstractmethod
    async def ask_pending(self, queue: str) -> int:
        """Ask the leader how many jobs of a queue are pending.

        Args:
            queue: name of the queue.

        Returns:
            The number of pending jobs.

        Raises:
            LeaderUnavailable: there is no leader, or it did not reply.
        """  # noqa: DAR401 raised by implementations


class InstanceClient(AdviceRelay, StoreRelay, LeaderClient):
    """Client of the other instances of the deployment."""

    def __init__(
        self, *, name: str, domain: str, advice: AdviceService, clock: Clock
    ) -> None:
        """Create a client; `attach` must be called before it is of use.

        Args:
            name: name of this instance.
            domain: failure domain of this instance.
            advice: the advice service, called directly for this instance.
            clock: local clock.
        """
        self._domain = domain
        self._clock = clock
        self._random = random.Random()  # noqa: S311 spreads the load
        self._avoided_until: dict[str, Millis] = {}
        self._membership: Membership | None = None
        self._name = name
        self._advice = advice
        self._clients: dict[Address, HttpClient] = {}
        self._last_relay = ''
        self._leader_gone: Callable[[str], Awaitable[None]] = (
            _ignore_leader_gone
        )

    def attach(
        self,
        membership: Membership,
        leader_gone: Callable[[str], Awaitable[None]],
    ) -> None:
        """Set the membership and the callback for a failed leader.

        Args:
            membership: names and addresses of the instances.
            leader_gone: called with the name of a leader at whose host no
                process listens.
        """
        self._membership = membership
        self._leader_gone = leader_gone

    async def is_gone(self, name: str) -> bool:
        """Check whether the process of an instance has ended.

        Args:
            name: name of the instance.

        Returns:
            True when its host refuses the connection.
        """
        address = self._address(name)
        if address is None:
            return False
        try:
            await self._call(address, PROBE_PATH, ProbeCall(name=''), _CALL_MS)
        except PeerGone:
            return True
        except PeerUnavailable:
            return False
        return False

    async def ask_is_gone(self, witness: str, name: str) -> bool:
        """Ask another instance whether the process of a third has ended.

        Args:
            witness: name of the instance that performs the check.
            name: name of the suspected instance.

        Returns:
            True when the witness confirms it.
        """
        address = self._address(witness)
        if address is None:
            return False
        try:
            response = await self._call(
                address, PROBE_PATH, ProbeCall(name=name), _PROBE_MS
            )
            return decode_json(response.body, ProbeReply).gone
        except (PeerUnavailable, InvalidJson):
            return False

    async def ask_state(self, job_id: str) -> StateReply:
        """Ask the leader for the state of a job.

        Args:
            job_id: the job.

        Returns:
            State and workspace of the job, as the leader knows them.

        Raises:
            LeaderUnavailable: there is no leader, or it did not reply.
        """  # noqa: DAR401 raised by the call
        response = await self._ask_leader(STATE_PATH, StateCall(job_id=job_id))
        return decode_json(response.body, StateReply)

    async def ask_pending(self, queue: str) -> int:
        """Ask the leader how many jobs of a queue are pending.

        Args:
            queue: name of the queue.

        Returns:
            The number of pending jobs.

        Raises:
            LeaderUnavailable: there is no leader, or it did not reply.
        """  # noqa: DAR401 raised by the call
        response = await self._ask_leader(
            PENDING_PATH, PendingCall(queue=queue)
        )
        return decode_json(response.body, PendingReply).pending

    def relay_instances(self) -> tuple[str, ...]:
        """List the instances that can call the advice service.

        Returns:
            The other instances, and last this one, which is also the leader.
        """
        return (*self._others(), self._name)

    async def advise_through(
        self,
        caller: str,
        group: GroupId,
        workers: tuple[str, ...],
        timeout_ms: Millis,
    ) -> Advice:
        """Request advice through an instance.

        Args:
            caller: name of the instance that calls the service.
            group: the task group.
            workers: ids of the workers to evaluate.
            timeout_ms: longest wait for the reply, in ms.

        Returns:
            The advice.

        Raises:
            AdviceUnavailable: the service did not reply, or refused.
        """
        if caller == self._name:
            return await self._advice.advise(group, workers, timeout_ms)
        address = self._address(caller)
        if address is None:
            raise AdviceUnavailable(f'{caller} is not registered')
        message = AdviceCall(
            group=(group.job_id, group.occurrence, group.group),
            workers=workers,
            timeout_ms=timeout_ms,
        )
        try:
            response = await self._call(
                address, ADVICE_PATH, message, timeout_ms
            )
            decoded = decode_json(response.body, AdviceReply)
        except (PeerUnavailable, InvalidJson) as error:
            raise AdviceUnavailable(f'{caller}: {error}') from None
        return Advice(
            tickets=decoded.tickets, validity_ms=Millis(decoded.validity_ms)
        )

    async def forward(self, call: StoreCall) -> StoreReply:
        """Forward a call to the store through another instance.

        Args:
            call: the call.

        Returns:
            The reply of the store.

        Raises:
            StoreIsolated: no other instance replied.
            StoreUnavailable: no other instance reaches the store either.
            StoreUncertain: an instance may have forwarded it, but sent no
                valid reply.
        """  # noqa: DAR401 also raised by the call
        refused = False
        for name in self._choose_relays():
            try:
                reply = await self._forward_through(name, call)
            except PeerUnavailable as error:
                refused = refused or error.refused
                self._avoided_until[name] = Millis(
                    self._clock.now() + _AVOID_FAILED_INSTANCE_MS
                )
                continue
            self._last_relay = name
            return reply
        if refused:
            raise StoreUnavailable('no other instance reaches the store')
        raise StoreIsolated('no other instance answered')

    def _choose_relays(self) -> list[str]:
        """Choose instances to try, alternating this domain and the others.

        When the whole domain is cut off, its own instances still reply, and
        report that they do not reach the store either.
        """
        now = self._clock.now()
        candidates = sorted(
            self._others(),
            key=lambda name: (
                name != self._last_relay,
                self._avoided_until.get(name, 0) > now,
                self._random.random(),
            ),
        )
        same_domain = [
            name for name in candidates if self._is_same_domain(name)
        ]
        other_domains = [
            name for name in candidates if not self._is_same_domain(name)
        ]
        alternating = itertools.zip_longest(same_domain, other_domains)
        if candidates and candidates[0] in other_domains:
            alternating = itertools.zip_longest(other_domains, same_domain)
        ordered = [
            name for pair in alternating for name in pair if name is not None
        ]
        return ordered[:_STORE_ATTEMPTS]

    def _is_same_domain(self, name: str) -> bool:
        members = {} if self._membership is None else self._membership.members
        member = members.get(name)
        return member is not None and member.domain == self._domain

    async def _forward_through(self, name: str, call: StoreCall) -> StoreReply:
        """Forward a call through one instance."""
        address = self._address(name)
        if address is None:
            raise PeerUnavailable(f'{name} is not registered', sent=False)
        timeout = _STORE_CALL_MS
        if isinstance(call, Watch):
            timeout = Millis(timeout + call.wait_ms)
        elif isinstance(call, List):
            timeout = _STORE_LIST_MS
        try:
            response = await self._call(address, STORE_PATH, call, timeout)
            return decode_json(response.body, StoreReply)
        except PeerUnavailable as error:
            if error.sent:
                raise StoreUncertain(f'{name}: {error}') from None
            raise
        except InvalidJson as invalid:
            raise StoreUncertain(f'{name}: {invalid}') from None

    async def _ask_leader(self, path: str, message: object) -> Response:
        leader = '' if self._membership is None else self._membership.leader
        address = self._address(leader)
        if address is None:
            raise LeaderUnavailable('no leader is known')
        try:
            return await self._call(address, path, message, _CALL_MS)
        except PeerGone as gone:
            await self._leader_gone(leader)
            raise LeaderUnavailable(str(gone)) from None
        except PeerUnavailable as error:
            raise LeaderUnavailable(str(error)) from None

    def _others(self) -> list[str]:
        if self._membership is None:
            return []
        return sorted(
            name for name in self._membership.members if name != self._name
        )

    def _address(self, name: str) -> Address | None:
        if self._membership is None:
            return None
        member = self._membership.members.get(name)
        return None if member is None else member.address

    async def _call(
        self,
        address: Address,
        path: str,
        message: object,
        timeout_ms: Millis,
    ) -> Response:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(
                address=address,
                max_connections=_CONNECTIONS,
                connect_timeout_ms=_CONNECT_MS,
            )
            self._clients[address] = client
        request = Request(method='POST', path=path, body=encode_json(message))
        try:
            response = await client.call(request, timeout_ms=timeout_ms)
        except ConnectRefused as refusal:
            raise PeerGone(str(refusal), sent=False) from None
        except ConnectFailed as error:
            raise PeerUnavailable(str(error), sent=False) from None
        except (ConnectionLost, CallTimedOut) as unclear:
            raise PeerUnavailable(str(unclear), sent=True) from None
        if response.status == _STATUS_OK:
            return response
        # A peer that fails while it handles a call may have forwarded it.
        refused = response.status in _REFUSED_STATUSES
        raise PeerUnavailable(
            f'status {response.status}', sent=not refused, refused=refused
        )


async def _ignore_leader_gone(_name: str) -> None:
    """Do nothing; the callback until `attach` sets one."""


def state_reply(scheduler: Scheduler, call: StateCall) -> StateReply:
    """Look up the state of a job at the leader.

    Args:
        scheduler: scheduler of the leader.
        call: the request.

    Returns:
        The reply.
    """
    found = scheduler.state_of(call.job_id)
    if found is None:
        return StateReply()
    return StateReply(state=found[0], workspace=found[1])
