"""Stand-in of the platform for the cases: store, executors and registrations.

It speaks the users' published protocol on loopback addresses and decides
nothing itself. `python3 review/lib-3/platform_test.py DIRECTORY SETTINGS`
listens on free ports and writes them to `DIRECTORY/platform.json`.

The `Spec` of a task is JSON for this stand-in: `ms` is the duration of its
work, `vary` how much longer it may take, by the number of the task, `gang` the
number of members that a gang has to have, and `fails` a list of run numbers
that end as failed.
"""

import asyncio
import base64
import json
import pathlib
import sys
import time
import urllib.parse
import zlib

HOST = '127.0.0.1'
SERVICE = 'ballast'
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
LISTED_ENDS = 500
HEARTBEAT_S = 1.5
GANG_TIMEOUT_S = 3.0
STORE_ANSWER_S = 0.004
DRAIN_S = 2.5
ADVICE_MS = 83
ADVICE_MS_EACH = 1.2
ADVICE_GOOD = 45
ADVICE_VALID_MS = 2500
HOLD_MAX_MS = 10_000
HISTORY = 20_000
CLOCK_START_MS = 10_000


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    """Key-value store with revisions, leases, watches and transactions."""

    def __init__(self):
        self.revision = 1
        self.entries = {}
        self.events = []
        self.forgotten = 0
        self.leases = {}
        self.changed = asyncio.Event()
        self.is_down = False
        self.answer_s = STORE_ANSWER_S

    def put(self, key, value, lease=0):
        former = self.entries.get(key)
        entry = {
            'Key': key,
            'Value': value,
            'Rev': self.revision,
            'CreatedRev': former['CreatedRev'] if former else self.revision,
            'Lease': lease,
        }
        self.entries[key] = entry
        self._note(entry)

    def remove(self, key):
        if self.entries.pop(key, None) is not None:
            self._note({'Key': key, 'Rev': self.revision, 'Deleted': True})

    def _note(self, event):
        self.events.append(event)
        if len(self.events) > HISTORY:
            dropped = self.events[: HISTORY // 2]
            self.forgotten = dropped[-1]['Rev']
            self.events = self.events[HISTORY // 2 :]
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, text):
        """Write a key as the operator or an executor does."""
        self.revision += 1
        self.put(key, base64.b64encode(text.encode()).decode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        names = [k for k, one in self.entries.items() if one['Lease'] == lease]
        if names:
            self.revision += 1
        for key in names:
            self.remove(key)

    def expire(self):
        now = now_ms()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self.end_lease(lease)

    async def run(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.answer_s)
        self.expire()
        name = path.removeprefix('/-/')
        if name == 'kv-key':
            entry = self.entries.get(query['Key'])
            if entry is None:
                return 404, {}
            return 200, {**entry, 'AtRev': self.revision}
        if name == 'kv-range':
            return 200, self._page(query['Prefix'], query.get('After', ''))
        if name == 'kv-watch':
            return await self._watch(
                query['Prefix'], int(query['After']), int(query['WaitMs'])
            )
        if name == 'kv-txn':
            return self._transact(body)
        if name == 'kv-lease':
            self.revision += 1
            ttl = body['TtlMs']
            self.leases[self.revision] = (now_ms() + ttl, ttl)
            return 200, {'Lease': self.revision, 'TtlMs': ttl}
        call, _, lease = name.partition('/')
        if call == 'kv-keep':
            if int(lease) not in self.leases:
                return 404, {}
            ttl = self.leases[int(lease)][1]
            self.leases[int(lease)] = (now_ms() + ttl, ttl)
            return 200, {'TtlMs': ttl}
        if call == 'kv-lease-end' and method == 'DELETE':
            self.end_lease(int(lease))
            return 200, {}
        return 404, {}

    def _page(self, prefix, after):
        found, size = [], 0
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        for key in keys:
            if len(found) >= PAGE_ITEMS or size >= PAGE_BYTES:
                break
            found.append(self.entries[key])
            size += len(self.entries[key]['Value'])
        return {
            'items': found,
            'HasMore': len(found) < len(keys),
            'AtRev': self.revision,
        }

    async def _watch(self, prefix, after, wait_ms):
        end = now_ms() + wait_ms
        while True:
            if after < self.forgotten:
                return 410, {}
            found = []
            for event in reversed(self.events):
                if event['Rev'] <= after:
                    break
                if event['Key'].startswith(prefix):
                    found.append(event)
            rest = end - now_ms()
            if found or rest <= 0:
                return 200, {'events': found[::-1], 'AtRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), rest / 1000)
            except TimeoutError:
                continue

    def _transact(self, body):
        rows = body['ExpectedRev']
        held = {
            row['Key']: self.entries.get(row['Key'], {'Rev': 0})['Rev']
            for row in rows
        }
        if any(held[row['Key']] != row['Rev'] for row in rows):
            items = [
                self.entries.get(key, {'Key': key, 'Rev': 0}) for key in held
            ]
            return 412, {'items': items}
        for put in body['Puts']:
            lease = put.get('Lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
        changed = [put['Key'] for put in body['Puts']] + body['Remove']
        if any(key.startswith(('op/', 'servers/')) for key in changed):
            return 403, {}
        self.revision += 1
        for put in body['Puts']:
            self.put(put['Key'], put['Value'], put.get('Lease', 0))
        for key in body['Remove']:
            self.remove(key)
        return 200, {'Rev': self.revision}


class Run:
    """A run of a task at an executor."""

    def __init__(self, executor, task, number, spec):
        self.executor = executor
        self.task = task
        self.number = number
        self.spec = spec
        self.how = None
        self.timer = None
        self.started_at = now_ms()
        index = int(task.rpartition('.')[2])
        self.work_ms = (
            spec.get('ms', 150)
            + spec.get('vary', 0) * (index * 37 % 100) // 100
        )


class Platform:
    """What all executors share: gangs, and the record of what was run."""

    def __init__(self):
        self.gangs = {}
        self.rows = []

    def begin(self, run):
        """Start the work of a run, or wait for the rest of its gang."""
        self.rows.append(
            {
                'at': now_ms(),
                'event': 'start',
                'task': run.task,
                'run': run.number,
                'executor': run.executor.name,
                'spec': run.spec.get('name', ''),
            }
        )
        loop = asyncio.get_running_loop()
        wanted = run.spec.get('gang', 0)
        if not wanted:
            how = (
                'failed' if run.number in run.spec.get('fails', ()) else 'done'
            )
            run.timer = loop.call_later(
                run.work_ms / 1000, run.executor.end, run, how
            )
            return
        key = (run.task.rpartition('.')[0], run.number)
        members = self.gangs.setdefault(key, {})
        members[run.task] = run
        run.timer = loop.call_later(
            GANG_TIMEOUT_S, run.executor.end, run, 'alone'
        )
        if len(members) == wanted:
            for member in members.values():
                member.timer.cancel()
                member.started_at = now_ms()
            loop.call_later(run.work_ms / 1000, self._end_gang, key)

    def _end_gang(self, key):
        members = self.gangs.get(key, {})
        if all(member.how is None for member in members.values()):
            self.gangs.pop(key, None)
            for member in members.values():
                member.executor.end(member, 'done')

    def ended(self, run):
        self.rows.append(
            {
                'at': now_ms(),
                'event': run.how,
                'task': run.task,
                'run': run.number,
                'executor': run.executor.name,
            }
        )
        key = (run.task.rpartition('.')[0], run.number)
        if run.how != 'done':
            for member in self.gangs.pop(key, {}).values():
                member.executor.end(member, 'broken')


class Executor:
    """One executor: fence, lease on its own clock, runs and ends."""

    def __init__(self, platform, store, name, settings):
        self.platform = platform
        self.store = store
        self.name = name
        self.settings = settings
        self.address = ''
        self.base = now_ms() - CLOCK_START_MS
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.ended = asyncio.Event()
        self.lease_timer = None
        self.seq = 0
        self.state = 'ready'

    @property
    def clock(self):
        return now_ms() - self.base

    async def leave(self):
        """Drain, and leave for good, as at a planned shutdown."""
        self.state = 'draining'
        self.register()
        await asyncio.sleep(DRAIN_S)
        self.state = 'gone'
        for run in list(self.runs.values()):
            self.end(run, 'stopped')
        self.store.revision += 1
        self.store.remove(f'servers/{self.name}')

    def is_gone(self):
        return self.state == 'gone'

    async def beat(self):
        while not self.is_gone():
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.seq += 1
        self.store.write(
            f'servers/{self.name}',
            json.dumps(
                {
                    'Service': SERVICE,
                    'Addr': self.address,
                    'Zone': self.settings['zone'],
                    'Version': 'v1',
                    'Slots': 8,
                    'State': self.state,
                    'ColdLeftMs': 0,
                    'Capacity': self.settings['capacity'],
                    'Labels': ['a', self.settings['rack']],
                    'ClockMs': self.clock,
                    'Seq': self.seq,
                    'born': self.born,
                }
            ),
        )

    async def handle(self, method, path, query, body):
        if body['Fence'] < self.fence:
            return 409, {'ClockMs': self.clock, 'Reason': 'fence'}
        self.fence = body['Fence']
        if path == '/-/hold':
            return await self._hold(body)
        if path == '/-/run-start':
            return self._start(body)
        if path == '/-/run-stop':
            return self._stop(body)
        return 404, {}

    def _extend(self, until):
        until = min(until, self.clock + HOLD_MAX_MS)
        if until <= self.lease_until:
            return
        self.lease_until = until
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            max(0, until - self.clock) / 1000, self._lapse
        )

    def _lapse(self):
        for run in list(self.runs.values()):
            self.end(run, 'lapsed')

    async def _hold(self, body):
        self._extend(body.get('ExpiresMs', 0))
        last = body['LastSeen']
        self.ends = [row for row in self.ends if row[0] > last]
        end = now_ms() + min(body.get('WaitMs', 0), 2000)
        while not self.ends and now_ms() < end:
            self.ended.clear()
            try:
                await asyncio.wait_for(
                    self.ended.wait(), (end - now_ms()) / 1000
                )
            except TimeoutError:
                break
        return 200, {
            'ClockMs': self.clock,
            'born': self.born,
            'Running': [
                [run.task, run.number, '', self._percent(run), 1]
                for run in self.runs.values()
            ],
            'Finished': self.ends[:LISTED_ENDS],
        }

    def _percent(self, run):
        age = now_ms() - run.started_at
        return min(100, 100 * age // max(1, run.work_ms))

    def _start(self, body):
        task, number = body['Task'], body['Run']
        self._extend(body['ExpiresMs'])
        clock = {'ClockMs': self.clock}
        if (task, number) in self.runs:
            return 200, clock
        if number <= self.highest.get(task, 0):
            return 409, {**clock, 'Reason': 'old'}
        if body['ExpiresMs'] <= self.clock:
            return 409, {**clock, 'Reason': 'late'}
        run = Run(self, task, number, json.loads(body['Spec']))
        self.runs[(task, number)] = run
        self.platform.begin(run)
        return 200, clock

    def _stop(self, body):
        task, number = body['Task'], body['Run']
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None:
            self.end(run, 'stopped')
        return 200, {'ClockMs': self.clock}

    def end(self, run, how):
        if run.how is not None:
            return
        run.how = how
        run.timer.cancel()
        self.runs.pop((run.task, run.number), None)
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ''])
        self.ended.set()
        self.platform.ended(run)


def never():
    return False


async def serve(handle, target=None, is_down=never):
    """Serve HTTP/1.1 on a free port; return the port."""

    async def connection(reader, writer):
        try:
            while await one_call(reader, writer, handle, target, is_down):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(
        connection, HOST, 0, backlog=1024, limit=1 << 20
    )
    return server.sockets[0].getsockname()[1]


async def one_call(reader, writer, handle, target, is_down):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, url, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length') or 0)
    raw = await reader.readexactly(size) if size else b''
    path, _, query = url.partition('?')
    if is_down():
        writer.transport.abort()
        return False
    if target and headers.get('jayshore-target-instance', target) != target:
        status, answer = 421, {}
    else:
        status, answer = await handle(
            method,
            path,
            dict(urllib.parse.parse_qsl(query)),
            json.loads(raw) if raw else {},
        )
    if is_down():
        writer.transport.abort()
        return False
    text = json.dumps(answer, separators=(',', ':')).encode()
    writer.write(
        b'HTTP/1.1 %d x\r\ncontent-type: application/json\r\n'
        b'content-length: %d\r\n\r\n' % (status, len(text)) + text
    )
    await writer.drain()
    return True


async def advise(method, path, query, body):
    """Permit a fixed share of the executors for each step, after a while."""
    workers = body['Workers']
    await asyncio.sleep((ADVICE_MS + ADVICE_MS_EACH * len(workers)) / 1000)
    good = [
        [worker, f'{body["Step"]}/{worker}']
        for worker in workers
        if zlib.crc32(f'{body["Step"]} {worker}'.encode()) % 100 < ADVICE_GOOD
    ]
    return 200, {'Good': good, 'ValidityMs': ADVICE_VALID_MS}


def make_control(store, platform, executors):
    """Make the handler of the calls of the cases."""

    async def control(method, path, query, body):
        if path == '/put':
            store.write(body['key'], body['text'])
            return 200, {}
        if path == '/store':
            store.is_down = body.get('down', False)
            store.answer_s = STORE_ANSWER_S * body.get('slower', 1)
            return 200, {}
        if path == '/leave':
            found = [one for one in executors if one.name == body['executor']]
            asyncio.create_task(found[0].leave())
            return 200, {}
        if path == '/leader':
            entry = store.entries.get('domains/deployment/leader')
            if entry is None:
                return 200, {}
            return 200, json.loads(base64.b64decode(entry['Value']))
        if path == '/rows':
            return 200, platform.rows[int(query.get('after', 0)) :]
        return 404, {}

    return control


async def main(directory, settings):
    store = Store()
    platform = Platform()
    tasks = [asyncio.create_task(store.run())]
    ports = {'store': await serve(store.handle, is_down=lambda: store.is_down)}
    ports['advice'] = await serve(advise)
    executors = []
    ports['control'] = await serve(make_control(store, platform, executors))
    for number in range(settings['executors']):
        name = f'x-{number}'
        executor = Executor(
            platform,
            store,
            name,
            {
                'zone': 'tanta',
                'rack': f'r{number // 8}',
                'capacity': settings['capacity'],
            },
        )
        port = await serve(executor.handle, name, executor.is_gone)
        executors.append(executor)
        executor.address = f'{HOST}:{port}'
        tasks.append(asyncio.create_task(executor.beat()))
    partial = directory / 'platform.part'
    partial.write_text(json.dumps(ports))
    partial.rename(directory / 'platform.json')
    await asyncio.gather(*tasks)


if __name__ == '__main__':
    asyncio.run(main(pathlib.Path(sys.argv[1]), json.loads(sys.argv[2])))
