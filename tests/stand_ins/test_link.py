"""Links that tests cut."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_stand_ins.link import Cut, Links

HOST = "127.0.0.1"
NODE = 0


@asynccontextmanager
async def run_links():
    """Run a server that returns what it gets, and links to it."""

    async def echo(reader, writer):
        try:
            while data := await reader.read(100):
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0)
    links = Links(lambda: find_free_ports(1)[0])
    try:
        yield links, f"{HOST}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        await links.stop()
        release_ports(links.list_ports())


def connect(address: str) -> socket.socket:
    """Connect at once, before the link's process has accepted the connection."""
    host, _, port = address.rpartition(":")
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    return client


async def exchange(client: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(client, b"x")
    async with asyncio.timeout(1.0):
        return await loop.sock_recv(client, 100)


@pytest.mark.parametrize("steps", range(10))
def test_no_connection_that_is_being_accepted_outlives_a_reset(steps):
    async def scenario():
        async with run_links() as (links, target):
            link = await links.find(NODE, target)
            with connect(link.address) as client:
                for _ in range(steps):
                    await asyncio.sleep(0)
                await links.cut([NODE], Cut.RESET)
                await asyncio.sleep(0.05)
                with pytest.raises(ConnectionError):
                    await exchange(client)

    asyncio.run(scenario())


@pytest.mark.parametrize("steps", range(4))
@pytest.mark.parametrize("how", list(Cut))
def test_a_link_that_is_found_as_a_cut_ends_listens_once(how, steps):
    async def scenario():
        async with run_links() as (links, target):
            await links.cut([NODE], how)
            finding = asyncio.ensure_future(links.find(NODE, target))
            for _ in range(steps):
                await asyncio.sleep(0)
            await links.mend([NODE])
            link = await finding
            with connect(link.address) as client:
                assert await exchange(client) == b"x"

    asyncio.run(scenario())


def test_the_end_of_all_cuts_leaves_other_links_of_the_node_alone():
    async def scenario():
        async with run_links() as (links, target):
            link = await links.find(NODE, target)
            await links.cut([NODE], Cut.RESET, [f"{HOST}:1"])
            await links.mend([NODE])
            with connect(link.address) as client:
                assert await exchange(client) == b"x"

    asyncio.run(scenario())


@pytest.mark.parametrize("how", list(Cut))
def test_nobody_else_listens_at_a_link_that_is_cut(how):
    async def scenario():
        async with run_links() as (links, target):
            link = await links.find(NODE, target)
            await links.cut([NODE], how)
            port = int(link.address.rpartition(":")[2])
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind((HOST, port))
            await links.mend([NODE])
            with connect(link.address) as client:
                assert await exchange(client) == b"x"

    asyncio.run(scenario())
