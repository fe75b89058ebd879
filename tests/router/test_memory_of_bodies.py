"""Bodies that wait for clients or servers take bounded memory."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.kept_clients import build_request
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM,
    STREAM_SERVICE,
    connect_by_links,
    make_rig,
    run,
    wait_until,
)
from tests.router.test_connections_of_a_stop import open_raw
from tests.router.test_small_chunks_of_clients import read_to_end

from persimmonlink_router.byte_budget import SMALL_BODY_BYTES, ByteBudget
from persimmonlink_router.server_sender import MAX_BUFFERED_BYTES
from persimmonlink_router.socket_options import count_unacknowledged_bytes
from persimmonlink_stand_ins.link import Cut

BODY_BYTES = 8_000_000
CLIENTS = 12
UPLOAD_BYTES = 90_000  # Less than the configuration's limit.
BUDGET_BYTES = 100_000
SEAL = b"Persimmonlink-Response-Seal: seal\r\n"


async def respond_long(request, writer) -> bool:
    request_id = request.headers["persimmonlink-request-id"].encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % BODY_BYTES
        + SEAL
        + b"Persimmonlink-Request-Id: %s\r\n\r\n" % request_id
    )
    writer.write(bytes(BODY_BYTES))
    await writer.drain()
    return True


@pytest.mark.parametrize("by_peer", [False, True])
def test_responses_that_clients_do_not_read_stay_within_the_budget(by_peer):
    async def scenario():
        async with make_rig(routers=1 + by_peer) as rig:
            connect_by_links(rig, 0)
            for index in (0, 1):
                server = rig.server_by_id[f"{PLAIN_SERVICE}-{index}"]
                server._server._handler = respond_long
            membership = rig.routers[0].membership
            await wait_until(
                lambda: len(membership.list_serving_members()) == 1 + by_peer
            )
            if by_peer:
                await rig.links.cut([0], Cut.REFUSE_NEW)
            address = rig.settings[0].listen.clients
            connections = rig.routers[0]._client_server.connections
            socks = []
            for number in range(CLIENTS):
                sock = await open_raw(address, 4096)
                data = build_request(
                    "/book/1", f"c{number}", b"", is_chunked=False, deadline_ms=4000
                )
                await asyncio.get_running_loop().sock_sendall(sock, data)
                socks.append(sock)
                await wait_until(
                    lambda number=number: (
                        sum(c.describe().responses for c in connections) > number
                    )
                )
            states = [connection.describe() for connection in connections]
            assert sum(state.unsent_bytes for state in states) <= MAX_BUFFERED_BYTES
            for sock in socks:
                sock.close()
            await asyncio.sleep(0.2)
            assert (await rig.send_request("/book/1")).status == 200

    run(scenario())


def test_request_bodies_stay_within_the_budget_and_leave_room_for_small_ones():
    async def scenario():
        async with make_rig() as rig:
            server = rig.routers[0]._client_server
            server.body_budget = ByteBudget(BUDGET_BYTES)
            address = rig.settings[0].listen.clients
            socks = [await open_raw(address) for _ in range(CLIENTS)]
            for number, sock in enumerate(socks):
                data = build_request(
                    "/book/1",
                    f"u{number}",
                    bytes(UPLOAD_BYTES),
                    is_chunked=False,
                    deadline_ms=3000,
                )
                await asyncio.get_running_loop().sock_sendall(sock, data[:-1])
                # The next body competes only once this one has arrived.
                await wait_until(lambda sock=sock: not count_unacknowledged_bytes(sock))
            fitting = BUDGET_BYTES // (UPLOAD_BYTES - SMALL_BODY_BYTES)
            for sock in socks[fitting:]:
                refusal = await read_to_end(sock, b"buffered")
                assert refusal.startswith(b"HTTP/1.1 503 ")
            assert (await rig.send_request("/book/1")).status == 200
            for sock in socks[:fitting]:
                await asyncio.get_running_loop().sock_sendall(sock, b"\0")
                assert (await read_to_end(sock, b"answer")).startswith(b"HTTP/1.1 200")
            await wait_until(lambda: server.body_budget.try_reserve(BUDGET_BYTES))
            for sock in socks:
                sock.close()

    run(scenario())


async def begin_a_long_event(request, writer) -> bool:
    request_id = request.headers["persimmonlink-request-id"].encode()
    first = int(request.headers.get("last-event-id", "0")) + 1
    data = b"id: %d\ndata: v1 %d\n\nid: %d\n" % (first, first, first + 1)
    data += bytes(SMALL_BODY_BYTES)
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        + SEAL
        + b"Persimmonlink-Request-Id: %s\r\n\r\n" % request_id
        + b"%x\r\n%s\r\n" % (len(data), data)
    )
    await writer.drain()
    await asyncio.sleep(10.0)
    return False


def test_a_stream_whose_event_finds_no_room_goes_on_at_another_server():
    async def scenario():
        async with make_rig() as rig:
            engines = [rig.server_by_id[f"{STREAM_SERVICE}-{i}"] for i in (0, 1)]
            await rig.send_request("/list/1", **STREAM)
            # The next request with the same prompt goes to the same server.
            odd, sound = sorted(engines, key=lambda server: -len(server.runs))
            odd._server._handler = begin_a_long_event
            rig.routers[0]._sender.body_budget = ByteBudget(0)
            response = await rig.send_request("/list/1", request_id="s", **STREAM)
            assert (response.status, response.is_complete) == (200, True)
            ids = [word for word in response.body.split() if word.isdigit()]
            expected = [str(n).encode() for n in range(1, sound.event_count + 1)]
            # Each event has its number as its id and in its text.
            assert ids[::2] == expected
            assert sound.runs[-1].request_id == "s"
            assert sound.runs[-1].headers["last-event-id"] == "1"

    run(scenario())
