"""A scripted executor and a router on it, for the tests of this package."""

import contextlib
import random

import curio

from jayshore.clock import ManualClock
from jayshore.retry import Backoff, RetryRatio
from jayshore.routing.executor import (
    ExecutorAnswer,
    ExecutorClient,
    ExecutorFenced,
    ExecutorLost,
    ExecutorUnreachable,
    Inventory,
    OpenedLease,
    RoutedRequest,
    RunningRequest,
    RunState,
)
from jayshore.routing.headroom import Headroom, Shares
from jayshore.routing.health import EjectionPolicy
from jayshore.routing.policy import RoutingPolicy
from jayshore.routing.router import Router

LONG_MS = 60_000
NO_DELAY = Backoff(base_ms=0, max_ms=0)
POLICY = RoutingPolicy(
    retry_backoff=NO_DELAY,
    ejection=EjectionPolicy(consecutive_failures=1000),
)


class FakeExecutor(ExecutorClient):
    """A scripted executor; `modes` maps request ids to faults.

    unreachable, fenced: the request is refused without effect.
    lost_before: the connection breaks before the request arrives.
    lost_after: the request runs and ends, and its answer is lost.
    lost_running: the answer is lost while the request runs until `finish`.

    All but the last happen once per request, unless `repeats_faults` is set. A
    request without a fault runs until `finish`, or ends at once with
    `is_instant`. `answer_ids` maps request ids to the id that the answer names.
    """

    def __init__(self, slots=2, is_instant=True):
        self.slots = slots
        self.is_instant = is_instant
        self.repeats_faults = False
        self.modes = {}
        self.answer_ids = {}
        self.boot_id = 'boot'
        self.lease_id = 0
        self.epoch = 0
        self.leaving = False
        self.running = {}
        self.finished = set()
        self.started = []
        self.calls = 0
        self.peak = 0
        self._gates = {}
        self._changed = curio.Event()

    def inventory(self):
        running = tuple(
            RunningRequest(request_id=request_id, team=team)
            for request_id, team in self.running.items()
        )
        return Inventory(leaving=self.leaving, running=running)

    async def changed(self):
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def finish(self, request_id):
        await self.gate(request_id).set()
        if self.modes.get(request_id) == 'lost_running':
            await self.end(request_id)

    async def end(self, request_id):
        self.running.pop(request_id)
        self.finished.add(request_id)
        await self.changed()

    async def reboot(self):
        self.boot_id += '+'
        self.lease_id += 1
        interrupted = tuple(self.running)
        self.running.clear()
        self.finished.clear()
        for request_id in interrupted:
            await self.gate(request_id).set()
        await self.changed()

    def gate(self, request_id):
        return self._gates.setdefault(request_id, curio.Event())

    async def open(self, epoch):
        if epoch < self.epoch:
            raise ExecutorFenced('higher epoch')
        self.epoch = epoch
        self.lease_id += 1
        await self.changed()
        return OpenedLease(
            lease_id=self.lease_id,
            boot_id=self.boot_id,
            slots=self.slots,
            connections=64,
            inventory=self.inventory(),
        )

    async def renew(self, lease_id):
        if lease_id == self.lease_id:
            await self._changed.wait()
        if lease_id != self.lease_id:
            raise ExecutorFenced('newer lease')
        return self.inventory()

    async def run(self, request, *, lease_id, timeout_ms):
        request_id = request.request_id
        self.calls += 1
        mode = self.modes.get(request_id)
        if mode != 'lost_running' and not self.repeats_faults:
            self.modes.pop(request_id, None)
        if mode == 'unreachable':
            raise ExecutorUnreachable('scripted')
        if mode == 'lost_before':
            raise ExecutorLost('scripted')
        if mode == 'fenced' or lease_id != self.lease_id:
            raise ExecutorFenced('newer lease')
        self.started.append(request_id)
        self.running[request_id] = request.team
        self.peak = max(self.peak, len(self.running))
        await self.changed()
        if mode == 'lost_running':
            raise ExecutorLost('scripted')
        if not self.is_instant:
            await self.gate(request_id).wait()
        if request_id not in self.running:
            raise ExecutorLost('the executor has restarted')
        await self.end(request_id)
        if mode == 'lost_after':
            raise ExecutorLost('scripted')
        answered = self.answer_ids.get(request_id, request_id)
        return ExecutorAnswer(request_id=answered, body=answered.encode())

    async def state_of(self, request_id):
        if request_id in self.running:
            return RunState.RUNNING
        if request_id in self.finished:
            return RunState.FINISHED
        return RunState.NEVER


class CountedHeadroom(Headroom):
    """Counts requests against a limit per team; no limit unless set."""

    def __init__(self):
        self.limits = {}
        self.in_use = {}

    def try_reserve(self, team, demand):
        in_use = self.in_use.get(team, 0) + demand.requests
        if in_use > self.limits.get(team, 10**6):
            return False
        self.in_use[team] = in_use
        return True

    def charge(self, team, demand):
        self.in_use[team] = self.in_use.get(team, 0) + demand.requests

    def release(self, team, demand):
        self.in_use[team] -= demand.requests
        assert self.in_use[team] >= 0

    def fits_grant(self, team, demand):
        return demand.requests <= self.limits.get(team, 10**6)


class FixedShares(Shares):
    """Gives each team a share of 1 unless another is set."""

    def __init__(self):
        self.shares = {}

    def share_of(self, team):
        return self.shares.get(team, 1)


class RouterHarness:
    """A router with fake executors and fake dependencies."""

    def __init__(self, policy, seed):
        self.clock = ManualClock()
        self.headroom = CountedHeadroom()
        self.shares = FixedShares()
        self.executors = {}
        self.router = Router(
            epoch=3,
            headroom=self.headroom,
            shares=self.shares,
            clock=self.clock,
            rng=random.Random(seed),
            policy=policy,
        )

    async def add(self, executor_id, executor):
        self.executors[executor_id] = executor
        await self.router.add_executor(
            executor_id,
            service='fill',
            client=executor,
        )
        await let_tasks_run()

    def request(self, request_id, **changes):
        return RoutedRequest(
            **{
                'request_id': request_id,
                'service': 'fill',
                'team': 'team',
                'idempotent': False,
                'timeout_ms': LONG_MS,
                **changes,
            },
        )

    async def route(self, request_id, **changes):
        return await self.router.route(self.request(request_id, **changes))

    async def start(self, request_id, **changes):
        task = await curio.spawn(self._route_task, request_id, changes)
        await let_tasks_run()
        return task

    async def _route_task(self, request_id, changes):
        return await self.route(request_id, **changes)

    @property
    def used(self):
        executors = self.router._dispatcher.slot_table.of_service('fill')
        return sum(slots.used for slots in executors)

    @property
    def free(self):
        return sum(entry.free_slots for entry in self.router.load())


@contextlib.asynccontextmanager
async def run_router(*executors, policy=POLICY, seed=1):
    harness = RouterHarness(policy, seed)
    for number, executor in enumerate(executors):
        await harness.add(f'e{number}', executor)
    try:
        yield harness
    finally:
        await harness.router.close()


def run(main):
    """Run a test body with the task class that the daemon uses."""
    return curio.run(main, taskcls=curio.task.ContextTask)


async def let_tasks_run():
    """Yield often enough for every task to run until it waits."""
    for _ in range(60):
        await curio.sleep(0)


NO_RETRIES = RoutingPolicy(
    retry_backoff=NO_DELAY,
    retry_ratio=RetryRatio(retries_per_request=0, burst=0),
)
