"""Tests of the stand-ins, in process and as processes."""

import subprocess
import sys

import curio
import msgspec
import pytest

from jayshore.clock import ManualClock, Millis, MonotonicClock
from jayshore.http.client import Address, ConnectionLost, HttpClient
from jayshore.http.messages import Request, encode_json
from jayshore.http.server import HttpServer, ServerLimits
from jayshore.resources import Resources
from standins.executor import ExecutorSettings, ExecutorStandIn
from standins.worker import WorkerSettings, WorkerStandIn


class Caller:
    """Calls a stand-in and decodes its JSON answers."""

    def __init__(self, *, client, clock):
        self.clock = clock
        self._client = client

    async def send(self, method, path, body=b'', **headers):
        names = {name.replace('_', '-'): headers[name] for name in headers}
        return await self._client.call(
            Request(method=method, path=path, headers=names, body=body),
            timeout_ms=Millis(5000),
        )

    async def post(self, path, **content):
        answer = await self.send('POST', path, encode_json(content))
        return answer.status, msgspec.json.decode(answer.body)

    async def get(self, path):
        return msgspec.json.decode((await self.send('GET', path)).body)

    async def open(self, epoch=1, **more):
        body = {'epoch': epoch, 'holder': 'd1', **more}
        status, lease = await self.post('/v1/lease/open', **body)
        assert status == 200
        return lease

    async def faults(self, **faults):
        await self.post('/admin/faults', **faults)

    async def start(self, lease_id, task_id, **payload):
        task = {
            'task_id': task_id,
            'attempt': 1,
            'resources': {'cpu_millis': 600},
            'payload': payload,
        }
        return await self.post('/v1/tasks', lease_id=lease_id, task=task)

    async def renew(self, lease_id, wait_ms=0, ack=()):
        return await self.post(
            '/v1/lease/renew', lease_id=lease_id, wait_ms=wait_ms, ack=ack
        )

    async def request(self, lease_id, request_id, body=b'{}'):
        return await self.send(
            'POST',
            '/v1/run',
            body,
            jayshore_lease=str(lease_id),
            jayshore_request_id=request_id,
            jayshore_team='t',
        )


def run_with_stand_in(main, stand_in, clock):
    """Run `main(caller)` while the stand-in serves calls."""

    async def supervise():
        server = HttpServer(
            host='127.0.0.1', port=0, handler=stand_in, limits=ServerLimits()
        )
        server.listen()
        client = HttpClient(
            address=Address(host='127.0.0.1', port=server.bound_port),
            max_connections=8,
            connect_timeout_ms=Millis(1000),
        )
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(stand_in.background())
            await group.spawn(server.serve())
            async with curio.timeout_after(10):
                await main(Caller(client=client, clock=clock))

    curio.run(supervise, taskcls=curio.task.ContextTask)


def run_worker(main):
    clock = ManualClock(start=Millis(1000))
    settings = WorkerSettings(
        capacity=Resources(cpu_millis=1000), usage_lag_ms=50
    )
    run_with_stand_in(
        main, WorkerStandIn(settings=settings, clock=clock), clock
    )


def run_executor(main):
    clock = MonotonicClock()
    stand_in = ExecutorStandIn(settings=ExecutorSettings(), clock=clock)
    run_with_stand_in(main, stand_in, clock)


@pytest.mark.parametrize('runner', [run_worker, run_executor])
def test_only_the_newest_lease_is_accepted(runner):
    """Guards against stand-ins that obey a replaced leader."""

    async def main(caller):
        old = (await caller.open(epoch=2))['lease_id']
        new = (await caller.open(epoch=2))['lease_id']
        assert new > old
        body = {'epoch': 1, 'holder': 'd2'}
        assert await caller.post('/v1/lease/open', **body) == (
            409,
            {'epoch': 2},
        )
        assert (await caller.renew(old))[0] == 409
        assert (await caller.renew(new))[0] == 200

    runner(main)


def test_start_under_an_older_lease_runs_nothing():
    """Guards against a worker that executes delayed starts of an old lease."""

    async def main(caller):
        old = (await caller.open())['lease_id']
        new = (await caller.open())['lease_id']
        assert (await caller.start(old, 'a'))[0] == 409
        assert (await caller.start(new, 'b'))[0] == 201
        history = await caller.get('/admin/history')
        assert [task['task_id'] for task in history['tasks']] == ['b']

    run_worker(main)


def test_renewal_returns_when_a_task_ends():
    """Guards against results that arrive late or are dropped before the ack."""

    async def main(caller):
        lease = (await caller.open())['lease_id']
        await caller.start(lease, 'a', run_ms=100, output='out')
        renewal = caller.renew(lease, wait_ms=5000)
        renewing = await curio.spawn(renewal)
        caller.clock.advance(Millis(100))
        (task,) = (await renewing.join())[1]['tasks']
        assert (task['outcome'], task['output']) == ('succeeded', 'out')
        reopened = await caller.open()
        assert [found['task_id'] for found in reopened['tasks']] == ['a']
        lease = reopened['lease_id']
        ack = [{'task_id': 'a', 'attempt': 1}]
        assert (await caller.renew(lease, ack=ack))[1]['tasks'] == []

    run_worker(main)


def test_waiting_renewal_is_refused_after_a_new_lease():
    """Guards against a renewal that waits on after a newer lease was opened."""

    async def main(caller):
        lease = (await caller.open())['lease_id']
        renewing = await curio.spawn(caller.renew(lease, wait_ms=5000))
        while not (await caller.get('/admin/calls'))['by_kind'].get(
            'lease_renew'
        ):
            await curio.sleep(0)
        await caller.open()
        assert (await renewing.join())[0] == 409

    run_worker(main)


