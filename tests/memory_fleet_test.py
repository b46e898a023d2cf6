"""A deployment in memory, shared by tests of whole deployments.

Only the network connections are replaced: leaders are elected through the
store, records are written to it, and workers hold leases.
"""

import contextlib
import dataclasses
import itertools
import random

import curio
import msgspec

from jayshore.clock import Clock, Millis, MonotonicClock, WallClock
from jayshore.fleet import leasing, sessions
from jayshore.fleet.admission import Admission
from jayshore.fleet.advising import AdviceRelay
from jayshore.fleet.candidacy import Candidacy
from jayshore.fleet.evacuation import EvacuationSettings
from jayshore.fleet.interfaces import (
    Advice,
    AdviceUnavailable,
    WorkerConnector,
)
from jayshore.fleet.jobservice import (
    Accepted,
    JobService,
    JobServiceUnavailable,
)
from jayshore.fleet.leaderfailure import LeaderFailureDetector
from jayshore.fleet.leaderrole import LeaderRole
from jayshore.fleet.members import DEPLOYMENT, Membership
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import (
    FleetConfig,
    Job,
    Queue,
    TaskGroup,
    WorkerEntry,
    Workspace,
)
from jayshore.fleet.peering import (
    LeaderClient,
    LeaderUnavailable,
    StateCall,
    state_reply,
)
from jayshore.fleet.phases import JobState
from jayshore.fleet.scheduler import SchedulerDependencies
from jayshore.fleet.tombstones import TombstoneWriter
from jayshore.http.client import Address
from jayshore.leases.leadership import Leadership
from jayshore.resources import Resources
from jayshore.retry import PLATFORM_BACKOFF
from jayshore.store.relay import RelayedStore, StoreRelay
from jayshore.store.store import StoreUnavailable
from jayshore.store.writeresolver import WriteResolver
from standins.memorystore import MemoryStore
from standins.memoryworker import MemoryWorker
from standins.memoryworkerclient import MemoryWorkerClient

WORKERS = 'workers/'
EVACUATIONS = 'evacuations/'
SERVICE = 'plans'
QUEUE = Queue(
    name='checks',
    host='plans.example',
    prefix='/checks/',
    service=SERVICE,
    max_attempts=3,
    stretch=2,
    objective_ms=Millis(1000),
)
WORKSPACE = Workspace(name='riverbend', keys=frozenset(('k1',)), weight=100)
CONFIG = FleetConfig(version=1, queues=(QUEUE,), workspaces=(WORKSPACE,))
CAPACITY = Resources(cpu_millis=4000, memory_mb=8000)
NEED = Resources(cpu_millis=1000, memory_mb=1000)
RUN_MS = Millis(120)
LEASE_MS = Millis(900)
MAX_LEASE_MS = Millis(1000)
WAIT_MS = Millis(200)
ORDER_TIMEOUT_MS = Millis(100)
TTL_MS = Millis(600)
COMPLETED = JobState.COMPLETED

_ids = itertools.count(1)


def shorten_leases(monkeypatch):
    """Shorten lease times so that leases expire within a test."""
    monkeypatch.setattr(leasing, 'LEASE_MS', LEASE_MS)
    monkeypatch.setattr(leasing, 'MAX_LEASE_MS', MAX_LEASE_MS)
    monkeypatch.setattr(sessions, 'WAIT_MS', WAIT_MS)


def make_job(*groups, queue=QUEUE, workspace=WORKSPACE.name):
    """Create a job that is accepted at the current time."""
    return Job(
        job_id=f'{next(_ids):016x}',
        queue=queue,
        workspace=workspace,
        payload='fill two tyres',
        groups=groups or (make_group(),),
        accepted_at_ms=WallClock().now(),
    )


def make_group(count=2, **fields):
    """Create a task group; fields override the defaults."""
    shape = {'need': NEED, 'estimate_ms': RUN_MS, **fields}
    return TaskGroup(count=count, **shape)


class FakeAdviceRelay(AdviceRelay):
    """Advice relay without a service; tests set its attributes."""

    def __init__(self):
        self.advised_workers = None
        self.calls = 0
        self.validity_ms = Millis(1000)
        self.down = False

    def relay_instances(self):
        return ('a', 'b')

    async def advise_through(self, caller, group, workers, timeout_ms):
        self.calls += 1
        await curio.sleep(0.005)
        if self.down:
            raise AdviceUnavailable('down')
        advised = (
            workers if self.advised_workers is None else self.advised_workers
        )
        return Advice(
            tickets={name: 'ticket' for name in workers if name in advised},
            validity_ms=self.validity_ms,
        )


