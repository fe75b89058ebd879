"""A request that ends servers is held back at all nodes, and sound ones go on."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import pytest
from tests.router.crashing_servers import CrashingServers
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    add_server,
    connect_by_links,
    make_rig,
    restart_router,
    run,
    stop_router,
)

from persimmonlink_router.keepers import choose_keepers
from persimmonlink_stand_ins.link import Cut

ROUTER_COUNT = 6
SERVER_COUNT = 4
# The users' bound: after the third end, three more sends at most later than this time.
CONTACT_S = 3.0
ENDS_BEFORE_BOUND = 3
MAX_LATER_SENDS = 3
MIN_SOUND_SHARE = 0.9
BAD = b"ends servers"
KINDS = [
    ("/look/1", PLAIN_SERVICE, {}),
    ("/book/1", PLAIN_SERVICE, {}),
    ("/claim/1", STREAM_SERVICE, STREAM),
    ("/list/1", STREAM_SERVICE, STREAM),
    ("/chain/1", STAGE_SERVICE, STAGED),
]


@dataclass
class Sent:
    """A request that was sent, and its response."""

    sent_at: float
    body: bytes
    task: asyncio.Task


def build_headers(headers, body, number):
    """Return headers that are different in each attempt where that is allowed."""
    if "Persimmonlink_Prompt_Prefix" not in headers:
        return {"X_Attempt": str(number)}
    prompt = f"aa:60,own{number}:40"
    changes = {"Persimmonlink_Prompt_Prefix": prompt}
    if "Persimmonlink_Piece_Key" in headers:
        changes["Persimmonlink_Piece_Key"] = body.decode()
    return {**headers, **changes}


async def send_mixed(rig, rng, duration_s, path, headers, *, fatal=(BAD,), rate=30.0):
    """Send sound requests, and one in eight that ends servers, at random nodes."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    sent = []
    while loop.time() < ends_at:
        number = len(sent)
        is_fatal = bool(fatal) and rng.random() < 0.125
        body = rng.choice(fatal) if is_fatal else f"sound {number}".encode()
        task = asyncio.ensure_future(
            rig.send_request(
                f"{path}?attempt={number}",
                node=rng.randrange(len(rig.settings)),
                body=body,
                **build_headers(headers, body, number),
            )
        )
        sent.append(Sent(loop.time(), body, task))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.wait([request.task for request in sent])
    return sent


def count_late_sends(servers, body: bytes = BAD) -> int:
    """Return how many sends of a fatal request were later than the bound allows."""
    times = servers.list_fatal_arrivals(body)
    if len(times) < ENDS_BEFORE_BOUND:
        return 0
    bound_at = times[ENDS_BEFORE_BOUND - 1] + CONTACT_S
    return sum(1 for at in times if at > bound_at)


def compute_sound_share(sent, from_at: float) -> float:
    """Return the share of the sound requests sent after a time that were served."""
    sound = [r for r in sent if r.body.startswith(b"sound") and r.sent_at > from_at]
    assert len(sound) >= 20
    served = [
        r for r in sound if r.task.exception() is None and r.task.result().status == 200
    ]
    return len(served) / len(sound)


@pytest.mark.parametrize(("path", "service", "headers"), KINDS)
@pytest.mark.timeout(60)
def test_a_request_that_ended_three_servers_reaches_no_more(path, service, headers):
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, service, frozenset([BAD]))
            servers.arm_all()
            sent = await send_mixed(rig, random.Random(23), 10.0, path, headers)
            late = count_late_sends(servers)
            assert late <= MAX_LATER_SENDS, f"{late}, {len(servers.crashed_at)} ends"
            from_at = servers.crashed_at[:ENDS_BEFORE_BOUND][-1] + 2 * CONTACT_S
            assert compute_sound_share(sent, from_at) >= MIN_SOUND_SHARE

    run(scenario())


@pytest.mark.timeout(60)
def test_several_requests_that_end_servers_are_held_at_nodes_that_start_meanwhile():
    async def scenario():
        fatal = (b"bad one", b"bad two", b"bad three")
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset(fatal))
            servers.arm_all()
            rng = random.Random(24)
            sending = asyncio.ensure_future(
                send_mixed(rig, rng, 13.0, "/look/1", {}, fatal=fatal)
            )
            await asyncio.sleep(3.0)
            for index in (0, 1):
                await stop_router(rig.routers[index])
                await restart_router(rig, index)
            await sending
            for body in fatal:
                assert count_late_sends(servers, body) <= MAX_LATER_SENDS

    run(scenario())


