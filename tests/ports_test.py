"""Tests of reserved ports."""

import contextlib
import socket

import curio
import pytest

from standins.ports import HOST, PortReservation


def test_two_reservations_exclude_each_other():
    """Guards against two programs that reserve the same port."""
    with PortReservation() as first, PortReservation() as second:
        (port,) = first.reserve(1)
        assert not second.try_port(port)


def test_server_binds_reserved_port_again():
    """Guards against a reservation that keeps its own server out."""

    async def scenario():
        with PortReservation() as ports:
            (port,) = ports.reserve(1)
            for _ in range(2):
                listener = curio.tcp_server_socket(HOST, port)
                await listener.close()

    curio.run(scenario)


@pytest.mark.parametrize('connect', [False, True])
def test_kernel_assigns_reserved_ports_to_nobody(connect):
    """Guards against two programs side by side that get the same port."""
    with PortReservation() as ports, contextlib.ExitStack() as stack:
        reserved = set(ports.reserve(200))
        target = stack.enter_context(socket.create_server((HOST, 0)))
        assigned = set()
        for _ in range(2000):
            sock = stack.enter_context(socket.socket()) if connect else None
            if sock is None:
                with socket.socket() as probe:
                    probe.bind((HOST, 0))
                    assigned.add(probe.getsockname()[1])
            else:
                sock.setblocking(False)
                sock.connect_ex(target.getsockname())
                assigned.add(sock.getsockname()[1])
                sock.close()
        assert not reserved & assigned
