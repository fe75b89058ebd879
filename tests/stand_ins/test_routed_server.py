"""Servers that tests end and start again."""

from __future__ import annotations

import asyncio
import socket

import pytest

from persimmonlink_stand_ins.routed_server import RoutedServerStandIn

IP_LOCAL_PORT_RANGE = 51


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def take_any_port_in(first: int, last: int, *, reuse: bool) -> int:
    """Take a free port as a server of another process does, from a range."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(reuse))
        ports = (last << 16 | first).to_bytes(4, "little")
        sock.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, ports)
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.mark.parametrize("reuse", [False, True])
def test_no_other_process_takes_the_port_of_a_server_that_starts_again(reuse):
    async def scenario():
        server = RoutedServerStandIn("s")
        await server.start()
        address = server.address
        port = split(address)[1]
        await server.crash()
        with pytest.raises(OSError, match="in use"):
            take_any_port_in(port, port, reuse=reuse)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*split(address))
        await server.restart()
        assert server.address == address
        _, writer = await asyncio.open_connection(*split(address))
        writer.close()
        await server.stop()
        await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_a_server_that_takes_the_place_of_an_ended_one_starts_at_its_port():
    async def scenario():
        ended = RoutedServerStandIn("s")
        await ended.start()
        await ended.crash()
        following = RoutedServerStandIn("s+1")
        await following.start(split(ended.address)[1])
        assert following.address == ended.address
        await ended.stop()
        _, writer = await asyncio.open_connection(*split(following.address))
        writer.close()
        await following.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("reuse", [False, True])
def test_a_server_that_has_stopped_gives_its_port_back(reuse):
    async def scenario():
        server = RoutedServerStandIn("s")
        await server.start()
        port = split(server.address)[1]
        await server.stop()
        assert take_any_port_in(port, port, reuse=reuse) == port

    asyncio.run(scenario())
