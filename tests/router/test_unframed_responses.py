"""Responses that only the end of their connection delimits, of servers out of use."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM,
    STREAM_SERVICE,
    connect_by_links,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_stand_ins.link import Cut
from persimmonlink_stand_ins.routed_server import CrashPoint

# Time until a server goes on with its response, in which it is taken out of use.
PAUSE_S = 0.5


def drain_entry(rig, service: str, server_id: str) -> None:
    entry = rig.server_by_id[server_id].build_entry(service, state="draining", seq=2)
    rig.store.put(f"servers/{server_id}", entry)


def remove_entry(rig, service: str, server_id: str) -> None:
    rig.store.delete(f"servers/{server_id}")


def drain_domain(rig, service: str, server_id: str) -> None:
    rig.store.put("op/evacuate/a", {})


def keep_in_use(rig, service: str, server_id: str) -> None:
    """Leave the server as it is."""


WAYS_OUT_OF_USE = [drain_entry, remove_entry, drain_domain]


async def send_while_taken_out(rig, path: str, take_out, *, node: int = 0, **options):
    """Send a request to one server, and take that one out of use meanwhile."""
    service = PLAIN_SERVICE if path in ("/book/1", "/look/1") else STREAM_SERVICE
    for index in (0, 1):
        server = rig.server_by_id[f"{service}-{index}"]
        server.faults.omits_length = True
        server.work_s = server.first_event_s = PAUSE_S
    headers = {} if service == PLAIN_SERVICE else STREAM
    sending = rig.send_request(
        path, node=node, request_id="s0", deadline_ms=4000, **headers, **options
    )
    task = asyncio.ensure_future(sending)
    await wait_until(lambda: rig.count_runs("s0") == 1)
    (server,) = [s for s in rig.server_by_id.values() if s.runs]
    take_out(rig, service, server.server_id)
    for router in rig.routers:
        servers = router.cluster_view.servers
        if take_out is not keep_in_use:
            await wait_until(
                lambda servers=servers: (
                    server.server_id
                    not in {s.server_id for s in servers.list_usable(service)}
                ),
                PAUSE_S,
            )
    return await task


def let_end(rig, service: str) -> None:
    """Let the servers of a service end in the middle of their next responses."""
    for index in (0, 1):
        server = rig.server_by_id[f"{service}-{index}"]
        server.fatal_part_ids = frozenset(("aa",))
        server.crash_point = CrashPoint.AFTER_EVENT
        server.faults.ends_after_response = True


@pytest.mark.parametrize("take_out", [*WAYS_OUT_OF_USE, keep_in_use])
def test_an_unframed_stream_of_a_server_out_of_use_that_ended_looks_not_complete(
    take_out,
):
    async def scenario():
        async with make_rig() as rig:
            let_end(rig, STREAM_SERVICE)
            response = await send_while_taken_out(rig, "/claim/1", take_out)
            assert response.status == 200
            assert response.body.count(b"id: ") == 1
            assert not response.is_complete

    run(scenario())


@pytest.mark.parametrize("delay_s", [0.03, 0.1, 0.2])
def test_an_unframed_stream_of_a_server_whose_listener_ends_last_looks_not_complete(
    delay_s,
):
    async def scenario():
        async with make_rig() as rig:
            let_end(rig, STREAM_SERVICE)
            tasks = [
                let_listener_end_last(
                    rig.server_by_id[f"{STREAM_SERVICE}-{index}"], delay_s
                )
                for index in (0, 1)
            ]
            response = await send_while_taken_out(rig, "/claim/1", drain_entry)
            assert response.body.count(b"id: ") == 1
            assert not response.is_complete
            await asyncio.gather(*(task for ended in tasks for task in ended))

    run(scenario())


def let_listener_end_last(server, delay_s: float) -> list[asyncio.Task]:
    """Let a server close its connections at once as it ends, its listener later."""
    tasks = []
    stop = server.crash

    async def stop_later():
        await asyncio.sleep(delay_s)
        await stop()

    async def end():
        tasks.append(asyncio.ensure_future(stop_later()))

    server.crash = end
    return tasks


@pytest.mark.parametrize("take_out", WAYS_OUT_OF_USE)
def test_an_unframed_plain_response_of_a_server_out_of_use_that_ended_is_not_whole(
    take_out,
):
    async def scenario():
        async with make_rig() as rig:
            let_end(rig, PLAIN_SERVICE)
            response = await send_while_taken_out(rig, "/book/1", take_out)
            assert response.status == 502

    run(scenario())


def test_a_resumable_unframed_stream_of_a_draining_server_goes_on_at_another():
    async def scenario():
        async with make_rig() as rig:
            let_end(rig, STREAM_SERVICE)
            engines = [rig.server_by_id[f"{STREAM_SERVICE}-{i}"] for i in (0, 1)]
            for server in engines:
                server.on_crash = lambda: [
                    setattr(other, "fatal_part_ids", frozenset()) for other in engines
                ]
            response = await send_while_taken_out(rig, "/list/1", drain_entry)
            assert response.is_complete
            ids = [
                line for line in response.body.split(b"\n") if line.startswith(b"id")
            ]
            assert ids == [b"id: %d" % number for number in range(1, 6)]

    run(scenario())


def test_an_idempotent_unframed_response_of_a_draining_server_is_fetched_again():
    async def scenario():
        async with make_rig() as rig:
            let_end(rig, PLAIN_SERVICE)
            response = await send_while_taken_out(
                rig, "/look/1", drain_entry, method="GET"
            )
            assert rig.count_runs("s0") == 2
            assert response.status in (200, 502)

    run(scenario())


@pytest.mark.parametrize(("path", "status"), [("/claim/1", 200), ("/book/1", 502)])
def test_an_unframed_response_of_a_server_that_ended_is_not_whole_by_way_of_a_peer(
    path, status
):
    async def scenario():
        async with make_rig(routers=2) as rig:
            connect_by_links(rig, 0)
            for service in (STREAM_SERVICE, PLAIN_SERVICE):
                let_end(rig, service)
            await cut_off(rig)
            response = await send_while_taken_out(rig, path, drain_entry)
            assert response.status == status
            assert not (response.is_complete and status == 200)

    run(scenario())


async def cut_off(rig) -> None:
    """Let node 0 reach no server, and wait until node 1 is known to it."""
    membership = rig.routers[0].membership
    await wait_until(lambda: len(membership.list_serving_members()) == 2)
    await rig.links.cut([0], Cut.RESET)


@pytest.mark.parametrize("take_out", [*WAYS_OUT_OF_USE, keep_in_use])
@pytest.mark.parametrize("path", ["/claim/1", "/book/1"])
def test_a_whole_unframed_response_of_a_server_out_of_use_that_runs_on_is_complete(
    path, take_out
):
    async def scenario():
        async with make_rig() as rig:
            response = await send_while_taken_out(rig, path, take_out)
            assert response.status == 200
            assert response.is_complete
            if path == "/claim/1":
                assert response.body.count(b"id: ") == 5

    run(scenario())


def test_an_unframed_error_response_of_a_server_that_ended_is_not_whole():
    async def scenario():
        async with make_rig() as rig:
            for index in (0, 1):
                server = rig.server_by_id[f"{STREAM_SERVICE}-{index}"]
                server.faults.responds_500 = True
                server.faults.omits_length = True
                server.faults.ends_after_response = True
            response = await rig.send_request("/claim/1", **STREAM)
            assert response.status == 502

    run(scenario())


@pytest.mark.parametrize(
    ("method", "status"), [("POST", b"204 No Content"), ("HEAD", b"200 OK")]
)
def test_a_response_that_has_no_body_is_whole_although_its_server_ends(method, status):
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id[f"{PLAIN_SERVICE}-0"]

            async def respond_and_end(request, writer):
                request_id = request.headers["persimmonlink-request-id"].encode()
                writer.write(b"HTTP/1.1 " + status + b"\r\nConnection: close\r\n")
                writer.write(b"Persimmonlink-Response-Seal: seal\r\n")
                writer.write(b"Persimmonlink-Request-Id: " + request_id + b"\r\n\r\n")
                server._server.stop_listening()
                return False

            server._server._handler = respond_and_end
            response = await rig.send_request("/book/1", method)
            assert response.status == int(status[:3])
            assert response.is_complete

    run(scenario())


def test_a_whole_unframed_response_is_complete_where_only_a_peer_reaches_the_server():
    async def scenario():
        async with make_rig(routers=2) as rig:
            connect_by_links(rig, 0)
            membership = rig.routers[0].membership
            await wait_until(lambda: len(membership.list_serving_members()) == 2)
            for index in (0, 1):
                server = rig.server_by_id[f"{STREAM_SERVICE}-{index}"]
                server.faults.omits_length = True
                server.first_event_s = PAUSE_S
            sending = rig.send_request("/claim/1", request_id="s0", **STREAM)
            task = asyncio.ensure_future(sending)
            await wait_until(lambda: rig.count_runs("s0") == 1)
            await rig.links.cut([0], Cut.REFUSE_NEW)
            response = await task
            assert response.is_complete
            assert response.body.count(b"id: ") == 5

    run(scenario())
