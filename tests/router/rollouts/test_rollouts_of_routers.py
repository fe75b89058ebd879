"""Real routers move a service to a good version, and take a bad one back."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_rig,
    restart_router,
    run,
    stop_router,
    wait_until,
)

PERIOD_S = 5.0
CANARY_SHARE = 0.1
INTERVAL_S = 0.008  # Interval of the requests that a test sends.
# Requests beyond its share that a bad version may get until it is taken back.
CANARY_SLACK = 50


def order(rig, service, version="v2", period_s=PERIOD_S, changes=()):
    value = {"service": service, "to": version, "period-s": period_s}
    value.update(changes)
    rig.store.put(f"op/rollout/{service}", msgspec.json.encode(value))


def read_status(rig, service):
    key = f"status/rollout/{service}"
    if key not in rig.store.list_keys():
        return {}
    return msgspec.json.decode(rig.store.read(key))


async def wait_for_end(rig, service, timeout_s=PERIOD_S + 2.0):
    await wait_until(
        lambda: read_status(rig, service).get("state") in ("complete", "reverted"),
        timeout_s,
    )
    return read_status(rig, service)


def count_arrivals(rig, version):
    return sum(
        server.received_count
        for server in rig.server_by_id.values()
        if server.version == version
    )


@asynccontextmanager
async def serve_load(rig, path, nodes=(0,), **headers):
    """Send requests to some nodes in turn, and yield the statuses that came back."""
    statuses, tasks = [], set()

    async def send(node):
        reply = await rig.send_request(path, node=node, **headers)
        statuses.append(reply.status if reply.is_complete else 0)

    async def send_all():
        count = 0
        while True:
            count += 1
            task = asyncio.create_task(send(nodes[count % len(nodes)]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    sending = asyncio.create_task(send_all())
    try:
        yield statuses
    finally:
        sending.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def add_new_version(rig, service, **changes):
    for index in range(2):
        await add_server(rig, service, f"{service}-new-{index}", version="v2")
        server = rig.server_by_id[f"{service}-new-{index}"]
        for name, value in changes.items():
            setattr(server, name, value)


@pytest.mark.parametrize(
    ("path", "service", "headers"),
    [("/look/1", PLAIN_SERVICE, {}), ("/claim/1", STREAM_SERVICE, STREAM)],
)
def test_a_sound_version_takes_over_and_no_request_is_lost(path, service, headers):
    async def scenario():
        async with (
            make_rig(routers=2) as rig,
            serve_load(rig, path, (0, 1), **headers) as statuses,
        ):
            await add_new_version(rig, service)
            order(rig, service)
            status = await wait_for_end(rig, service)
            assert status == {"state": "complete", "to": "v2"}
            before = count_arrivals(rig, "v1")
            # As specified, old servers stop at once.
            for server_id, server in list(rig.server_by_id.items()):
                if server.version == "v1" and server_id.startswith(service):
                    await server.stop()
                    rig.store.delete(f"servers/{server_id}")
            await asyncio.sleep(0.5)
            assert count_arrivals(rig, "v1") == before
        assert set(statuses) == {200}

    run(scenario())


@pytest.mark.parametrize("bad_from_s", [0.0, 2.0])
def test_a_version_that_fails_is_taken_back_within_its_share(bad_from_s):
    async def scenario():
        async with (
            make_rig(routers=2) as rig,
            serve_load(rig, "/book/1", (0, 1)) as statuses,
        ):
            await add_new_version(rig, PLAIN_SERVICE)
            order(rig, PLAIN_SERVICE)
            await asyncio.sleep(bad_from_s)
            for server in rig.server_by_id.values():
                if server.version == "v2":
                    server.faults.responds_500 = True
            status = await wait_for_end(rig, PLAIN_SERVICE)
            assert status["state"] == "reverted"
            assert status["code"] == 4014
            await asyncio.sleep(0.3)
            reached = count_arrivals(rig, "v2")
            await asyncio.sleep(1.0)
            assert count_arrivals(rig, "v2") == reached
            assert reached <= CANARY_SHARE * len(statuses) + CANARY_SLACK

    run(scenario())


def test_another_node_decides_after_the_one_whose_turn_it_was_has_ended():
    async def scenario():
        async with make_rig(routers=3) as rig:
            async with serve_load(rig, "/look/1", (0, 1, 2)):
                await add_new_version(rig, PLAIN_SERVICE)
                order(rig, PLAIN_SERVICE, period_s=8.0)
                key = f"persimmonlink/rollouts/{PLAIN_SERVICE}"
                await wait_until(lambda: key in rig.store.list_keys())
                decider = msgspec.json.decode(rig.store.read(key))["decided_by"]
            (index,) = [
                index
                for index, router in enumerate(rig.routers)
                if router.membership.own_member.node_id == decider
            ]
            await stop_router(rig.routers[index])
            others = [other for other in range(3) if other != index]
            async with serve_load(rig, "/look/1", others):
                status = await wait_for_end(rig, PLAIN_SERVICE, 12.0)
            assert status["state"] == "complete"
            written = rig.store.list_keys_written(f"status/rollout/{PLAIN_SERVICE}")
            # One write each for trial, shift and end, whoever decided.
            assert len(written) == 3
            await restart_router(rig, index)

    run(scenario())


def test_a_bad_version_is_suspended_while_the_store_is_away_and_taken_back_after():
    async def scenario():
        async with (
            make_rig(routers=2) as rig,
            serve_load(rig, "/book/1", (0, 1)),
        ):
            await add_new_version(rig, PLAIN_SERVICE)
            order(rig, PLAIN_SERVICE, period_s=30.0)
            key = f"persimmonlink/rollouts/{PLAIN_SERVICE}"
            await wait_until(lambda: key in rig.store.list_keys())
            books = [router.cluster_view.rollouts for router in rig.routers]
            await wait_until(lambda: all(book.list_active() for book in books))
            rig.store.faults.status = 503
            for server in rig.server_by_id.values():
                if server.version == "v2":
                    server.faults.responds_500 = True
            await wait_until(
                lambda: all(
                    book.rollout_by_service[PLAIN_SERVICE].is_suspended
                    for book in books
                ),
                8.0,
            )
            reached = count_arrivals(rig, "v2")
            await asyncio.sleep(0.5)
            assert count_arrivals(rig, "v2") == reached
            assert read_status(rig, PLAIN_SERVICE)["state"] == "running"
            rig.store.faults.status = 0
            assert (await wait_for_end(rig, PLAIN_SERVICE))["state"] == "reverted"

    run(scenario())


def test_answers_of_the_store_that_are_lost_make_no_second_decision():
    async def scenario():
        async with (
            make_rig(routers=2) as rig,
            serve_load(rig, "/look/1", (0, 1)),
        ):
            await add_new_version(rig, PLAIN_SERVICE)
            rig.store.faults.drops_responses = True
            order(rig, PLAIN_SERVICE)
            await asyncio.sleep(1.5)
            rig.store.faults.drops_responses = False
            status = await wait_for_end(rig, PLAIN_SERVICE, 12.0)
            assert status == {"state": "complete", "to": "v2"}
            written = rig.store.list_keys_written(f"status/rollout/{PLAIN_SERVICE}")
            assert len(written) == 3

    run(scenario())


def test_a_node_that_learns_late_sends_nothing_to_a_version_taken_back():
    async def scenario():
        async with make_rig() as rig:
            async with serve_load(rig, "/book/1"):
                await add_new_version(rig, PLAIN_SERVICE)
                for server in rig.server_by_id.values():
                    if server.version == "v2":
                        server.faults.responds_500 = True
                order(rig, PLAIN_SERVICE)
                await wait_for_end(rig, PLAIN_SERVICE)
            await stop_router(rig.routers[0])
            await restart_router(rig, 0)
            router = rig.routers[0]
            await wait_until(lambda: router.cluster_view.rollouts.rollout_by_service)
            await wait_until(lambda: not router.cluster_view.rollouts.list_active())
            reached = count_arrivals(rig, "v2")
            async with serve_load(rig, "/book/1") as statuses:
                await asyncio.sleep(1.0)
            assert count_arrivals(rig, "v2") == reached
            assert set(statuses) == {200}

    run(scenario())


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"to": "v9", "period-s": 2.0}, 4013),
        ({"period-s": "soon"}, 4011),
        ({"service": "other"}, 4011),
    ],
)
def test_an_order_that_can_t_be_followed_gets_one_numbered_status(changes, code):
    async def scenario():
        async with make_rig() as rig, serve_load(rig, "/look/1") as statuses:
            order(rig, PLAIN_SERVICE, changes=changes)
            status = await wait_for_end(rig, PLAIN_SERVICE)
            assert status["state"] == "reverted"
            assert status["code"] == code
        assert set(statuses) == {200}

    run(scenario())


def test_a_second_order_replaces_the_first():
    async def scenario():
        async with make_rig() as rig, serve_load(rig, "/look/1"):
            await add_new_version(rig, PLAIN_SERVICE)
            order(rig, PLAIN_SERVICE, period_s=30.0)
            await asyncio.sleep(0.5)
            order(rig, PLAIN_SERVICE, version="v1", period_s=4.0)
            status = await wait_for_end(rig, PLAIN_SERVICE, 8.0)
            assert status["to"] == "v1"

    run(scenario())


def test_a_version_taken_back_gets_nothing_under_the_next_order_either():
    # Its servers drain some seconds later, and would count as old ones.
    async def scenario():
        async with make_rig(routers=2) as rig, serve_load(rig, "/book/1", (0, 1)):
            await add_new_version(rig, PLAIN_SERVICE)
            for server in rig.server_by_id.values():
                if server.version == "v2":
                    server.faults.responds_500 = True
            order(rig, PLAIN_SERVICE)
            await wait_for_end(rig, PLAIN_SERVICE)
            await asyncio.sleep(0.3)
            reached = count_arrivals(rig, "v2")
            await add_server(rig, PLAIN_SERVICE, "third", version="v3")
            order(rig, PLAIN_SERVICE, version="v3", period_s=4.0)
            await wait_until(
                lambda: read_status(rig, PLAIN_SERVICE).get("to") == "v3", 3.0
            )
            status = await wait_for_end(rig, PLAIN_SERVICE)
            assert status["to"] == "v3"
            await stop_router(rig.routers[0])
            await restart_router(rig, 0)
            await asyncio.sleep(1.0)
            assert count_arrivals(rig, "v2") == reached

    run(scenario())
