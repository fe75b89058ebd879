"""Operators see which prompts are held back, and let them go at all nodes."""

from __future__ import annotations

import asyncio
import json

from tests.router.rig import (
    STREAM,
    add_router,
    connect_by_links,
    make_rig,
    restart_router,
    run,
    send,
    stop_router,
    wait_until,
)

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import RequestOrigin
from persimmonlink_router.holds import MIN_DECISION_GAP_S, Hold
from persimmonlink_stand_ins.link import Cut

REQUEST = "request:00ff"
HELD_S = 60.0  # Time for which the tests hold a part back.
PROMPT = {**STREAM, "Persimmonlink_Prompt_Prefix": "aa:60,bad:20,own:20"}


async def call(rig, node, method, path):
    address = rig.settings[node].listen.metrics
    return await send(address, method, path, {"Host": "x"})


def hold_back(router) -> None:
    """Let a router decide to hold a part back, as after four ends of servers."""
    now = boot_time()
    guard = router._crash_guard
    hold = Hold(frozenset(["bad"]), guard._node_id, now, now + HELD_S, 4)
    guard._decide(hold, ())


def test_a_held_prompt_is_listed_and_refused_as_not_run_until_it_is_released():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await asyncio.sleep(0.5)
            hold_back(rig.routers[0])
            guards = [router._crash_guard for router in rig.routers]
            await wait_until(lambda: all(len(guard.holds) for guard in guards))
            listed = json.loads((await call(rig, 1, "GET", "/holds")).body)
            assert listed[0]["parts"] == ["bad"]
            assert listed[0]["state"] == "held"
            refused = await rig.send_request(
                "/claim/1", node=2, request_id="r", **PROMPT
            )
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 50
            assert rig.count_runs("r") == 0
            assert (await call(rig, 2, "DELETE", "/holds/other")).status == 404
            assert (await call(rig, 2, "DELETE", "/holds/bad")).status == 200
            await wait_until(lambda: not any(len(guard.holds) for guard in guards))
            for node in range(3):
                response = await rig.send_request("/claim/1", node=node, **PROMPT)
                assert response.status == 200

    run(scenario())


def test_a_held_request_is_listed_with_its_account_path_and_software():
    async def scenario():
        async with make_rig(routers=2) as rig:
            guard = rig.routers[0]._crash_guard
            now = boot_time()
            hold = Hold(
                frozenset([REQUEST]),
                guard._node_id,
                now,
                now + HELD_S,
                3,
                software=frozenset(["desk/v1"]),
                origin=RequestOrigin("acme", "/look/1"),
            )
            guard._decide(hold, ())
            await wait_until(lambda: len(rig.routers[1]._crash_guard.holds))
            listed = json.loads((await call(rig, 1, "GET", "/holds")).body)[0]
            assert listed["parts"] == [REQUEST]
            assert (listed["account"], listed["path"]) == ("acme", "/look/1")
            assert listed["software"] == ["desk/v1"]
            assert (await call(rig, 1, "DELETE", f"/holds/{REQUEST}")).status == 200

    run(scenario())


def test_a_node_without_a_way_to_the_servers_is_listed_at_all_nodes():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await asyncio.sleep(0.5)
            connect_by_links(rig, 0)
            await rig.links.cut([0], Cut.RESET)
            assert (await rig.send_request("/look/1", "GET")).status == 200
            own_id = rig.routers[0].membership.own_member.node_id
            board = rig.routers[1]._reach_board
            await wait_until(lambda: "desk" in board.list_lacking(own_id))
            own = json.loads((await call(rig, 0, "GET", "/reach")).body)
            assert "desk" in [entry["service"] for entry in own["unreached"]]
            peer = json.loads((await call(rig, 1, "GET", "/reach")).body)
            assert "desk" in peer["peers"][own_id]
            assert json.loads((await call(rig, 1, "GET", "/brittle")).body) == []

    run(scenario())


def test_a_router_that_starts_learns_of_held_prompts_from_its_peers():
    async def scenario():
        async with make_rig(routers=2) as rig:
            hold_back(rig.routers[0])
            router = await add_router(rig, 2)
            await wait_until(lambda: len(router._crash_guard.holds) == 1, 2.0)

    run(scenario())


def test_decisions_outlast_the_end_of_all_routers():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await asyncio.sleep(0.5)
            hold_back(rig.routers[0])
            await wait_until(lambda: list_hold_keys(rig), 3.0)
            for router in rig.routers:
                await stop_router(router)
            for index in range(3):
                await restart_router(rig, index)
                refused = await rig.send_request(
                    "/claim/1", node=index, request_id=f"r{index}", **PROMPT
                )
                assert refused.status == 503
                assert rig.count_runs(f"r{index}") == 0

    run(scenario())


def test_a_release_outlasts_the_end_of_all_routers():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await asyncio.sleep(0.5)
            hold_back(rig.routers[0])
            await wait_until(lambda: list_hold_keys(rig), 3.0)
            assert (await call(rig, 0, "DELETE", "/holds/bad")).status == 200
            await asyncio.sleep(1.5)
            for router in rig.routers:
                await stop_router(router)
            await restart_router(rig, 0)
            assert (await rig.send_request("/claim/1", **PROMPT)).status == 200

    run(scenario())


def test_a_decision_that_comes_late_to_the_store_does_not_undo_a_release():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await asyncio.sleep(0.5)
            hold_back(rig.routers[0])
            await wait_until(lambda: list_hold_keys(rig), 3.0)
            key = list_hold_keys(rig)[0]
            decision = rig.store.read(key)
            assert (await call(rig, 0, "DELETE", "/holds/bad")).status == 200
            await wait_until(lambda: rig.store.read(key) != decision, 3.0)
            rig.store.put(key, decision)
            await asyncio.sleep(1.5)
            for node in (0, 1):
                response = await rig.send_request("/claim/1", node=node, **PROMPT)
                assert response.status == 200

    run(scenario())


def test_reading_a_decision_in_the_store_does_not_prolong_it():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await asyncio.sleep(0.5)
            hold_back(rig.routers[0])
            await wait_until(lambda: list_hold_keys(rig), 3.0)
            await stop_router(rig.routers[1])
            await asyncio.sleep(MIN_DECISION_GAP_S)
            await restart_router(rig, 1)
            await asyncio.sleep(1.0)
            (hold,) = rig.routers[0]._crash_guard.holds.list_all()
            assert hold.ends_at < boot_time() + HELD_S

    run(scenario())


def list_hold_keys(rig) -> list[str]:
    return [key for key in rig.store.list_keys() if "/holds/" in key]