class UnreachableStoreRelay(StoreRelay):
    """Store relay that finds no other instance with access to the store."""

    async def forward(self, call):
        raise StoreUnavailable('no other instance')


class MemoryConnector(WorkerConnector):
    """Connects to the in-memory workers of a deployment."""

    def __init__(self, workers):
        self._workers = workers

    def connect(self, entry):
        name = entry.address.partition(':')[0]
        return MemoryWorkerClient(
            worker=self._workers[name],
            timeout_ms=ORDER_TIMEOUT_MS,
            worker_id=entry.worker_id,
        )


class Instance(LeaderClient):
    """One instance without its network servers."""

    def __init__(self, fleet, name, cores=1.0):
        clock = fleet.clock
        self.name = name
        self.fleet = fleet
        self.store = RelayedStore(
            direct=fleet.store, relay=UnreachableStoreRelay(), clock=clock
        )
        self.membership = Membership(
            store=self.store,
            clock=clock,
            name=name,
            address=Address(host='127.0.0.1', port=1),
            cores=cores,
        )
        self.failure_detector = LeaderFailureDetector(
            name=name,
            membership=self.membership,
            store=self.store,
            ask=fleet.ask_is_gone,
        )
        self.candidacy = Candidacy(
            membership=self.membership,
            clock=clock,
            cores=cores,
            cut_off_ms=lambda: self.store.reachability.unavailable_for_ms,
            end_stale_leadership=self.failure_detector.end_stale_leadership,
        )
        self.leader_role = LeaderRole(
            store=self.store,
            dependencies=SchedulerDependencies(
                clock=clock,
                wall_clock=WallClock(),
                connector=MemoryConnector(fleet.workers),
                relay=fleet.relay,
                config=lambda: fleet.config,
                metrics=FleetMetrics(),
                max_lease_ms=leasing.MAX_LEASE_MS,
            ),
            worker_prefix=WORKERS,
            decode_worker=decode_worker,
            evacuation=fleet.evacuation_settings(),
        )
        self.leadership = Leadership(
            store=self.store,
            write_resolver=WriteResolver(
                store=self.store,
                clock=clock,
                backoff=PLATFORM_BACKOFF,
                rng=random.Random(7),
            ),
            domain=DEPLOYMENT,
            holder=name,
            ttl_ms=TTL_MS,
            observer=self.leader_role,
            clock=clock,
            vacancy_monitor=self.candidacy,
        )
        self.leader_role.attach(self.leadership)
        self.job_service = JobService(
            store=self.store,
            leader=self,
            scheduler=lambda: self.leader_role.scheduler,
            clock=clock,
            admission=Admission(
                refused=self.membership.refused,
                clock=clock,
                metrics=FleetMetrics(),
            ),
            tombstones=TombstoneWriter(
                store=self.store,
                clock=clock,
                count_instances=lambda: len(self.membership.members),
            ),
        )
        self.alive = True
        self._tasks = []

    async def start(self):
        for part in (
            self.membership.follow,
            self.membership.register,
            self._lead,
        ):
            self._tasks.append(await curio.spawn(part, daemon=True))

    async def _lead(self):
        while True:
            competing = await curio.spawn(self.leadership.run, daemon=True)
            try:
                await self.candidacy.wait_for_handover(self.leadership)
            except curio.CancelledError:
                await competing.cancel()
                raise
            await competing.cancel()
            await self.leadership.resign()

    async def kill(self):
        """Stop without any cleanup, like a killed process."""
        self.fleet.killed.add(self.name)
        self.alive = False
        for task in self._tasks:
            await task.cancel()
        scheduler_task = self.leader_role._scheduler_task
        if scheduler_task is not None:
            await scheduler_task.cancel()

    async def ask_state(self, job_id):
        return state_reply(self._leading_scheduler(), StateCall(job_id=job_id))

    async def ask_pending(self, queue):
        return self._leading_scheduler().pending(queue)

    def _leading_scheduler(self):
        leader = self.fleet.leading()
        if leader is None:
            raise LeaderUnavailable('none')
        return leader.leader_role.scheduler


