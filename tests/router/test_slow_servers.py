"""Callers of servers that take longer than the objective, and are sound."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM,
    STREAM_SERVICE,
    Rig,
    make_configuration,
    make_rig,
    run,
    wait_until,
)

OBJECTIVE_S = 0.1
DEADLINE_S = 8.0
SERVERS = 3
CALLERS = 60


async def configure(rig: Rig, work_s: float) -> None:
    """Set an objective far below the time that servers take, and a long timeout."""
    configuration = make_configuration(version=2)
    for route in configuration["routes"]:
        route["slo-ms"] = OBJECTIVE_S * 1000
        route["timeout-ms"] = DEADLINE_S * 1000
    rig.store.put("op/config", configuration)
    view = rig.routers[0].cluster_view
    await wait_until(lambda: view.configuration.version == 2)
    for server in list_servers(rig):
        server.work_s = work_s


def list_servers(rig: Rig):
    return [s for i, s in rig.server_by_id.items() if i.startswith(PLAIN_SERVICE)]


async def look(rig: Rig, count: int, gap_s: float = 0.05):
    """Send some idempotent requests, one after a gap in seconds; return responses."""
    tasks = []
    for _ in range(count):
        request = rig.send_request("/look/1", deadline_ms=int(DEADLINE_S * 1000))
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("work_s", [0.15, 0.4, 0.8])
def test_sound_servers_that_take_longer_than_the_objective_serve_all_once(work_s):
    """30 of 60 callers with 8 s got 504 after 0.2 s, 0.2 s before their answer."""

    async def scenario():
        async with make_rig(servers=SERVERS) as rig:
            await configure(rig, work_s)
            responses = await look(rig, CALLERS)
            assert [r.status for r in responses] == [200] * CALLERS
            runs = sum(rig.count_runs(i) for i in rig.ids)
            assert runs <= 1.05 * CALLERS

    run(scenario())


def test_a_request_to_a_silent_server_is_repeated_once_it_is_late():
    """The time that the service takes decides, once it is known."""

    async def scenario():
        async with make_rig(servers=SERVERS) as rig:
            await configure(rig, 0.05)
            await look(rig, 30)
            list_servers(rig)[0].faults.withholds_responses = True
            began_at = time.monotonic()
            responses = await look(rig, 12)
            assert [r.status for r in responses] == [200] * 12
            assert time.monotonic() - began_at < 3.0

    run(scenario())


def test_an_answer_on_its_way_is_waited_for_when_no_other_server_may_be_asked():
    """It was given up at twice the objective, and the request failed."""

    async def scenario():
        async with make_rig(servers=SERVERS) as rig:
            await configure(rig, 0.05)
            await look(rig, 30, gap_s=0.01)
            rig.routers[0]._retry_budget.configure(0.0, 0.0)
            for server in list_servers(rig):
                server.work_s = 1.0
            responses = await look(rig, 6)
            assert [r.status for r in responses] == [200] * 6

    run(scenario())


def test_an_answer_on_its_way_counts_when_the_repeat_fails():
    async def scenario():
        async with make_rig(servers=2) as rig:
            await configure(rig, 0.05)
            await look(rig, 30, gap_s=0.01)
            for server in list_servers(rig):
                server.work_s = 1.0
            request = asyncio.ensure_future(look(rig, 1))
            first = await find_runner(rig, rig.ids[-1])
            for server in list_servers(rig):
                server.faults.resets_connections = server is not first
            [response] = await request
            assert response.status == 200
            assert rig.count_runs(rig.ids[-1]) == 2

    run(scenario())


async def find_runner(rig: Rig, request_id: str):
    """Wait until a server runs a request; return the server."""
    await wait_until(lambda: rig.ids and rig.count_runs(rig.ids[-1]) > 0)
    return next(
        s for s in list_servers(rig) if any(r.request_id == rig.ids[-1] for r in s.runs)
    )


def test_the_attempt_that_is_not_needed_ends_with_the_answer():
    async def scenario():
        async with make_rig(servers=2) as rig:
            await configure(rig, 0.05)
            await look(rig, 30, gap_s=0.01)
            silent = list_servers(rig)[0]
            silent.faults.withholds_responses = True
            answered = len(silent.runs)
            await look(rig, 6)
            unanswered = len(silent.runs) - answered
            assert unanswered
            await wait_until(lambda: len(silent.disconnected_ids) == unanswered, 0.5)

    run(scenario())


def test_a_request_that_waits_for_a_server_is_not_sent_twice_as_if_it_were_new():
    """A repeat that began before the first send would be in no budget."""

    async def scenario():
        async with make_rig(servers=2) as rig:
            await configure(rig, 0.02)
            await look(rig, 30, gap_s=0.01)
            router = rig.routers[0]
            choose = router._chooser.choose
            router._chooser.choose = lambda *_: None
            request = asyncio.ensure_future(look(rig, 1))
            await asyncio.sleep(0.1)
            router._chooser.choose = choose
            [response] = await request
            assert response.status == 200
            assert rig.count_runs(rig.ids[-1]) == 1

    run(scenario())


def list_engines(rig: Rig):
    return [s for i, s in rig.server_by_id.items() if i.startswith(STREAM_SERVICE)]


def test_a_stream_on_its_way_is_waited_for_when_no_other_server_may_be_asked():
    """Its attempt was given up after 1.2 s, and without budget the request failed."""

    async def scenario():
        async with make_rig() as rig:
            rig.routers[0]._retry_budget.configure(0.0, 0.0)
            for engine in list_engines(rig):
                engine.head_delay_s = 2.9
            response = await rig.send_request("/list/1", **STREAM)
            assert response.status == 200
            assert response.is_complete
            assert rig.count_runs(rig.ids[-1]) == 1

    run(scenario())


def test_a_stream_that_needs_less_time_than_is_left_goes_on():
    """It was broken off with less than a quarter of the objective left."""

    async def scenario():
        async with make_rig() as rig:
            configuration = make_configuration(version=2)
            for route in configuration["routes"]:
                route["slo-ms"] = 6000
            rig.store.put("op/config", configuration)
            view = rig.routers[0].cluster_view
            await wait_until(lambda: view.configuration.version == 2)
            first, second = list_engines(rig)
            first.faults.cuts_streams_after = second.faults.cuts_streams_after = 2
            request = asyncio.ensure_future(
                rig.send_request("/list/1", deadline_ms=1200, **STREAM)
            )
            await wait_until(lambda: first.runs or second.runs)
            (second if first.runs else first).faults.cuts_streams_after = 0
            response = await request
            assert response.is_complete
            assert rig.count_runs(rig.ids[-1]) == 2

    run(scenario())


def test_a_slow_server_gets_few_requests_whatever_a_service_takes():
    """Above ten times an assumed 0.04 s, all servers counted as equally slow."""

    async def scenario():
        async with make_rig(servers=SERVERS) as rig:
            await configure(rig, 0.4)
            slow = list_servers(rig)[0]
            slow.work_s = 4.0
            tasks = []
            for _ in range(CALLERS):
                request = rig.send_request("/book/1", deadline_ms=8000)
                tasks.append(asyncio.ensure_future(request))
                await asyncio.sleep(0.2)
            responses = await asyncio.gather(*tasks)
            assert [r.status for r in responses] == [200] * CALLERS
            share_by_speed = (1 / 4.0) / (1 / 4.0 + 2 / 0.4)
            assert len(slow.runs) <= 2 * share_by_speed * CALLERS

    run(scenario())
