"""Odd records under the routers' own keys, and odd messages, end nothing."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from grpclib.exceptions import GRPCError
from tests.router.rig import STREAM, make_configuration, make_rig, run, wait_until

from persimmonlink_model.membership import Member
from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_router.holds import HOLD_S
from persimmonlink_router.peer_messages import RouterMember

DEEP = b'{"a":' * 3000
MEMBERS = "persimmonlink/nodes/"
HOLDS = "persimmonlink/holds/"
STREAMS = "persimmonlink/stream-versions/"
SERVICES = "persimmonlink/service-versions/"
APPLY_S = 1.5


def count_heartbeats(router) -> list[str]:
    """Return a list that gets the sender of each heartbeat that a router receives."""
    apply = router.membership._apply_heartbeat
    senders: list[str] = []

    def record(heartbeat):
        senders.append(heartbeat.sender.node_id)
        apply(heartbeat)

    router.membership._apply_heartbeat = record
    return senders


def build_member(node_id: str, **changes) -> bytes:
    member = {
        "node_id": node_id,
        "incarnation": "1",
        "domain": "a",
        "http_address": "127.0.0.1:9",
        "peer_address": "127.0.0.1:9",
        "revision": 1,
        "seniority": 1,
    }
    return msgspec.json.encode({**member, **changes})


def build_hold(**changes) -> bytes:
    hold = {
        "part_ids": ["zz"],
        "decided_by": "n",
        "age_s": 0.0,
        "left_s": 5.0,
        "server_ends": 4,
    }
    return msgspec.json.encode({**hold, **changes})


ODD_RECORDS = {
    f"{MEMBERS}deep": DEEP,
    f"{MEMBERS}bytes": b"\xff",
    f"{MEMBERS}port": build_member("port", peer_address="127.0.0.1:70000"),
    f"{MEMBERS}host": build_member("host", peer_address="nowhere"),
    f"{MEMBERS}other": build_member("else", peer_address="127.0.0.1:10"),
    f"{MEMBERS}cores": build_member("cores", cores=1e308),
    f"{MEMBERS}age": build_member("age", seniority=2**63, revision=2**63),
    f"{HOLDS}deep": DEEP,
    f"{HOLDS}long": build_hold(left_s=1e308),
    f"{HOLDS}past": build_hold(left_s=-1e308),
    f"{HOLDS}ends": build_hold(server_ends=-1)[:-1]
    + b',"server_ends":1'
    + b"0" * 30
    + b"}",
    f"{STREAMS}deep": DEEP,
    f"{STREAMS}type": b'{"request_ids_by_version":{"v1":5}}',
    f"{SERVICES}deep": DEEP,
    f"{SERVICES}ages": b'{"age_s_by_version_by_service":{"desk":{"v":-1e308}}}',
    f"{SERVICES}number": b'{"age_s_by_version_by_service":{"desk":{"v":1e400}}}',
}


ODD_MEMBERS = {
    "port": {"peer_address": "127.0.0.1:70000"},
    "host": {"peer_address": "nowhere"},
    "clients": {"http_address": "nowhere"},
    "cores": {"cores": 1e308},
    "no-number": {"cores": float("nan")},
    "age": {"seniority": -1},
}


@pytest.mark.parametrize("name", sorted(ODD_MEMBERS))
def test_a_heartbeat_of_an_odd_member_ends_no_heartbeats(name):
    async def scenario():
        async with make_rig(routers=2) as rig:
            membership = rig.routers[0].membership
            odd = RouterMember(name, "1", "a", "127.0.0.1:9", "127.0.0.1:9", revision=1)
            odd = replace(odd, **ODD_MEMBERS[name])
            ids = {router.membership.own_member.node_id for router in rig.routers}
            await wait_until(lambda: set(membership.list_serving_ids()) == ids)
            heartbeat = replace(membership._build_heartbeat(), member=odd)
            sent = count_heartbeats(rig.routers[1])
            await membership.handle_heartbeat(heartbeat)
            assert set(membership.list_serving_ids()) == ids
            assert membership.choose_coordinator(set()) in ids
            before = len(sent)
            await wait_until(lambda: len(sent) > before + 2, 2.0)

    run(scenario())


def test_a_hold_with_a_huge_number_in_the_store_ends_no_heartbeats():
    async def scenario():
        async with make_rig(routers=2) as rig:
            key = f"{HOLDS}ends"
            rig.store.put(key, ODD_RECORDS[key])
            rig.store.put("op/config", make_configuration(2))
            for router in rig.routers:
                view = router.cluster_view
                await wait_until(lambda view=view: view.configuration.version == 2)
            sent = count_heartbeats(rig.routers[1])
            await wait_until(lambda: len(sent) > 2, 2.0)

    run(scenario())


@pytest.mark.parametrize("key", sorted(ODD_RECORDS))
def test_a_node_follows_the_store_and_serves_beside_an_odd_record(key):
    async def scenario():
        async with make_rig(routers=2) as rig:
            rig.store.put(key, ODD_RECORDS[key])
            rig.store.put("op/config", make_configuration(2))
            for router in rig.routers:
                view = router.cluster_view
                await wait_until(
                    lambda view=view: view.configuration.version == 2, APPLY_S
                )
                members = router.membership.list_serving_members()
                ids = {member.node_id for member in members}
                assert ids <= {r.membership.own_member.node_id for r in rig.routers}
            response = await rig.send_request("/look/1", "GET")
            assert response.status == 200
            response = await rig.send_request("/list/1", **STREAM)
            assert response.is_complete

    run(scenario())


def test_a_hold_without_end_in_the_store_ends_as_others_do():
    async def scenario():
        async with make_rig() as rig:
            rig.store.put(f"{HOLDS}long", build_hold(left_s=1e308))
            guard = rig.routers[0]._crash_guard
            await wait_until(lambda: guard.find_hold(["zz"]) is not None)
            hold = guard.find_hold(["zz"])
            from persimmonlink_router.boot_clock import boot_time

            assert hold.ends_at <= boot_time() + HOLD_S

    run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"\x81\xa1x" + b"\x91" * 100000,
        b"\x91" * 100000,
        b"\x81\xa7node_id" + b"\x91" * 5000 + b"\xc0",
        b"\xc1",
        b"",
    ],
)
@pytest.mark.parametrize("message_type", [RouterMember, Member])
def test_a_message_that_nests_deeply_is_rejected(data, message_type):
    with pytest.raises(GRPCError):
        MessagePackCodec().decode(data, message_type)


@pytest.mark.parametrize(
    "headers",
    [
        {"Persimmonlink_Deadline_Ms": "nan"},
        {"Persimmonlink_Token_Count": "1e300,5"},
        {"Persimmonlink_Token_Count": "nan"},
        {"Persimmonlink_Pieces": "1e9"},
        {"Persimmonlink_Pieces": "inf,1"},
        {"Persimmonlink_Prompt_Prefix": "aa:inf"},
    ],
)
def test_a_request_with_an_odd_number_gets_400_and_runs_nowhere(headers):
    async def scenario():
        async with make_rig() as rig:
            merged = {**STREAM, **headers}
            response = await rig.send_request("/list/1", request_id="odd", **merged)
            assert response.status == 400
            assert rig.count_runs("odd") == 0
            assert (await rig.send_request("/list/1", **STREAM)).is_complete

    run(scenario())
