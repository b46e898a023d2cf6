"""Simulated shared platform: store, executors and advice in one process.

It implements the published protocol on top of `MemoryStore` and
`MemoryWorker`, and decides nothing itself. Run with
`python -m standins.shared_platform --directory DIR`: it listens on free ports
of 127.0.0.1 and writes them to `DIR/platform.json`.

`POST /test/put` with `key` and `value` writes a key as the operator does,
`/test/trouble` and `/test/worker` inject faults, `/test/forget` drops the
store's history, `/test/register` registers an executor under another address,
and `/test/runs` and `/test/history` list all runs.
"""

import argparse
import base64
import pathlib
import random
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.fleet.model import TaskId, format_task_id
from jayshore.http.messages import Request, Response, json_response
from jayshore.http.requestreader import ServerLimits
from jayshore.http.server import Handler, HttpServer
from jayshore.http.serverconnection import DropConnection
from jayshore.store.store import (
    Entry,
    LeaseGone,
    Listing,
    StoreUnavailable,
    StoreUncertain,
    Written,
)
from jayshore.store.transactions import (
    HistoryLost,
    Mismatch,
    Put,
    Transaction,
)
from standins.memorystore import MemoryStore
from standins.memoryworker import MemoryWorker
from standins.platformexecutors import AdviceHandler, ExecutorHandler

HOST = '127.0.0.1'
EXECUTORS = 3
RUN_MS = Millis(150)
_RANDOM_RUN_MS_RANGE = (20, 700)
SERVICE = 'plans'

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_UNAVAILABLE = 503
_IDLE_MS = Millis(5000)
_LOST_ANSWER_MS = Millis(5000)
"""How long a connection without an answer stays open, in ms.

Longer than the instances wait for an answer of the store.
"""


class StoreHandler(Handler):
    """Serves the store's protocol and the control calls of tests."""

    def __init__(
        self, *, store: MemoryStore, workers: list[MemoryWorker]
    ) -> None:
        """Create the handler of a store.

        Args:
            store: state of the store.
            workers: executors that tests control and whose runs they read.
        """
        self._store = store
        self._workers = workers

    async def handle(self, request: Request) -> Response:
        """Answer a call.

        Args:
            request: the call.

        Returns:
            The answer.
        """
        try:
            return await self._answer_call(request)
        except HistoryLost:
            return json_response(_GONE, {})
        except StoreUnavailable as error:
            return json_response(_UNAVAILABLE, {'Error': str(error)})
        except StoreUncertain:
            # Status 503 would say that nothing was done.
            await curio.sleep(to_seconds(_LOST_ANSWER_MS))
            raise DropConnection('the answer is lost') from None

    async def _answer_call(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body) if request.body else {}
        name = request.path.removeprefix('/-/')
        query = request.query
        if name == 'kv-key':
            entry = await self._store.get(query['Key'])
            if entry is None:
                return json_response(_NOT_FOUND, {})
            return json_response(_OK, _encode_entry(entry))
        if name == 'kv-range':
            listing = await self._store.list(query['Prefix'])
            return json_response(
                _OK,
                {
                    'items': [
                        _encode_entry(entry) for entry in listing.entries
                    ],
                    'HasMore': False,
                    'AtRev': listing.revision,
                },
            )
        if name == 'kv-watch':
            listing = await self._store.watch(
                query['Prefix'],
                since=int(query['After']),
                wait_ms=Millis(int(query['WaitMs'])),
            )
            return json_response(_OK, _encode_events(listing))
        if name == 'kv-txn':
            return await self._transact(body)
        return await self._answer_lease_call(name, request, body)

    async def _answer_lease_call(
        self, name: str, request: Request, body: dict[str, Any]
    ) -> Response:
        if name == 'kv-lease':
            lease = await self._store.grant_lease(Millis(body['TtlMs']))
            return json_response(
                _OK, {'Lease': lease.lease_id, 'TtlMs': lease.ttl_ms}
            )
        call, _, lease_id = name.partition('/')
        if call == 'kv-keep':
            renewed = await self._store.renew_lease(int(lease_id))
            if isinstance(renewed, LeaseGone):
                return json_response(_NOT_FOUND, {})
            return json_response(_OK, {'TtlMs': renewed.ttl_ms})
        if call == 'kv-lease-end':
            await self._store.revoke_lease(int(lease_id))
            return json_response(_OK, {})
        return self._answer_test_call(request, body)

    def _answer_test_call(
        self, request: Request, body: dict[str, Any]
    ) -> Response:
        if request.path == '/test/put':
            self._store.write(body['key'], body['value'])
            return json_response(_OK, {})
        if request.path == '/test/trouble':
            for field, setting in body.items():
                setattr(self._store.faults, field, setting)
            return json_response(_OK, {})
        if request.path == '/test/forget':
            self._store.forget_history()
            return json_response(_OK, {})
        if request.path == '/test/worker':
            self._set_worker_faults(body['worker'], body['trouble'])
            return json_response(_OK, {})
        if request.path == '/test/register':
            register_executor(
                self._store, self._workers[body['worker']], body['address']
            )
            return json_response(_OK, {})
        if request.path == '/test/history':
            return json_response(_OK, _encode_history(self._workers))
        if request.path == '/test/runs':
            return json_response(
                _OK,
                [
                    (format_task_id(run.task), run.run, run.kind, run.payload)
                    for worker in self._workers
                    for run in worker.history
                ],
            )
        return json_response(_NOT_FOUND, {})

    def _set_worker_faults(
        self, worker_index: int, faults: dict[str, Any]
    ) -> None:
        worker = self._workers[worker_index]
        if faults.pop('reboot', False):
            worker.reboot()
        if 'clock_percent' in faults:
            worker.clock_percent = faults.pop('clock_percent')
        for field, setting in faults.items():
            setattr(worker.faults, field, setting)

    async def _transact(self, body: dict[str, Any]) -> Response:
        result = await self._store.transact(
            Transaction(
                expected=tuple(
                    (row['Key'], row['Rev']) for row in body['ExpectedRev']
                ),
                puts=tuple(
                    Put(
                        key=row['Key'],
                        value=base64.b64decode(row['Value']).decode(),
                        lease_id=row.get('Lease') or None,
                    )
                    for row in body['Puts']
                ),
                removals=tuple(body['Remove']),
            )
        )
        if isinstance(result, Written):
            return json_response(_OK, {'Rev': result.revision})
        if isinstance(result, Mismatch):
            rows = [
                {'Key': key, 'Rev': rev}
                for key, rev in result.revisions.items()
            ]
            return json_response(_CONDITION_FAILED, {'items': rows})
        return json_response(_NOT_FOUND, {})


