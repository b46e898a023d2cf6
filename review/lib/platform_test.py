"""Stand-ins of the users' platform: store, executors and advice service.

They follow PROTOCOL.md, run in the process of a case, listen on loopback
addresses, and note everything that they are told in a record.
"""

import asyncio
import base64
import bisect
import json
import time
import urllib.parse

HOST = '127.0.0.1'
BEAT_S = 1.5
MISSED_BEATS = 3
HOLD_MAX_MS = 10_000
STOP_MS = 100
MAX_ENDS = 500
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


class Record:
    """Lines of `record.txt` with the time since the start of the case."""

    def __init__(self, path):
        self._file = open(path, 'w')  # noqa: SIM115
        self._origin = time.monotonic()

    def now(self):
        return time.monotonic() - self._origin

    def add(self, text):
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()


class HttpServer:
    """HTTP/1.1 server; a handler that returns None leaves a call unanswered."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._open = set()
        self.port = 0

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, HOST, port or self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listener and reset all connections, as a crash does."""
        self._server.close()
        for writer in tuple(self._open):
            writer.transport.abort()
        self._open.clear()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode('latin-1').split('\r\n')
                method, target, _ = first.split(' ')
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (
                        line.partition(':') for line in lines if line
                    )
                }
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length) if length else b''
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    # The bytes are lost, the connection stays open.
                    await reader.read()
                    return
                status, content = answer
                encoded = json.dumps(content).encode()
                writer.write(
                    f'HTTP/1.1 {status} {REASONS.get(status, "-")}\r\n'
                    'content-type: application/json\r\n'
                    f'content-length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._open.discard(writer)
            writer.close()


class Store:
    """The metadata store: conditional transactions, watches and leases.

    Attributes:
        on_write: called with each applied transaction before its answer.
        delay_s: how long each answer of a transaction takes.
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 10
        self.events = []
        self.leases = {}
        self.delay_s = 0.004
        self.on_write = None
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    async def start(self):
        await self.server.start()
        asyncio.create_task(self._expire())

    def put(self, key, content, lease=0):
        """Write a key as the operator or an executor does."""
        self.revision += 1
        self._write(key, json.dumps(content).encode(), lease)
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._notify()

    def read(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(item['value'])

    def _write(self, key, value, lease):
        created = self.items.get(key, {}).get('created', self.revision)
        self.items[key] = {
            'value': value,
            'rev': self.revision,
            'created': created,
            'lease': lease,
        }
        self.events.append((self.revision, key, value))

    def _delete(self, key):
        del self.items[key]
        self.events.append((self.revision, key, None))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key):
        item = self.items[key]
        return {
            'Key': key,
            'Value': base64.b64encode(item['value']).decode(),
            'Rev': item['rev'],
            'CreatedRev': item['created'],
            'Lease': item['lease'],
        }

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [
                lease
                for lease, (_, until) in self.leases.items()
                if until < now
            ]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [
            key for key, item in self.items.items() if item['lease'] == lease
        ]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    async def _handle(self, method, target, _headers, body):
        path, _, query = target.partition('?')
        options = dict(urllib.parse.parse_qsl(query))
        content = json.loads(body) if body else {}
        name = path.removeprefix('/-/')
        if name == 'kv-key':
            await asyncio.sleep(self.delay_s)
            key = options['Key']
            if key not in self.items:
                return 404, {'AtRev': self.revision}
            return 200, {**self._row(key), 'AtRev': self.revision}
        if name == 'kv-range':
            await asyncio.sleep(self.delay_s)
            return 200, self._range(options)
        if name == 'kv-watch':
            return await self._watch(options)
        if name == 'kv-txn':
            return await self._transact(content)
        await asyncio.sleep(self.delay_s)
        return self._answer_lease_call(name, content)

    def _answer_lease_call(self, name, content):
        call, _, number = name.partition('/')
        if call == 'kv-lease':
            lease = self._next_lease
            self._next_lease += 1
            ttl_s = content['TtlMs'] / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'Lease': lease, 'TtlMs': content['TtlMs']}
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if call == 'kv-keep':
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'TtlMs': round(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, options):
        prefix = options['Prefix']
        after = options.get('After', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        rows = []
        size = 0
        for key in keys:
            if len(rows) == PAGE_ITEMS or size > PAGE_BYTES:
                break
            rows.append(self._row(key))
            size += len(rows[-1]['Value'])
        return {
            'items': rows,
            'HasMore': len(rows) < len(keys),
            'AtRev': self.revision,
        }

    async def _watch(self, options):
        prefix = options['Prefix']
        after = int(options['After'])
        end = time.monotonic() + int(options['WaitMs']) / 1000
        while True:
            changed = self._changed
            first = bisect.bisect_right(
                self.events, after, key=lambda event: event[0]
            )
            rows = [
                {'Key': key, 'Rev': rev, 'Deleted': True}
                if value is None
                else {
                    'Key': key,
                    'Rev': rev,
                    'Value': base64.b64encode(value).decode(),
                }
                for rev, key, value in self.events[first:]
                if key.startswith(prefix)
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                answer = {'events': rows, 'AtRev': self.revision}
                await asyncio.sleep(self.delay_s)
                return 200, answer
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _transact(self, content):
        expected = content.get('ExpectedRev') or []
        puts = content.get('Puts') or []
        removals = content.get('Remove') or []
        values = [base64.b64decode(row['Value']) for row in puts]
        if any(len(value) > VALUE_BYTES for value in values):
            self.record.add('store: 413, a value is over the limit')
            return 413, {}
        if len(expected) + len(puts) + len(removals) > 32:
            return 400, {}
        current = {
            row['Key']: self.items.get(row['Key'], {}).get('rev', 0)
            for row in expected
        }
        if any(current[row['Key']] != row['Rev'] for row in expected):
            await asyncio.sleep(self.delay_s)
            rows = [
                self._row(key) if rev else {'Key': key, 'Rev': 0}
                for key, rev in current.items()
            ]
            return 412, {'items': rows}
        for row in puts:
            if row.get('Lease') and row['Lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        revision = self.revision
        for row, value in zip(puts, values, strict=True):
            self._write(row['Key'], value, row.get('Lease', 0))
        for key in removals:
            if key in self.items:
                self._delete(key)
        self._notify()
        if self.on_write is not None:
            self.on_write(
                {
                    row['Key']: value
                    for row, value in zip(puts, values, strict=True)
                }
            )
        await asyncio.sleep(self.delay_s)
        return 200, {'Rev': revision}


class Run:
    """One run of a task at an executor."""

    def __init__(self, executor, task, run, spec):
        self.executor = executor
        self.life = executor.life
        self.task = task
        self.number = run
        self.spec = spec
        self.started_at = executor.record.now()
        self.ended_at = None
        self.how = ''
        self.noted_at = None
        self.stopping = False

    def __str__(self):
        return f'{self.task} run {self.number} at {self.executor.name}'


class Executor:
    """One executor that does what it is told.

    The payload of a submission is JSON: `ms` is the duration of its tasks,
    `fail` makes them fail then; without `ms` they last until they are stopped.

    Attributes:
        cut: nothing that is sent to it arrives, and nothing that it sends.
        late_starts: so many starts get no answer and are carried out after
            `late_s`.
    """

    def __init__(self, *, store, name, cpu=16_000, memory=65_536):
        self.store = store
        self.record = store.record
        self.name = name
        self.worker_id = f'{name}-1'
        self.cpu = cpu
        self.memory = memory
        self.kind = 'a'
        self.rack = 'r1'
        self.service = 'plans'
        self.life = 0
        self.up = False
        self.cut = False
        self.draining = False
        self.late_starts = 0
        self.late_s = 2.0
        self.history = []
        self.server = HttpServer(self._handle)

    @property
    def clock_ms(self):
        return round((time.monotonic() - self._born) * 1000) + 400

    async def start(self, *, beat=True):
        """Begin a life; it holds and knows nothing of an earlier one."""
        self.life += 1
        self._born = time.monotonic()
        self.born_ms = round(time.time() * 1000)
        self.fence = 0
        self.expires = 0
        self.running = {}
        self.finished = []
        self.highest = {}
        self.count = 0
        self.forgotten = 0
        self.ended = asyncio.Event()
        await self.server.start()
        self.up = True
        self.record.add(f'{self.name}: up as {self.worker_id}')
        asyncio.create_task(self._beat(self.life, wait=not beat))
        asyncio.create_task(self._watch_lease(self.life))

    async def crash(self):
        """End at once; connections are reset and nothing is reported."""
        self.up = False
        self.record.add(f'{self.name}: crashed with {len(self.running)} runs')
        for run in tuple(self.running.values()):
            run.ended_at = self.record.now()
            run.how = 'crashed'
        self.running = {}
        await self.server.stop()

    async def _beat(self, life, wait):
        worker_id = self.worker_id
        beaten_at = time.monotonic()
        sequence = 0
        if wait:
            await asyncio.sleep(BEAT_S)
        while self.life == life and self.up:
            if not self.cut:
                sequence += 1
                self.store.put(
                    f'servers/{worker_id}', self._registration(sequence)
                )
                beaten_at = time.monotonic()
            await self._wait_for_end(life, BEAT_S)
        # The platform removes an entry after three missed beats.
        left = beaten_at + MISSED_BEATS * BEAT_S - time.monotonic()
        await asyncio.sleep(max(0, left))
        if not (self.up and self.worker_id == worker_id):
            self.record.add(f'store: the entry of {worker_id} is removed')
            self.store.remove(f'servers/{worker_id}')

    async def _wait_for_end(self, life, limit_s):
        """Wait until this life is over, at most for a time."""
        end = time.monotonic() + limit_s
        while self.life == life and self.up and time.monotonic() < end:
            await asyncio.sleep(0.02)

    def _registration(self, sequence):
        return {
            'Service': self.service,
            'Addr': f'{HOST}:{self.server.port}',
            'Zone': 'north',
            'Version': 'v1',
            'Slots': 8,
            'State': 'draining' if self.draining else 'ready',
            'ColdLeftMs': 0,
            'Capacity': {'Cpu': self.cpu, 'MemMb': self.memory, 'Gpu': 0},
            'Labels': [self.kind, self.rack],
            'ClockMs': self.clock_ms,
            'Seq': sequence,
            'born': self.born_ms,
        }

    async def _watch_lease(self, life):
        while self.life == life and self.up:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms >= self.expires:
                for run in tuple(self.running.values()):
                    self._end(run, 'lapsed')

    async def _handle(self, method, path, headers, body):
        life = self.life
        if self.cut:
            return None
        if headers.get('jayshore-target-instance') != self.worker_id:
            return 421, {}
        content = json.loads(body)
        if path == '/-/hold':
            answer = await self._hold(content, life)
        elif path == '/-/run-start':
            if self.late_starts > 0:
                self.late_starts -= 1
                asyncio.create_task(self._start_late(content))
                return None
            answer = self._start(content)
        elif path == '/-/run-stop':
            answer = self._stop(content)
        else:
            answer = 404, {}
        if self.cut or self.life != life or not self.up:
            return None
        return answer

    async def _start_late(self, content):
        self.record.add(
            f'{self.name}: no answer to the start of {content["Task"]}'
            f' run {content["Run"]}, done {self.late_s} s later'
        )
        await asyncio.sleep(self.late_s)
        if self.up:
            status, said = self._start(content)
            self.record.add(
                f'{self.name}: the late start of {content["Task"]}'
                f' run {content["Run"]} is carried out: {status} {said}'
            )

    def _refuse(self, reason):
        return 409, {'ClockMs': self.clock_ms, 'Reason': reason}

    def _see_fence(self, content):
        if content.get('Fence', 0) < self.fence:
            return False
        self.fence = content.get('Fence', 0)
        return True

    def _extend(self, until):
        if until:
            longest = self.clock_ms + HOLD_MAX_MS
            self.expires = max(self.expires, min(until, longest))

    def _start(self, content):
        task, number = content['Task'], content['Run']
        if not self._see_fence(content):
            return self._refuse('fence')
        if content['ExpiresMs'] <= self.clock_ms:
            return self._refuse('late')
        self._extend(content['ExpiresMs'])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {'ClockMs': self.clock_ms}
        if number <= self.highest.get(task, 0):
            return self._refuse('old')
        run = Run(self, task, number, json.loads(content['Spec']))
        self.running[task] = run
        self.history.append(run)
        self.record.add(f'{self.name}: starts {task} run {number}')
        if run.spec.get('ms') is not None:
            asyncio.create_task(self._work(run))
        return 200, {'ClockMs': self.clock_ms}

    async def _work(self, run):
        await asyncio.sleep(run.spec['ms'] / 1000)
        if self.running.get(run.task) is run:
            self._end(run, 'failed' if run.spec.get('fail') else 'done')

    def _stop(self, content):
        task, number = content['Task'], content['Run']
        if not self._see_fence(content):
            return self._refuse('fence')
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.create_task(self._finish_stop(run))
        return 200, {'ClockMs': self.clock_ms}

    async def _finish_stop(self, run):
        await asyncio.sleep(STOP_MS / 1000)
        if self.running.get(run.task) is run:
            self._end(run, 'stopped')

    def _end(self, run, how):
        del self.running[run.task]
        run.ended_at = self.record.now()
        run.how = how
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.count += 1
        self.finished.append((self.count, run))
        self.record.add(f'{self.name}: {run.task} run {run.number} is {how}')
        self.ended.set()
        self.ended = asyncio.Event()

    async def _hold(self, content, life):
        if not self._see_fence(content):
            return self._refuse('fence')
        self._extend(content.get('ExpiresMs', 0))
        for number, run in self.finished:
            if run.noted_at is None and number <= content['LastSeen']:
                run.noted_at = self.record.now()
        self.finished = [
            row for row in self.finished if row[0] > content['LastSeen']
        ]
        wait_s = content.get('WaitMs', 0) / 1000
        if wait_s and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if self.life != life or not self.up:
            return None
        return 200, {
            'ClockMs': self.clock_ms,
            'born': self.born_ms,
            'Running': [
                [run.task, run.number, '', self._percent(run), 0]
                for run in self.running.values()
            ],
            'Finished': [
                [number, run.task, run.number, run.how, '']
                for number, run in self.finished[:MAX_ENDS]
            ],
        }

    def _percent(self, run):
        whole = run.spec.get('ms')
        if whole is None:
            return 100
        worked = (self.record.now() - run.started_at) * 1000
        return min(100, round(worked * 100 / max(1, whole)))


class Advice:
    """The placement advice service; it allows every worker."""

    def __init__(self):
        self.server = HttpServer(self._handle)

    async def _handle(self, method, path, headers, body):
        workers = json.loads(body)['Workers']
        return 200, {
            'Good': [[worker, 'ticket'] for worker in workers],
            'ValidityMs': 2500,
        }