@dataclasses.dataclass
class Fleet:
    """A deployment: a store, workers and instances in memory."""

    clock: Clock = dataclasses.field(default_factory=MonotonicClock)
    run_ms: object = RUN_MS
    config: FleetConfig = CONFIG
    evacuate_ms: Millis | None = None

    def __post_init__(self):
        self.store = MemoryStore()
        self.relay = FakeAdviceRelay()
        self.workers = {}
        self.instances = {}
        self.killed = set()

    def add_worker(self, name, **fields):
        worker = MemoryWorker(
            worker_id=name,
            run_ms=self.run_ms
            if callable(self.run_ms)
            else lambda _task: self.run_ms,
            clock=self.clock,
        )
        self.workers[name] = worker

        def restarted(_worker, former):
            if former != worker.worker_id:
                self.unregister(former)
            self.register(
                worker.worker_id,
                address=f'{name}:1',
                born_ms=worker.incarnation,
                **fields,
            )

        worker.restarted = restarted
        self.register(name, **{'born_ms': worker.incarnation, **fields})
        return worker

    def register(self, name, **fields):
        entry = WorkerEntry(
            **{
                'worker_id': name,
                'born_ms': 0,
                'service': SERVICE,
                'address': f'{name}:1',
                'domain': 'north',
                'rack': 'r1',
                'labels': frozenset(('a', 'r1')),
                'capacity': CAPACITY,
                **fields,
            }
        )
        self.store.write(
            f'{WORKERS}{name}', msgspec.json.encode(entry).decode()
        )

    def evacuation_settings(self):
        if self.evacuate_ms is None:
            return None
        return EvacuationSettings(prefix=EVACUATIONS, bound_ms=self.evacuate_ms)

    def evacuate(self, domain):
        self.store.write(f'{EVACUATIONS}{domain}', '{}')

    def take_back(self, domain):
        self.store.write(f'{EVACUATIONS}{domain}', None)

    def unregister(self, name):
        self.store.write(f'{WORKERS}{name}', None)

    async def add_instance(self, name, **fields):
        self.instances[name] = Instance(self, name, **fields)
        await self.instances[name].start()
        return self.instances[name]

    async def ask_is_gone(self, witness, name):
        """Answer for a witness; each one knows the killed instances."""
        return name in self.killed

    def leading(self):
        for instance in self.instances.values():
            leads = instance.leader_role.scheduler is not None
            if instance.alive and leads:
                return instance
        return None

    def _job_service(self):
        """Return the job service of an instance, if possible a living one."""
        instances = sorted(
            self.instances.values(), key=lambda one: not one.alive
        )
        return instances[0].job_service

    async def wait_leader(self):
        await wait_for(lambda: self.leading() is not None, 'a leader')
        return self.leading()

    async def submit(self, *jobs):
        job_service = self._job_service()
        for job in jobs:
            result = await job_service.submit(job)
            assert isinstance(result, Accepted), result
        return [job.job_id for job in jobs]

    async def state(self, job_id):
        """Ask for a job's state; None while the job service is unavailable."""
        job_service = self._job_service()
        try:
            return await job_service.state(job_id, WORKSPACE.name)
        except JobServiceUnavailable:
            return None

    async def wait_state(self, job_ids, state, limit_s=8):
        async def reached():
            return [await self.state(job_id) for job_id in job_ids] == [
                state
            ] * len(job_ids)

        await wait_for(reached, f'{state} of {job_ids}', limit_s)

    def runs(self):
        return [
            (run, worker)
            for worker in self.workers.values()
            for run in worker.history
        ]


@contextlib.asynccontextmanager
async def running_fleet(instances=1, workers=3, **fields):
    """Run a deployment, and wait for its first leader."""
    fleet = Fleet(**fields)
    for number in range(workers):
        fleet.add_worker(f'w{number}')
    for number in range(instances):
        await fleet.add_instance(f'i{number}')
    await fleet.wait_leader()
    try:
        yield fleet
    finally:
        for instance in fleet.instances.values():
            await instance.kill()


async def wait_for(condition, what, limit_s=8):
    """Wait until a condition holds, or raise AssertionError."""
    async with curio.ignore_after(limit_s):
        while True:
            holds = condition()
            if hasattr(holds, '__await__'):
                holds = await holds
            if holds:
                return
            await curio.sleep(0.01)
    raise AssertionError(f'not within {limit_s} s: {what}')


def decode_worker(worker_id, text):
    """Decode a worker registration; None if it is malformed."""
    try:
        return msgspec.json.decode(text, type=WorkerEntry)
    except msgspec.DecodeError:
        return None