def _encode_entry(entry: Entry) -> dict[str, Any]:
    return {
        'Key': entry.key,
        'Value': base64.b64encode(entry.value.encode()).decode(),
        'Rev': entry.revision,
        'CreatedRev': entry.revision,
        'Lease': 0,
    }


def _encode_events(listing: Listing) -> dict[str, Any]:
    events = [_encode_entry(entry) for entry in listing.entries]
    deletions = [
        {'Key': key, 'Rev': listing.revision, 'Deleted': True}
        for key in listing.deleted
    ]
    return {'events': [*events, *deletions], 'AtRev': listing.revision}


def register_executor(
    store: MemoryStore, worker: MemoryWorker, address: str
) -> None:
    """Write the registration of an executor.

    Args:
        store: the store to write to.
        worker: state of the executor.
        address: address of the executor, as `host:port`.
    """
    registration = {
        'Service': SERVICE,
        'Addr': address,
        'Zone': 'north',
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Capacity': {'Cpu': 4000, 'MemMb': 8000, 'Gpu': 0},
        'Labels': ['a', 'r1'],
        'ClockMs': worker.clock_ms,
        'Seq': 1,
    }
    store.write(
        f'servers/{worker.worker_id}',
        msgspec.json.encode(registration).decode(),
    )


def _encode_history(workers: list[MemoryWorker]) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for worker in workers:
        worker.end_due_runs()
        rows.extend(
            {
                'worker': worker.worker_id,
                'task': format_task_id(run.task),
                'run': run.run,
                'kind': run.kind,
                'payload': run.payload,
                'noted': run.noted,
                'started_at': run.started_at,
                'ended_at': run.ended_at,
            }
            for run in worker.history
        )
    return rows


def _make_run_duration(seed: int | None) -> Callable[[TaskId], Millis]:
    """Create the run time function: fixed, or random by seed and task."""
    if seed is None:
        return lambda _task: RUN_MS

    def draw_run_ms(task: TaskId) -> Millis:  # noqa: WPS430 needs the seed
        rng = random.Random(f'{seed} {task}')
        return Millis(rng.randint(*_RANDOM_RUN_MS_RANGE))

    return draw_run_ms


async def _serve(tasks: BackgroundTasks, handler: Handler) -> int:
    server = HttpServer(
        host=HOST, port=0, handler=handler, limits=ServerLimits()
    )
    server.listen()
    await tasks.spawn(server.serve())
    return server.bound_port


async def main(
    directory: pathlib.Path, executors: int, seed: int | None
) -> None:
    """Serve until the process is terminated.

    Args:
        directory: directory of `platform.json`, which lists the ports.
        executors: number of executors.
        seed: seed of random run times, None for fixed ones.
    """
    tasks = BackgroundTasks()
    store = MemoryStore()
    workers = [
        MemoryWorker(worker_id=f'x-{number}', run_ms=_make_run_duration(seed))
        for number in range(executors)
    ]
    executor_ports = []
    for worker in workers:
        port = await _serve(tasks, ExecutorHandler(worker=worker))
        executor_ports.append(port)
        register_executor(store, worker, f'{HOST}:{port}')
    ports = {
        'store': await _serve(
            tasks, StoreHandler(store=store, workers=workers)
        ),
        'advice': await _serve(tasks, AdviceHandler()),
        'executors': executor_ports,
    }
    path = directory / 'platform.json'
    partial = path.with_suffix('.part')
    partial.write_bytes(msgspec.json.encode(ports))
    partial.rename(path)
    while True:
        await curio.sleep(to_seconds(_IDLE_MS))


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--directory', type=pathlib.Path, required=True)
    parser.add_argument('--executors', type=int, default=EXECUTORS)
    parser.add_argument('--seed', type=int)
    options = parser.parse_args()
    curio.run(
        main,
        options.directory,
        options.executors,
        options.seed,
        taskcls=curio.task.ContextTask,
    )
