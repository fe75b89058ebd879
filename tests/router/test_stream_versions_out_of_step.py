"""A node that is out of step takes up no stream at a version that did not begin it."""

from __future__ import annotations

import asyncio
import signal

import pytest
from returns.result import Failure
from tests.router.process_rig import run_process_rig
from tests.router.rig import (
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    add_server,
    connect_by_links,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.connection_pool import ConnectError
from persimmonlink_router.keepers import choose_keepers
from persimmonlink_router.relay_messages import RelayRequest
from persimmonlink_router.store_intervals import WATCH_WAIT_S
from persimmonlink_router.stream_version_exchange import MIN_KEEPERS
from persimmonlink_stand_ins.link import Cut

STREAM_COUNT = 4
NEW_VERSION = "v2"
SLOW_CALL_S = 0.3  # Time of a call to the store at bad times.
# Time for which servers of the other version want no requests of node 0.
PAUSE_S = 4.0


async def join_new_version(rig) -> None:
    """Add servers of a new version, known to node 0."""
    for index in range(2):
        server_id = f"{STREAM_SERVICE}-{NEW_VERSION}-{index}"
        await add_server(rig, STREAM_SERVICE, server_id, version=NEW_VERSION)


def list_engines(rig, version: str = ""):
    return [
        server
        for server_id, server in rig.server_by_id.items()
        if server_id.startswith(STREAM_SERVICE) and version in ("", server.version)
    ]


def find_versions(rig, *request_ids: str) -> set[str]:
    return {
        server.version
        for server in list_engines(rig)
        for seen in server.runs
        if seen.request_id in request_ids
    }


async def begin_broken_streams(rig, version: str) -> list[str]:
    """Begin streams at node 0 and a version; they break off after two events."""
    for server in list_engines(rig):
        server.faults.cuts_streams_after = 2
        server.faults.rejects_requests = server.version != version
        server.faults.retry_after_s = PAUSE_S
    names = [f"s{number}" for number in range(STREAM_COUNT)]
    for name in names:
        broken = await rig.send_request(
            "/list/1", request_id=name, deadline_ms=1200, **STREAM
        )
        assert not broken.is_complete
        assert find_versions(rig, name) == {version}
    for server in list_engines(rig):
        server.faults.cuts_streams_after = 0
        server.faults.rejects_requests = False
    return names


async def take_up(rig, began_as: str, node: int, attempt: str = "again"):
    return await rig.send_request(
        "/list/1",
        node=node,
        request_id=f"{attempt}-{began_as}",
        Last_Event_Id="2",
        Resumes=began_as,
        **STREAM,
    )


async def assert_none_goes_on_elsewhere(rig, names: list[str], node: int) -> None:
    """Take streams up at a node, which refuses them or goes on at the version."""
    for name in names:
        response = await take_up(rig, name, node)
        assert find_versions(rig, name, f"again-{name}") == {NEW_VERSION}
        if response.status != 200:
            assert response.status == 503
            assert 0 < float(response.headers["retry-after"]) < 1


def cut_off_from_store(router, *, hangs: bool) -> None:
    """Fail all calls of a router to the store, at once or by silence."""

    async def fail(*_):
        if hangs:
            await asyncio.sleep(60)
        raise ConnectError("cut off by the test")

    router._adapters.store._pool.exchange = fail


def cut_off_from_peers(rig, index: int) -> None:
    """Let a router and its peers hear nothing of each other."""
    own_address = rig.settings[index].listen.peers

    async def fail(*_):
        await asyncio.sleep(0.05)
        return Failure("cut off by the test")

    for router in rig.routers:
        is_cut = router is rig.routers[index]
        membership = router.membership
        open_channel = membership.channel

        def find_channel(address, open_channel=open_channel, is_cut=is_cut):
            channel = open_channel(address)
            if is_cut or address == own_address:
                channel.call = fail
            return channel

        membership.channel = find_channel


async def know_each_other(rig) -> None:
    for router in rig.routers:
        membership = router.membership
        await wait_until(
            lambda membership=membership: (
                len(membership.list_serving_members()) == len(rig.routers)
            )
        )


async def wait_until_known(rig, indices) -> None:
    for index in indices:
        servers = rig.routers[index].cluster_view.servers
        await wait_until(
            lambda servers=servers: len(servers.list_usable(STREAM_SERVICE)) == 4
        )


@pytest.mark.parametrize("hangs", [False, True])
def test_a_node_cut_off_from_store_and_peers_does_not_guess_the_version_of_a_stream(
    hangs,
):
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            cut_off_from_store(rig.routers[2], hangs=hangs)
            cut_off_from_peers(rig, 2)
            await join_new_version(rig)
            await wait_until_known(rig, (0, 1))
            names = await begin_broken_streams(rig, NEW_VERSION)
            await assert_none_goes_on_elsewhere(rig, names, 2)

    run(scenario())


def test_a_node_cut_off_from_its_peers_does_not_guess_before_it_has_read_the_store():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            cut_off_from_peers(rig, 2)
            cut_off = rig.routers[2]._adapters.store._pool
            exchange = cut_off.exchange
            cut_off_from_store(rig.routers[2], hangs=True)
            await join_new_version(rig)
            await wait_until_known(rig, (0, 1))
            names = await begin_broken_streams(rig, NEW_VERSION)
            cut_off.exchange = exchange
            await assert_none_goes_on_elsewhere(rig, names, 2)

    run(scenario())


def test_a_node_cut_off_from_the_store_asks_its_peers_for_the_version():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            cut_off_from_store(rig.routers[2], hangs=True)
            await join_new_version(rig)
            await wait_until_known(rig, (0, 1))
            names = await begin_broken_streams(rig, NEW_VERSION)
            await assert_none_goes_on_elsewhere(rig, names, 2)

    run(scenario())


def test_a_stream_goes_on_at_its_version_once_the_node_is_in_step_again():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            pool = rig.routers[2]._adapters.store._pool
            exchange = pool.exchange
            cut_off_from_store(rig.routers[2], hangs=False)
            await join_new_version(rig)
            await wait_until_known(rig, (0, 1))
            names = await begin_broken_streams(rig, NEW_VERSION)
            pool.exchange = exchange
            await wait_until_known(rig, (2,))
            for name in names:
                response = await take_up(rig, name, 2)
                assert response.is_complete
            await assert_none_goes_on_elsewhere(rig, names, 2)

    run(scenario())


def test_a_stream_of_unknown_origin_goes_on_while_the_store_is_down():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            for router in rig.routers:
                cut_off_from_store(router, hangs=False)
            await wait_until(lambda: not rig.routers[1].cluster_view.is_in_contact)
            response = await take_up(rig, "never-seen", 1)
            assert response.is_complete

    run(scenario())


def test_a_stream_of_unknown_origin_is_refused_while_a_node_may_know_its_version():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            for router in rig.routers[1:]:
                cut_off_from_store(router, hangs=False)
            cut_off_from_peers(rig, 0)
            await join_new_version(rig)
            await wait_until_known(rig, (0,))
            names = await begin_broken_streams(rig, NEW_VERSION)
            await assert_none_goes_on_elsewhere(rig, names, 1)

    run(scenario())


def find_node_that_keeps_no_records(rig) -> int:
    """Return the index of a router that is not among the keepers of all."""
    members = rig.routers[0].membership.list_serving_members()
    keeper_ids = {keeper.node_id for keeper in choose_keepers(members, 1, MIN_KEEPERS)}
    for index, router in enumerate(rig.routers):
        if router.membership.own_member.node_id not in keeper_ids:
            return index
    raise AssertionError("all nodes keep records")


async def restart_in_place(rig, server_id: str, version: str) -> None:
    """Start a server anew under its id and address, with another version."""
    old = rig.server_by_id[server_id]
    port = int(old.address.rpartition(":")[2])
    await old.stop()
    await asyncio.sleep(0.05)
    await add_server(
        rig, STREAM_SERVICE, server_id, version=version, port=port, born=2 * 10**12
    )


def test_a_node_in_step_again_knows_a_server_that_changed_its_version_in_place():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await know_each_other(rig)
            names = await begin_broken_streams(rig, "v1")
            pool = rig.routers[1]._adapters.store._pool
            exchange = pool.exchange
            cut_off_from_store(rig.routers[1], hangs=True)
            await asyncio.sleep(WATCH_WAIT_S)
            await restart_in_place(rig, f"{STREAM_SERVICE}-0", NEW_VERSION)
            rig.server_by_id[f"{STREAM_SERVICE}-1"].faults.rejects_requests = True
            pool.exchange = exchange
            for name in names:
                await take_up(rig, name, 1)
                assert NEW_VERSION not in find_versions(rig, f"again-{name}")

    run(scenario())


def test_a_node_that_lost_the_store_asks_it_before_a_stream_goes_on():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await know_each_other(rig)
            names = await begin_broken_streams(rig, "v1")
            late = rig.routers[1]
            exchange = late._adapters.store._pool.exchange
            cut_off_from_store(late, hangs=True)
            await wait_until(lambda: not late.cluster_view.is_in_contact, 8.0)
            await restart_in_place(rig, f"{STREAM_SERVICE}-0", NEW_VERSION)
            rig.server_by_id[f"{STREAM_SERVICE}-1"].faults.rejects_requests = True
            late._adapters.store._pool.exchange = exchange
            assert not late.cluster_view.is_in_contact
            for name in names:
                await take_up(rig, name, 1)
                assert NEW_VERSION not in find_versions(rig, f"again-{name}")

    run(scenario())


async def give_up_watch(router) -> None:
    """Let a router give up its watch although the store answers."""
    follower, view = router._follower, router.cluster_view
    await wait_until(lambda: follower._watch is not None and view.is_in_contact)
    follower._watch.cancel()
    while view.is_in_contact:
        await asyncio.sleep(0)


@pytest.mark.parametrize("delay_s", [0.0, SLOW_CALL_S])
@pytest.mark.parametrize("hears_peers", [True, False])
def test_no_stream_is_refused_while_its_node_doubts_a_store_that_answers(
    hears_peers, delay_s
):
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            names = await begin_broken_streams(rig, "v1")
            if not hears_peers:
                cut_off_from_peers(rig, 2)
            rig.store.faults.delay_s = delay_s
            late = rig.routers[2]
            for number, name in enumerate([*names, "never-seen"]):
                before = asyncio.ensure_future(
                    take_up(rig, name, 2, f"before-{number}")
                )
                await give_up_watch(late)
                within = take_up(rig, name, 2, f"within-{number}")
                for response in await asyncio.gather(before, within):
                    assert response.status == 200
                    assert response.is_complete

    run(scenario())


def test_a_stream_does_not_go_on_at_a_server_that_changed_its_version_meanwhile():
    async def scenario():
        async with make_rig(servers=1) as rig:
            (old,) = list_engines(rig)
            old.event_count = 100
            rig.server_by_id[f"{STAGE_SERVICE}-0"].stage_call_s = 0.2
            task = asyncio.ensure_future(
                rig.send_request("/long/1", request_id="s", **STAGED)
            )
            await wait_until(lambda: old.runs)
            await asyncio.sleep(0.1)
            await wait_until(lambda: rig.store.watch_cuts.waiting)
            rig.store.cut_watches(is_silent=True)
            await restart_in_place(rig, old.server_id, NEW_VERSION)
            response = await task
            assert not response.is_complete
            assert not rig.server_by_id[old.server_id].runs

    run(scenario())


@pytest.mark.parametrize("by_client", [False, True])
@pytest.mark.parametrize("node", [0, 1])
def test_a_stream_that_began_at_a_server_that_had_changed_its_version_is_not_joined(
    node, by_client
):
    async def scenario():
        async with make_rig(routers=2) as rig:
            await know_each_other(rig)
            old, other = list_engines(rig)
            await wait_until(lambda: rig.store.watch_cuts.waiting == 2)
            rig.store.cut_watches(is_silent=True)
            other.faults.rejects_requests = True
            other.faults.retry_after_s = 0.1
            await restart_in_place(rig, old.server_id, NEW_VERSION)
            new = rig.server_by_id[old.server_id]
            new.faults.cuts_streams_after = 2
            task = asyncio.ensure_future(
                rig.send_request("/list/1", request_id="s", deadline_ms=1500, **STREAM)
            )
            await wait_until(lambda: new.runs)
            # With the other server, the node itself can go on with the stream.
            other.faults.rejects_requests = by_client
            broken = await task
            assert broken.body.count(b"v2") == 2
            assert not broken.is_complete
            other.faults.rejects_requests = False
            if by_client:
                new.faults.rejects_requests = True
                servers = rig.routers[0].cluster_view.servers
                await wait_until(
                    lambda: (
                        NEW_VERSION
                        in servers.list_recent_versions(STREAM_SERVICE, boot_time())
                    )
                )
                await asyncio.sleep(0.5)
                response = await take_up(rig, "s", node)
                assert response.status == 503
            assert find_versions(rig, "s", "again-s") == {NEW_VERSION}

    run(scenario())


def test_a_node_that_stood_still_does_not_guess_the_version_of_a_stream(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path, routers=3) as rig:
            rig.processes[2].signal(signal.SIGSTOP)
            await join_new_version(rig)
            await asyncio.sleep(1.5)
            names = await begin_broken_streams(rig, NEW_VERSION)
            rig.processes[2].signal(signal.SIGCONT)
            responses = await asyncio.gather(*(take_up(rig, n, 2) for n in names))
            for name, response in zip(names, responses, strict=True):
                assert find_versions(rig, name, f"again-{name}") == {NEW_VERSION}
                assert response.status in (200, 503)

    run(scenario())


def test_a_node_that_passes_a_stream_on_does_not_take_it_up_at_its_own_last_version():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await know_each_other(rig)
            await join_new_version(rig)
            await wait_until_known(rig, (0, 1, 2))
            own = find_node_that_keeps_no_records(rig)
            connect_by_links(rig, own)
            for server in list_engines(rig):
                server.first_event_s = 5.0
                server.faults.rejects_requests = server.version == NEW_VERSION
                server.faults.retry_after_s = 0.1
            task = asyncio.ensure_future(
                rig.send_request("/list/1", node=own, request_id="s", **STREAM)
            )
            await wait_until(lambda: rig.count_runs("s"))
            assert find_versions(rig, "s") == {"v1"}
            for server in list_engines(rig):
                server.first_event_s = 0.0
                server.faults.cuts_streams_after = 2
                server.faults.rejects_requests = server.version == "v1"
            await rig.links.cut([own], Cut.RESET)
            broken = await task
            assert (broken.status, broken.is_complete) == (200, False)
            assert b"v2 2" in broken.body
            await rig.links.mend([own])
            for server in list_engines(rig):
                server.faults.cuts_streams_after = 0
                server.faults.rejects_requests = False
            await asyncio.sleep(1.0)
            again = await take_up(rig, "s", own)
            assert find_versions(rig, "again-s") == {NEW_VERSION}
            assert again.is_complete

    run(scenario())


def test_a_peer_forgets_the_version_of_a_stream_that_was_taken_back_before_it_began():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await know_each_other(rig)
            for server in list_engines(rig):
                server.faults.withholds_responses = True
            router = rig.routers[1]
            headers = {
                "host": "shop.example",
                "persimmonlink-request-id": "s",
                **{k.lower().replace("_", "-"): v for k, v in STREAM.items()},
            }
            message = RelayRequest(
                rig.routers[0].membership.sender,
                b"POST",
                b"/list/1",
                tuple((k.encode(), v.encode()) for k, v in headers.items()),
                b"",
                router.cluster_view.configuration.version,
                STREAM_SERVICE,
                "acme",
                0.0,
            )
            task = asyncio.ensure_future(
                router._request_service.handle_relayed(message, asyncio.sleep)
            )
            await wait_until(lambda: rig.count_runs("s"))
            assert router._stream_versions.find("s") == "v1"
            task.cancel()
            await asyncio.wait([task])
            assert router._stream_versions.find("s") is None

    run(scenario())
