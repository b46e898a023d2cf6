"""Stand-in of the users' platform: metadata store and executors.

It follows PROTOCOL.md and does nothing beyond it. Everything runs in the
process and event loop of the script that uses it.
"""

import asyncio
import base64
import bisect
import json
import time
import urllib.parse

HOST = '127.0.0.1'
VALUE_BYTES = 1_048_576
HOLD_MAX_MS = 10_000
STOP_MS = 100
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
LOST_CHANNEL_S = 10
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
LISTED_ENDS = 500


class HttpServer:
    """Serves HTTP/1.1 with keep-alive on a free loopback port."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self._server = None
        self._open = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=1 << 26, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and reset what is open, as a crash does."""
        self._server.close()
        for writer in tuple(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                answer = await self.handle(*request)
                if answer is None:
                    return
                writer.write(encode_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._open.discard(writer)
            writer.close()


async def read_request(reader):
    """Read one request: method, path, query, headers, body."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(' ', 2)
    headers = {}
    while True:
        row = (await reader.readline()).decode().rstrip('\r\n')
        if not row:
            break
        name, _, text = row.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    path, _, query = target.partition('?')
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return method, urllib.parse.unquote(path), fields, headers, body


def encode_answer(status, content):
    body = json.dumps(content, separators=(',', ':')).encode()
    head = (
        f'HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class Store:
    """The metadata store: items, leases, transactions and watches."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.refused_values = []
        self.lose_write = None
        self.server = HttpServer(self._handle)
        self._keys = []
        self._events = []
        self._changed = asyncio.Event()
        self._next_lease = 1000

    async def start(self):
        await self.server.start()
        asyncio.create_task(self._expire())

    def put(self, key, value, lease=0):
        """Write a key, as the operator or an executor does."""
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key, value, lease):
        former = self.items.get(key)
        if former is None:
            bisect.insort(self._keys, key)
        self.items[key] = {
            'Key': key,
            'Value': base64.b64encode(value.encode()).decode(),
            'Rev': self.revision,
            'CreatedRev': self.revision
            if former is None
            else former['CreatedRev'],
            'Lease': lease,
        }
        self._note(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def _delete(self, key):
        self.items.pop(key)
        self._keys.pop(bisect.bisect_left(self._keys, key))
        self._note({'Key': key, 'Rev': self.revision, 'Deleted': True})

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, until) in tuple(self.leases.items()):
                if until <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key, item in tuple(self.items.items()):
            if item['Lease'] == lease:
                self.remove(key)

    async def _handle(self, method, path, query, _headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        name = path.removeprefix('/-/')
        fields = json.loads(body) if body else {}
        if name == 'kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {'AtRev': self.revision}
            return 200, {**item, 'AtRev': self.revision}
        if name == 'kv-range':
            return 200, self._page(query['Prefix'], query.get('After', ''))
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            late_s = self.lose_write and self.lose_write(fields)
            if late_s:
                return await self._lose(fields, late_s)
            return self._transact(fields)
        if name == 'kv-lease':
            self._next_lease += 1
            ttl = max(1000, int(fields['TtlMs']))
            self._renew(self._next_lease, ttl)
            return 200, {'Lease': self._next_lease, 'TtlMs': ttl}
        call, _, lease = name.partition('/')
        known = int(lease) in self.leases if lease.isdecimal() else False
        if call in {'kv-keep', 'kv-lease-end'} and not known:
            return 404, {}
        if call == 'kv-keep':
            ttl = self.leases[int(lease)][0]
            self._renew(int(lease), ttl)
            return 200, {'TtlMs': ttl}
        if call == 'kv-lease-end' and method == 'DELETE':
            self._end_lease(int(lease))
            return 200, {}
        return 404, {}

    async def _lose(self, fields, late_s):
        """Carry out a write late, and answer nothing on its channel."""
        loop = asyncio.get_running_loop()
        loop.call_later(late_s, self._transact, fields)
        await asyncio.sleep(LOST_CHANNEL_S)

    def _renew(self, lease, ttl):
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)

    def _page(self, prefix, after):
        items = []
        size = 0
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        more = False
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                break
            if len(items) >= PAGE_ITEMS or size >= PAGE_BYTES:
                more = True
                break
            items.append(self.items[key])
            size += len(self.items[key]['Value'])
        return {'items': items, 'HasMore': more, 'AtRev': self.revision}

    async def _watch(self, query):
        prefix = query['Prefix']
        after = int(query['After'])
        end = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            changed = self._changed
            first = bisect.bisect_right(
                self._events, after, key=lambda event: event['Rev']
            )
            found = [
                event
                for event in self._events[first:]
                if event['Key'].startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'AtRev': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, fields):
        expected = fields.get('ExpectedRev', [])
        puts = fields.get('Puts', [])
        removed = fields.get('Remove', [])
        if len(expected) + len(puts) + len(removed) > 32:
            return 400, {'Reason': 'entries'}
        for put in puts:
            size = len(base64.b64decode(put['Value']))
            if size > VALUE_BYTES:
                self.refused_values.append((put['Key'], size))
                return 413, {'Reason': 'value'}
        rows = [
            self.items.get(row['Key'], {'Key': row['Key'], 'Rev': 0})
            for row in expected
        ]
        if any(
            row['Rev'] != wanted['Rev']
            for row, wanted in zip(rows, expected, strict=True)
        ):
            return 412, {'items': rows}
        leases = {put.get('Lease', 0) for put in puts} - {0}
        if leases - self.leases.keys():
            return 404, {}
        # All changes of a transaction have one revision.
        self.revision += 1
        for written in puts:
            self._write(
                written['Key'],
                base64.b64decode(written['Value']).decode(),
                written.get('Lease', 0),
            )
        for key in removed:
            if key in self.items:
                self._delete(key)
        return 200, {'Rev': self.revision}


class Advice:
    """The advice service: every worker is good, after the stated time."""

    def __init__(self, *, decision_ms, period_ms, validity_ms):
        self.decision_ms = decision_ms
        self.period_ms = period_ms
        self.validity_ms = validity_ms
        self.server = HttpServer(self._handle)

    async def start(self):
        await self.server.start()

    async def _handle(self, _method, path, _query, _headers, body):
        if path != '/-/advise':
            return 404, {}
        workers = json.loads(body)['Workers']
        await asyncio.sleep(
            (self.decision_ms + self.period_ms * len(workers)) / 1000
        )
        return 200, {
            'Good': [[worker, f't-{worker}'] for worker in workers],
            'ValidityMs': self.validity_ms,
        }


class Run:
    """One run of a task at an executor."""

    def __init__(self, task, run, spec, executor):
        self.task = task
        self.run = run
        self.spec = spec
        self.executor = executor
        self.started = time.monotonic()
        self.ended = None
        self.how = ''
        self.noted = False
        self.timer = None

    def number(self, name):
        """Read a number of the Spec, a text such as `ms=500 cpu=1000`."""
        return int(self.spec.partition(f'{name}=')[2].split()[0])

    def work_s(self):
        """Return the duration of the work."""
        return self.number('ms') / 1000

    def checkpoint(self):
        """What the task has saved."""
        return f'{int(self.started * 1000):016x}'

    def percent(self):
        done = (time.monotonic() - self.started) / self.work_s()
        return min(99, int(100 * done))


class Executor:
    """One executor, which starts whatever it is told to start."""

    def __init__(self, *, store, name, service, runs, capacity):
        self.store = store
        self.name = name
        self.service = service
        self.runs = runs
        self.capacity = capacity
        self.server = HttpServer(self._handle)
        self.state = 'ready'
        self.cut = False
        self.cut_off = None
        self._seq = 0
        self._born()

    def _born(self):
        self.born = int(time.time() * 1000)
        self._origin = time.monotonic()
        self._fence = 0
        self._lease = 0
        self._running = {}
        self._last_run = {}
        self._finished = []
        self._count = 0
        self._ended = asyncio.Event()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._origin) * 1000)

    async def start(self):
        await self.server.start()
        asyncio.create_task(self._beat())
        asyncio.create_task(self._lapse())

    async def crash(self, down_s):
        """End the process at once, and start it again under its id."""
        port = self.server.port
        for run in self._running.values():
            run.ended = time.monotonic()
            run.how = 'gone'
            run.timer.cancel()
        self._running = {}
        await self.server.stop()
        await asyncio.sleep(down_s)
        self._born()
        await self.server.start(port)

    async def _beat(self):
        while True:
            self._seq += 1
            self.store.put(
                f'servers/{self.name}',
                json.dumps(
                    {
                        'Service': self.service,
                        'Addr': f'{HOST}:{self.server.port}',
                        'Zone': 'north',
                        'Version': 'v1',
                        'Slots': 8,
                        'State': self.state,
                        'ColdLeftMs': 0,
                        'Capacity': self.capacity,
                        'Labels': ['a', 'r1-1'],
                        'ClockMs': self.clock_ms,
                        'Seq': self._seq,
                        'born': self.born,
                    }
                ),
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.02)
            if self._running and self.clock_ms >= self._lease:
                for run in tuple(self._running.values()):
                    self._end(run, 'lapsed')

    async def _handle(self, _method, path, _query, headers, body):
        if headers.get('jayshore-target-instance') != self.name:
            return 421, {}
        fields = json.loads(body)
        if self.cut or (self.cut_off and self.cut_off(self, path, fields)):
            # What is sent into a cut is lost with the process behind it.
            await asyncio.sleep(LOST_CHANNEL_S)
            return None
        if fields.get('Fence', 0) < self._fence:
            return 409, {'ClockMs': self.clock_ms, 'Reason': 'fence'}
        self._fence = fields.get('Fence', 0)
        if path == '/-/hold':
            return await self._hold(fields)
        if path == '/-/run-start':
            return self._start(fields)
        if path == '/-/run-stop':
            return self._stop(fields)
        return 404, {}

    def _extend(self, expires):
        self._lease = max(
            self._lease, min(expires, self.clock_ms + HOLD_MAX_MS)
        )

    def _start(self, fields):
        task = fields['Task']
        number = fields['Run']
        now = self.clock_ms
        if fields['ExpiresMs'] <= now:
            return 409, {'ClockMs': now, 'Reason': 'late'}
        self._extend(fields['ExpiresMs'])
        known = self._running.get(task)
        if known is not None and known.run == number:
            return 200, {'ClockMs': now}
        if number <= self._last_run.get(task, 0):
            return 409, {'ClockMs': now, 'Reason': 'old'}
        run = Run(task, number, fields['Spec'], self.name)
        self._running[task] = run
        self.runs.append(run)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_s(), self._end, run, 'done')
        return 200, {'ClockMs': now}

    def _stop(self, fields):
        task = fields['Task']
        number = fields['Run']
        self._last_run[task] = max(number, self._last_run.get(task, 0))
        run = self._running.get(task)
        if run is not None and run.run == number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end, run, 'stopped')
        return 200, {'ClockMs': self.clock_ms}

    def _end(self, run, how):
        if run.ended is not None:
            return
        run.ended = time.monotonic()
        run.how = how
        run.timer.cancel()
        if self._running.get(run.task) is run:
            self._running.pop(run.task)
        self._last_run[run.task] = max(run.run, self._last_run.get(run.task, 0))
        self._count += 1
        self._finished.append((self._count, run))
        self._ended.set()

    async def _hold(self, fields):
        if fields.get('ExpiresMs'):
            self._extend(fields['ExpiresMs'])
        seen = fields['LastSeen']
        for number, noted in self._finished:
            if number <= seen:
                noted.noted = True
        self._finished = [row for row in self._finished if row[0] > seen]
        wait_s = fields.get('WaitMs', 0) / 1000
        if wait_s and not self._finished:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        return 200, {
            'ClockMs': self.clock_ms,
            'born': self.born,
            'Running': [
                [run.task, run.run, '', run.percent(), 0]
                for run in self._running.values()
            ],
            'Finished': [
                [number, run.task, run.run, run.how, run.checkpoint()]
                for number, run in self._finished[:LISTED_ENDS]
            ],
        }