@pytest.mark.timeout(60)
def test_ends_still_count_when_the_nodes_that_know_of_them_stop_again_and_again():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset([BAD]))
            servers.arm_all()
            for number in range(8):
                combining = find_combining_node(rig)
                observing = (combining + 1 + number % 2) % ROUTER_COUNT
                await rig.send_request("/look/1", node=observing, body=BAD)
                # Time to check the server's end and to report it.
                await asyncio.sleep(0.4)
                for index in (observing, combining):
                    await stop_router(rig.routers[index])
                    await restart_router(rig, index)
                await asyncio.sleep(1.6)
            late = count_late_sends(servers)
            assert late <= MAX_LATER_SENDS, f"{late}, {len(servers.crashed_at)} ends"

    run(scenario())


def find_combining_node(rig) -> int:
    """Return the index of the first of the nodes that combine the reports of ends."""
    members = [router.membership.own_member for router in rig.routers]
    return members.index(choose_keepers(members, 1)[0])


@pytest.mark.timeout(60)
def test_a_request_asked_for_everywhere_goes_on_while_servers_end_for_other_reasons():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset())
            servers.arm_all()
            rng = random.Random(25)
            tasks = []
            loop = asyncio.get_running_loop()
            next_crash_at = loop.time() + 0.5
            ends_at = loop.time() + 8.0
            while loop.time() < ends_at:
                node = rng.randrange(ROUTER_COUNT)
                tasks.append(
                    asyncio.ensure_future(
                        rig.send_request("/look/hot", "GET", node=node)
                    )
                )
                live = servers.list_live()
                if loop.time() > next_crash_at and len(live) > 1:
                    next_crash_at = loop.time() + rng.uniform(0.1, 0.6)
                    await rng.choice(live).crash()
                await asyncio.sleep(rng.expovariate(30))
            responses = await asyncio.gather(*tasks)
            assert len(servers.crashed_at) >= 10
            served = [r for r in responses if r.status == 200]
            assert len(served) >= MIN_SOUND_SHARE * len(responses)
            assert not any(len(r._crash_guard.holds) for r in rig.routers)

    run(scenario())


@pytest.mark.timeout(60)
def test_a_node_that_is_cut_off_from_servers_accuses_no_request():
    async def scenario():
        async with make_rig(routers=3, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            connect_by_links(rig, 0)
            for server in rig.server_by_id.values():
                server.work_s = 0.2
            for _ in range(5):
                waiting = asyncio.ensure_future(rig.send_request("/look/1", body=b"x"))
                await asyncio.sleep(0.1)
                await rig.links.cut([0], Cut.RESET)
                await waiting
                await asyncio.sleep(0.7)
                await rig.links.mend([0])
                await asyncio.sleep(0.7)
            assert not any(len(r._crash_guard.holds) for r in rig.routers)
            response = await rig.send_request("/look/1", node=1, body=b"x")
            assert response.status == 200

    run(scenario())


@pytest.mark.timeout(60)
def test_another_account_is_served_the_same_path_and_body():
    async def scenario():
        async with make_rig(routers=3, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset([b""]))
            servers.arm_all()
            for number in range(15):
                await rig.send_request("/look/1", "GET", node=number % 3)
                await asyncio.sleep(0.4)
            assert count_late_sends(servers, b"") <= MAX_LATER_SENDS
            for server in servers.list_servers():
                server.fatal_bodies = frozenset()
            await asyncio.sleep(0.6)
            held = await rig.send_request("/look/1", "GET", node=0)
            assert held.status == 503
            for node in range(3):
                other = await rig.send_request(
                    "/look/1", "GET", node=node, Authorization="Bearer key-of-other"
                )
                assert other.status == 200

    run(scenario())


@pytest.mark.timeout(60)
def test_a_held_request_is_tried_at_servers_of_a_new_software_version():
    async def scenario():
        async with make_rig(routers=3, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset([BAD]))
            servers.arm_all()
            await send_mixed(rig, random.Random(26), 6.0, "/look/1", {})
            held = await rig.send_request("/look/1", body=BAD)
            assert held.status == 503
            for index in range(2):
                await add_server(
                    rig, PLAIN_SERVICE, f"{PLAIN_SERVICE}-new-{index}", version="v2"
                )
            await asyncio.sleep(0.6)
            statuses = []
            for number in range(12):
                response = await rig.send_request("/look/1", node=number % 3, body=BAD)
                statuses.append(response.status)
                await asyncio.sleep(0.3)
            assert statuses[-3:] == [200] * 3, statuses

    run(scenario())


@pytest.mark.timeout(60)
def test_a_new_software_version_that_ends_too_gets_no_more_than_the_bound_allows():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset([BAD]))
            servers.arm_all()
            rng = random.Random(27)
            sending = asyncio.ensure_future(send_mixed(rig, rng, 12.0, "/look/1", {}))
            await asyncio.sleep(6.0)
            servers.version = "v2"
            for index in range(2):
                server_id = f"{PLAIN_SERVICE}-new-{index}"
                await add_server(rig, PLAIN_SERVICE, server_id, version="v2")
                servers.arm(server_id)
            await sending
            assert count_late_sends(servers) <= MAX_LATER_SENDS

    run(scenario())