def test_unrenewed_tasks_are_stopped_after_the_task_lease():
    """Guards against tasks that keep running without lease renewals."""

    async def main(caller):
        lease = (await caller.open(task_lease_ms=300))['lease_id']
        await caller.start(lease, 'a')
        caller.clock.advance(Millis(300))
        assert (await caller.renew(lease))[1]['tasks'][0]['outcome'] is None
        caller.clock.advance(Millis(301))
        history = await caller.get('/admin/history')
        assert history['tasks'][0]['outcome'] == 'lease_expired'
        assert history['tasks'][0]['end_ms'] == 1601

    run_worker(main)


def test_throttle_checkpoint_and_stop():
    """Guards against preemption that loses or invents progress."""

    async def main(caller):
        lease = (await caller.open())['lease_id']
        await caller.start(lease, 'a', run_ms=1000)
        for action, advance, progress in (
            ('throttle', 100, 100),
            ('checkpoint', 100, 150),
            ('stop', 100, 200),
        ):
            caller.clock.advance(Millis(advance))
            body = {'lease_id': lease, 'percent': 50}
            status, answer = await caller.post(f'/v1/tasks/a/{action}', **body)
            (task,) = answer['tasks']
            assert (status, task['progress_ms']) == (200, progress)
        assert (task['outcome'], task['checkpoint_ms']) == ('stopped', 150)
        await caller.start(lease, 'b', run_ms=1000, resume_from_ms=150)
        caller.clock.advance(Millis(850))
        tasks = (await caller.get('/admin/history'))['tasks']
        assert tasks[1]['outcome'] == 'succeeded'

    run_worker(main)


def test_worker_does_what_it_is_told():
    """Guards against a worker stand-in that hides faults of the scheduler.

    It must report repeated starts, failures and usage as they are, and lose
    its lease and tasks in a reboot.
    """

    async def main(caller):
        lease = (await caller.open())['lease_id']
        for _ in range(2):
            assert (await caller.start(lease, 'a'))[0] == 201
        await caller.faults(fail_starts=True, leaving=True)
        assert (await caller.start(lease, 'b', run_ms=9))[0] == 201
        caller.clock.advance(Millis(50))
        status, renewed = await caller.renew(lease)
        assert renewed['leaving']
        outcomes = [task['outcome'] for task in renewed['tasks']]
        assert outcomes == [None, None, 'failed']
        assert renewed['tasks'][0]['usage']['cpu_millis'] == 600
        tasks = (await caller.get('/admin/history'))['tasks']
        assert [task['leaving'] for task in tasks] == [False, False, True]
        boot_id = (await caller.get('/admin/history'))['boot_id']
        await caller.post('/admin/reboot')
        assert (await caller.renew(lease))[0] == 409
        reopened = await caller.open()
        assert (reopened['boot_id'] != boot_id, reopened['tasks']) == (True, [])

    run_worker(main)


def test_lost_answer_of_a_start_leaves_the_task_running():
    """Guards against a lost answer whose start has no effect."""

    async def main(caller):
        lease = (await caller.open())['lease_id']
        await caller.faults(lose_next_write_answers=1, lose_kinds=['start'])
        with pytest.raises(ConnectionLost):
            await caller.start(lease, 'a')
        assert [task['task_id'] for task in (await caller.open())['tasks']] == [
            'a'
        ]

    run_worker(main)


def test_executor_runs_and_echoes_the_id():
    """Guards against answers that cannot be matched to their request."""

    async def main(caller):
        lease = (await caller.open())['lease_id']
        assert (await caller.get('/v1/runs/r1'))['state'] == 'never'
        slow = caller.request(lease, 'r1', b'{"service_ms": 100}')
        running = await curio.spawn(slow)
        while (await caller.get('/v1/runs/r1'))['state'] == 'never':
            await curio.sleep(0)
        answer = await running.join()
        assert answer.header('jayshore-request-id') == 'r1'
        assert answer.body == b'{"service_ms": 100}'
        assert (await caller.get('/v1/runs/r1'))['state'] == 'finished'
        assert (await caller.request(lease - 1, 'r2')).status == 409
        assert (await caller.get('/v1/runs/r2'))['state'] == 'never'
        (record,) = (await caller.get('/admin/history'))['runs']
        assert record['end_ms'] - record['start_ms'] >= 99

    run_executor(main)


def test_executor_crosses_and_loses_answers():
    """Guards against fault switches of the executor that have no effect."""

    async def main(caller):
        lease = (await caller.open())['lease_id']
        await caller.faults(cross_next_pairs=1)
        first = await curio.spawn(caller.request(lease, 'r1', b'1'))
        while (await caller.get('/v1/runs/r1'))['state'] == 'never':
            await curio.sleep(0)
        second = await caller.request(lease, 'r2', b'2')
        assert second.header('jayshore-request-id') == 'r1'
        assert (await first.join()).body == b'2'
        await caller.faults(drop_next_before_run=1)
        await caller.faults(lose_next_write_answers=1)
        for request_id, state in (('r3', 'never'), ('r4', 'finished')):
            with pytest.raises(ConnectionLost):
                await caller.request(lease, request_id)
            found = await caller.get(f'/v1/runs/{request_id}')
            assert found['state'] == state

    run_executor(main)


@pytest.mark.parametrize('name', ['store', 'worker', 'executor'])
@pytest.mark.processes
def test_process_prints_where_it_listens(name):
    """Guards against a stand-in process whose address a test cannot read."""
    command = [sys.executable, '-m', f'standins.{name}', '--port', '0']
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        try:
            word, address = child.stdout.readline().split()
            assert word == 'ready'
            assert Address.parse(address).host == '127.0.0.1'
        finally:
            child.kill()
