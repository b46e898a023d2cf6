"""The baseline of the relay benchmark: a relay on curio and h11 alone.

It has no limits, timeouts, log or retries, and opens one upstream connection
for each connection of a caller. Run with `python -m bench.barerelay ADDRESS`.
"""

import sys
from typing import Any

import curio
import h11

from bench.processes import print_ready_line
from jayshore.http.client import Address

_RECEIVE_BYTES = 65_536
_HOST = '127.0.0.1'


async def _relay_connection(caller: Any, _address: Any) -> None:
    target = Address.parse(sys.argv[1])
    upstream = await curio.open_connection(target.host, target.port)
    caller_state = h11.Connection(h11.SERVER)
    upstream_state = h11.Connection(h11.CLIENT)
    async with upstream:
        while await _forward_message(
            caller, caller_state, upstream, upstream_state
        ):
            await _forward_message(
                upstream, upstream_state, caller, caller_state
            )
            caller_state.start_next_cycle()
            upstream_state.start_next_cycle()


async def _forward_message(
    source: Any, reader: h11.Connection, sink: Any, writer: h11.Connection
) -> bool:
    encoded = b''
    event: Any = None
    while not isinstance(event, h11.EndOfMessage):
        event = reader.next_event()
        if event is h11.NEED_DATA:
            reader.receive_data(await source.recv(_RECEIVE_BYTES))
        elif isinstance(event, h11.ConnectionClosed):
            return False
        else:
            encoded += writer.send(event)
    await sink.sendall(encoded)
    return True


async def _serve() -> None:
    listener = curio.tcp_server_socket(_HOST, 0)
    print_ready_line(Address(host=_HOST, port=listener.getsockname()[1]))
    async with listener, curio.TaskGroup() as group:
        while True:
            caller, address = await listener.accept()
            await group.spawn(_relay_connection, caller, address)


if __name__ == '__main__':
    curio.run(_serve, taskcls=curio.task.ContextTask)
