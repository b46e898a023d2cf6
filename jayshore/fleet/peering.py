"""Calls between the instances of a deployment.

Any instance answers callers, and asks the leader for the state of jobs; the
leader asks for placement advice through any instance. The messages stand here
beside the calls that carry them, which makes the file longer than most.
"""

import abc
import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable

from jayshore.clock import Clock, Millis
from jayshore.fleet.advising import AdviceRelay
from jayshore.fleet.interfaces import Advice, AdviceService, AdviceUnavailable
from jayshore.fleet.jobtable import JobState
from jayshore.fleet.members import Membership
from jayshore.fleet.model import GroupId
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
_AVOID_MS = Millis(3000)
_STATUS_OK = 200


class LeaderUnavailable(JayshoreError):
    """No leader that knows all jobs answered."""


class PeerUnavailable(JayshoreError):
    """An instance gave no answer.

    Attributes:
        sent: False when the call certainly had no effect there.
        refused: the instance answered that it cannot serve the call.
    """

    def __init__(
        self, detail: str, *, sent: bool, refused: bool = False
    ) -> None:
        """Describe the failure.

        Args:
            detail: what happened.
            sent: False when the call certainly had no effect.
            refused: the instance answered.
        """
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class PeerGone(PeerUnavailable):
    """The host of an instance answers, and no process listens there."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateCall:
    """Asks for the state of a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateReply:
    """The state of a job; both None when the job is unknown."""

    state: JobState | None = None
    workspace: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingCall:
    """Asks how many jobs of a queue have no task that has started."""

    queue: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingReply:
    """The count of pending jobs."""

    pending: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeCall:
    """Asks whether the process of an instance has ended; '' for no question."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeReply:
    """Whether no process listens there; False when that is not known."""

    gone: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceCall:
    """Asks for placement advice; times in ms."""

    group: tuple[str, int, int]
    workers: tuple[str, ...]
    timeout_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceReply:
    """The advice; tickets by worker, validity in ms."""

    tickets: dict[str, str]
    validity_ms: int


class LeaderClient(abc.ABC):
    """Asks the leader of the deployment."""

    @abc.abstractmethod
    async def ask_state(self, job_id: str) -> StateReply:
        """Ask the leader for the state of a job.

        Args:
            job_id: the job.

        Returns:
            What the leader knows.

        Raises:
            LeaderUnavailable: there is none, or it did not answer.
        """  # noqa: DAR401 raised by implementations

    @abc.abstractmethod
    async def ask_pending(self, queue: str) -> int:
        """Ask the leader how many jobs of a queue are pending.

        Args:
            queue: its name.

        Returns:
            The count.

        Raises:
            LeaderUnavailable: there is none, or it did not answer.
        """  # noqa: DAR401 raised by implementations


class InstanceClient(AdviceRelay, StoreRelay, LeaderClient):
    """Calls the other instances."""

    def __init__(
        self, *, name: str, domain: str, advice: AdviceService, clock: Clock
    ) -> None:
        """Start without knowledge of other instances.

        Args:
            name: of this instance.
            domain: failure domain of this instance.
            advice: the advice service, called directly for this instance.
            clock: our clock.
        """
        self._domain = domain
        self._clock = clock
        self._source = random.Random()  # noqa: S311 spreads the load
        self._unreached: dict[str, Millis] = {}
        self._membership: Membership | None = None
        self._name = name
        self._advice = advice
        self._clients: dict[Address, HttpClient] = {}
        self._relaying = ''
        self._leader_gone: Callable[[str], Awaitable[None]] = _ignore

    def attach(
        self,
        membership: Membership,
        leader_gone: Callable[[str], Awaitable[None]],
    ) -> None:
        """Name what knows the other instances.

        Args:
            membership: names and addresses.
            leader_gone: called when no process listens at the leader's host.
        """
        self._membership = membership
        self._leader_gone = leader_gone

    async def is_gone(self, name: str) -> bool:
        """Find out whether the process of an instance has ended.

        Args:
            name: of the instance.

        Returns:
            True when its host answers and no process listens there.
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
            witness: name of the instance that is asked.
            name: of the instance in doubt.

        Returns:
            True when the witness says so.
        """
        address = self._address(witness)
        if address is None:
            return False
        try:
            answer = await self._call(
                address, PROBE_PATH, ProbeCall(name=name), _PROBE_MS
            )
            return decode_json(answer.body, ProbeReply).gone
        except (PeerUnavailable, InvalidJson):
            return False

    async def ask_state(self, job_id: str) -> StateReply:
        """Ask the leader for the state of a job.

        Args:
            job_id: the job.

        Returns:
            What the leader knows.

        Raises:
            LeaderUnavailable: there is none, or it did not answer.
        """  # noqa: DAR401 raised by the call
        answer = await self._ask_leader(STATE_PATH, StateCall(job_id=job_id))
        return decode_json(answer.body, StateReply)

    async def ask_pending(self, queue: str) -> int:
        """Ask the leader how many jobs of a queue are pending.

        Args:
            queue: its name.

        Returns:
            The count.

        Raises:
            LeaderUnavailable: there is none, or it did not answer.
        """  # noqa: DAR401 raised by the call
        answer = await self._ask_leader(PENDING_PATH, PendingCall(queue=queue))
        return decode_json(answer.body, PendingReply).pending

    def relay_instances(self) -> tuple[str, ...]:
        """List the instances that can call the advice service.

        Returns:
            The others before this one, which also leads.
        """
        return (*self._others(), self._name)

    async def advise_through(
        self,
        caller: str,
        group: GroupId,
        workers: tuple[str, ...],
        timeout_ms: Millis,
    ) -> Advice:
        """Ask for advice through an instance.

        Args:
            caller: name of the instance.
            group: the task group.
            workers: ids of the workers to judge.
            timeout_ms: the longest wait, in ms.

        Returns:
            The advice.

        Raises:
            AdviceUnavailable: no answer, or a refusal.
        """
        if caller == self._name:
            return await self._advice.advise(group, workers, timeout_ms)
        address = self._address(caller)
        if address is None:
            raise AdviceUnavailable(f'{caller} is not registered')
        question = AdviceCall(
            group=(group.job_id, group.occurrence, group.group),
            workers=workers,
            timeout_ms=timeout_ms,
        )
        try:
            answer = await self._call(
                address, ADVICE_PATH, question, timeout_ms
            )
            decoded = decode_json(answer.body, AdviceReply)
        except (PeerUnavailable, InvalidJson) as error:
            raise AdviceUnavailable(f'{caller}: {error}') from None
        return Advice(
            tickets=decoded.tickets, validity_ms=Millis(decoded.validity_ms)
        )

    async def forward(self, call: StoreCall) -> StoreReply:
        """Carry a call to the store through another instance.

        Args:
            call: the call.

        Returns:
            What the store answered.

        Raises:
            StoreIsolated: no other instance answered.
            StoreUnavailable: no other instance reaches the store either.
            StoreUncertain: an instance took it and did not answer.
        """  # noqa: DAR401 also raised by the call
        refused = False
        for name in self._choose_relays():
            try:
                reply = await self._carry_through(name, call)
            except PeerUnavailable as error:
                refused = refused or error.refused
                self._unreached[name] = Millis(self._clock.now() + _AVOID_MS)
                continue
            self._relaying = name
            return reply
        if refused:
            raise StoreUnavailable('no other instance reaches the store')
        raise StoreIsolated('no other instance answered')

    def _choose_relays(self) -> list[str]:
        """Choose instances to try, of this domain and of others by turns.

        A domain that is cut off still has its own instances, which tell that
        they are cut off as well.
        """
        now = self._clock.now()
        candidates = sorted(
            self._others(),
            key=lambda name: (
                name != self._relaying,
                self._unreached.get(name, 0) > now,
                self._source.random(),
            ),
        )
        near = [name for name in candidates if self._is_near(name)]
        far = [name for name in candidates if not self._is_near(name)]
        turns = itertools.zip_longest(near, far)
        if candidates and candidates[0] in far:
            turns = itertools.zip_longest(far, near)
        mixed = [name for pair in turns for name in pair if name is not None]
        return mixed[:_STORE_ATTEMPTS]

    def _is_near(self, name: str) -> bool:
        members = {} if self._membership is None else self._membership.members
        member = members.get(name)
        return member is not None and member.domain == self._domain

    async def _carry_through(self, name: str, call: StoreCall) -> StoreReply:
        """Carry a call through one instance."""
        address = self._address(name)
        if address is None:
            raise PeerUnavailable(f'{name} is not registered', sent=False)
        timeout = _STORE_CALL_MS
        if isinstance(call, Watch):
            timeout = Millis(timeout + call.wait_ms)
        elif isinstance(call, List):
            timeout = _STORE_LIST_MS
        try:
            answer = await self._call(address, STORE_PATH, call, timeout)
            return decode_json(answer.body, StoreReply)
        except PeerUnavailable as error:
            if error.sent:
                raise StoreUncertain(f'{name}: {error}') from None
            raise
        except InvalidJson as invalid:
            raise StoreUncertain(f'{name}: {invalid}') from None

    async def _ask_leader(self, path: str, question: object) -> Response:
        leader = '' if self._membership is None else self._membership.leader
        address = self._address(leader)
        if address is None:
            raise LeaderUnavailable('no leader is known')
        try:
            return await self._call(address, path, question, _CALL_MS)
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
        question: object,
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
        request = Request(method='POST', path=path, body=encode_json(question))
        try:
            answer = await client.call(request, timeout_ms=timeout_ms)
        except ConnectRefused as refusal:
            raise PeerGone(str(refusal), sent=False) from None
        except ConnectFailed as error:
            raise PeerUnavailable(str(error), sent=False) from None
        except (ConnectionLost, CallTimedOut) as unclear:
            raise PeerUnavailable(str(unclear), sent=True) from None
        if answer.status != _STATUS_OK:
            raise PeerUnavailable(
                f'status {answer.status}', sent=False, refused=True
            )
        return answer


async def _ignore(_name: str) -> None:
    """Stand in until `attach` names what to call."""


def state_reply(scheduler: Scheduler, asked: StateCall) -> StateReply:
    """Look a job up at the leader.

    Args:
        scheduler: of the leader.
        asked: the question.

    Returns:
        The answer.
    """
    found = scheduler.state_of(asked.job_id)
    if found is None:
        return StateReply()
    return StateReply(state=found[0], workspace=found[1])
