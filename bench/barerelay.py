"""The baseline: a relay with nothing but curio and h11.

It has no bounds, no timeouts, no log and no retry, and one upstream connection
for each connection of a caller. Run with `python -m bench.barerelay ADDRESS`.
"""

import sys
from typing import Any

import curio
import h11

from bench.processes import announce
from jayshore.http.client import Address

_RECEIVE_BYTES = 65_536
_HOST = '127.0.0.1'


async def _relay(caller: Any, _address: Any) -> None:
    target = Address.parse(sys.argv[1])
    upstream = await curio.open_connection(target.host, target.port)
    near = h11.Connection(h11.SERVER)
    far = h11.Connection(h11.CLIENT)
    async with upstream:
        while await _copy(caller, near, upstream, far):
            await _copy(upstream, far, caller, near)
            near.start_next_cycle()
            far.start_next_cycle()


async def _copy(
    source: Any, reader: h11.Connection, sink: Any, writer: h11.Connection
) -> bool:
    outgoing = b''
    event: Any = None
    while not isinstance(event, h11.EndOfMessage):
        event = reader.next_event()
        if event is h11.NEED_DATA:
            reader.receive_data(await source.recv(_RECEIVE_BYTES))
        elif isinstance(event, h11.ConnectionClosed):
            return False
        else:
            outgoing += writer.send(event)
    await sink.sendall(outgoing)
    return True


async def _serve() -> None:
    listener = curio.tcp_server_socket(_HOST, 0)
    announce(Address(host=_HOST, port=listener.getsockname()[1]))
    async with listener, curio.TaskGroup() as group:
        while True:
            caller, address = await listener.accept()
            await group.spawn(_relay, caller, address)


if __name__ == '__main__':
    curio.run(_serve, taskcls=curio.task.ContextTask)
