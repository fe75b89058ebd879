"""A part of a prompt that ends servers is held back at all nodes, sound ones go on."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from functools import partial

import pytest
from tests.router.rig import (
    STREAM,
    STREAM_SERVICE,
    Rig,
    add_server,
    make_rig,
    restart_router,
    run,
    stop_router,
)

from persimmonlink_router.crash_evidence import ENDS_TO_HOLD
from persimmonlink_stand_ins.metadata_store import StoreFaults
from persimmonlink_stand_ins.routed_server import CrashPoint

ROUTER_COUNT = 6
ENGINE_COUNT = 6
RESTART_S = 0.3
# The users' bound: after the fifth end, three more requests at most reach servers later
# than this time.
CONTACT_S = 3.0
ENDS_BEFORE_BOUND = 5
MAX_LATER_REQUESTS = 3
# From twice that time, sound requests begin at least half as often as without ends.
MIN_SOUND_SHARE = 0.5
MIN_SOUND_REQUESTS = 20  # So many are needed to tell.
MAX_LENGTH_S = 30.0  # Longest time for which requests are sent until they are enough.
MAX_LOOP_LAG_S = 0.5  # Longest time from a request's start to its connection.


@dataclass
class Engines:
    """Engines that end on some parts and come back under other ids."""

    rig: Rig
    fatal_part_ids: frozenset[str]
    crash_point: CrashPoint
    crashed_at: list[float] = field(default_factory=list)
    restarts: set[asyncio.Task] = field(default_factory=set)

    def arm(self, server_id: str) -> None:
        """Let an engine end on the parts, and start again at its address."""
        server = self.rig.server_by_id[server_id]
        server.fatal_part_ids = self.fatal_part_ids
        server.crash_point = self.crash_point
        server.on_crash = lambda: self._record_crash(server_id)

    def _record_crash(self, server_id: str) -> None:
        loop = asyncio.get_running_loop()
        self.crashed_at.append(loop.time())
        task = loop.create_task(self._restart(server_id))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _restart(self, server_id: str) -> None:
        rig = self.rig
        port = int(rig.server_by_id[server_id].address.rpartition(":")[2])
        name, _, number = server_id.partition("+")
        rig.store.delete(f"servers/{server_id}")
        await asyncio.sleep(RESTART_S)
        next_id = f"{name}+{int(number or 0) + 1}"
        await add_server(rig, STREAM_SERVICE, next_id, port=port)
        self.arm(next_id)


@dataclass
class Sent:
    """A request that was sent, and its response."""

    sent_at: float
    is_fatal: bool
    task: asyncio.Task


async def run_engines(rig, fatal_part_ids, crash_point) -> Engines:
    for index in range(2, ENGINE_COUNT):
        await add_server(rig, STREAM_SERVICE, f"{STREAM_SERVICE}-{index}")
    engines = Engines(rig, frozenset(fatal_part_ids), crash_point)
    for server_id in list(rig.server_by_id):
        if server_id.startswith(STREAM_SERVICE):
            engines.arm(server_id)
    await asyncio.sleep(0.5)
    return engines


async def send_mixed(
    rig,
    rng,
    duration_s,
    fatal_ids,
    path,
    fatal_share=0.2,
    *,
    with_restarts=False,
    has_enough=lambda sent: True,
):
    """Send sound requests and some with a fatal part, all at random nodes.

    Their connections may be refused only if nodes restart meanwhile. On a busy machine
    this goes on until what was sent is enough.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    sent = []
    while loop.time() < started_at + MAX_LENGTH_S:
        if loop.time() >= started_at + duration_s and has_enough(sent):
            break
        is_fatal = rng.random() < fatal_share
        first = f"c{rng.randrange(2)}"
        middle = f"d{rng.randrange(12)}"
        parts = [first, middle]
        if is_fatal:
            parts[rng.randrange(2)] = rng.choice(sorted(fatal_ids))
        prompt = ",".join(f"{part}:30" for part in [*parts, f"e{len(sent)}"])
        task = asyncio.ensure_future(
            rig.send_request(
                path,
                node=rng.randrange(len(rig.settings)),
                body=prompt.encode(),
                **{**STREAM, "Persimmonlink_Prompt_Prefix": prompt},
            )
        )
        sent.append(Sent(loop.time(), is_fatal, task))
        await asyncio.sleep(rng.expovariate(40))
    await asyncio.wait([request.task for request in sent])
    for request in sent:
        error = request.task.exception()
        if error and not (with_restarts and isinstance(error, ConnectionRefusedError)):
            raise error
    return sent


def list_refused_times(sent) -> list[float]:
    """Return when the requests were sent whose connections were refused."""
    return [
        request.sent_at
        for request in sent
        if isinstance(request.task.exception(), ConnectionRefusedError)
    ]


def is_served(request: Sent) -> bool:
    """Whether a request was served, which one with a refused connection is not."""
    if isinstance(request.task.exception(), ConnectionRefusedError):
        return False
    return request.task.result().status == 200


def count_late_fatal_runs(rig, engines) -> int:
    """Return how many requests with a fatal part ran later than the bound allows."""
    times = sorted(engines.crashed_at)
    if len(times) < ENDS_BEFORE_BOUND:
        return 0
    bound_at = times[ENDS_BEFORE_BOUND - 1] + CONTACT_S
    return sum(
        1
        for server in rig.server_by_id.values()
        for seen in server.runs
        if set(seen.part_ids) & engines.fatal_part_ids and seen.started_at > bound_at
    )


def list_sound(sent, from_at: float) -> list[Sent]:
    """Return the sound requests that were sent after a time."""
    return [r for r in sent if not r.is_fatal and r.sent_at > from_at]


def find_judged_from(engines) -> float:
    """Return the time from which sound requests are judged."""
    ended_at = sorted(engines.crashed_at)[:ENDS_BEFORE_BOUND]
    return ended_at[-1] + 2 * CONTACT_S


def has_enough_sound(engines, sent) -> bool:
    """Whether enough sound requests were sent since they are judged."""
    if not engines.crashed_at:
        return False
    return len(list_sound(sent, find_judged_from(engines))) >= MIN_SOUND_REQUESTS


def compute_served_share(sent, from_at: float) -> float:
    """Return the share of the sound requests sent after a time that were served."""
    sound = list_sound(sent, from_at)
    assert len(sound) >= MIN_SOUND_REQUESTS
    served = [r for r in sound if is_served(r)]
    return len(served) / len(sound)


@pytest.mark.parametrize("crash_point", list(CrashPoint))
@pytest.mark.parametrize("path", ["/claim/1", "/list/1"])
@pytest.mark.timeout(60)
def test_requests_with_a_part_that_ended_five_servers_reach_no_more(path, crash_point):
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT) as rig:
            rng = random.Random(20)
            engines = await run_engines(rig, {"bad"}, crash_point)
            has_enough = partial(has_enough_sound, engines)
            sent = await send_mixed(rig, rng, 8.5, {"bad"}, path, has_enough=has_enough)
            late = count_late_fatal_runs(rig, engines)
            assert late <= MAX_LATER_REQUESTS, f"{late}, {len(engines.crashed_at)} ends"
            share = compute_served_share(sent, find_judged_from(engines))
            assert share >= MIN_SOUND_SHARE

    run(scenario())


@pytest.mark.timeout(60)
def test_requests_that_end_two_servers_each_are_held_after_the_fifth_end():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT) as rig:
            engines = await run_engines(rig, {"bad"}, CrashPoint.BEFORE_HEAD)
            for number in range(3):
                await send_fatal(rig, number)
                await asyncio.sleep(CONTACT_S + 0.5)
            await asyncio.gather(*(send_fatal(rig, number) for number in range(3, 9)))
            assert len(engines.crashed_at) >= ENDS_TO_HOLD
            late = count_late_fatal_runs(rig, engines)
            assert late <= MAX_LATER_REQUESTS, f"{late}, {len(engines.crashed_at)} ends"

    run(scenario())


async def send_fatal(rig, number: int) -> None:
    """Send a request with a fatal part that is resumed at a second server."""
    prompt = f"c0:30,bad:30,e{number}:30"
    await rig.send_request(
        "/list/1",
        node=number % ROUTER_COUNT,
        body=prompt.encode(),
        **{**STREAM, "Persimmonlink_Prompt_Prefix": prompt},
    )


@pytest.mark.timeout(60)
def test_several_fatal_parts_at_once_are_held_back_at_nodes_that_start_meanwhile():
    async def scenario():
        fatal = {"bad1", "bad2", "bad3"}
        async with make_rig(routers=ROUTER_COUNT) as rig:
            rng = random.Random(21)
            engines = await run_engines(rig, fatal, CrashPoint.AFTER_HEAD)
            sending = asyncio.ensure_future(
                send_mixed(rig, rng, 11.0, fatal, "/claim/1", 0.3, with_restarts=True)
            )
            await asyncio.sleep(4.0)
            loop = asyncio.get_running_loop()
            stopped_at = loop.time()
            for index in (0, 1):
                await stop_router(rig.routers[index])
                await restart_router(rig, index)
            restarted_at = loop.time()
            sent = await sending
            for refused_at in list_refused_times(sent):
                assert stopped_at - MAX_LOOP_LAG_S <= refused_at <= restarted_at
            for part_id in fatal:
                late = count_late_runs_of_part(engines, part_id)
                assert late <= MAX_LATER_REQUESTS, f"{part_id}: {late}"
            last_at = max(engines.crashed_at)
            share = compute_served_share(sent, min(last_at, sent[-1].sent_at - 2.0))
            assert share >= MIN_SOUND_SHARE

    run(scenario())


def count_late_runs_of_part(engines, part_id: str) -> int:
    """Return how many requests with one part ran later than the bound allows."""
    runs = [
        (seen, server)
        for server in engines.rig.server_by_id.values()
        for seen in server.runs
        if part_id in seen.part_ids
    ]
    ended_at = sorted(seen.started_at for seen, _ in runs)
    if len(ended_at) < ENDS_BEFORE_BOUND:
        return 0
    bound_at = ended_at[ENDS_BEFORE_BOUND - 1] + CONTACT_S
    return sum(1 for at in ended_at if at > bound_at)


@pytest.mark.timeout(60)
def test_a_part_of_half_the_requests_goes_on_when_many_servers_end_at_once():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT) as rig:
            rng = random.Random(22)
            engines = await run_engines(rig, set(), CrashPoint.AFTER_HEAD)
            sending = asyncio.ensure_future(
                send_mixed(rig, rng, 6.0, {"none"}, "/claim/1", fatal_share=0.0)
            )
            for _ in range(4):
                await asyncio.sleep(0.8)
                live = [
                    server
                    for server_id, server in rig.server_by_id.items()
                    if server_id.startswith(STREAM_SERVICE) and not server.has_crashed
                ]
                for server in rng.sample(live, min(4, len(live))):
                    await server.crash()
            sent = await sending
            held = [r for r in sent if b"servers ended under" in r.task.result().body]
            assert not held
            assert len(engines.crashed_at) >= 12

    run(scenario())


@pytest.mark.timeout(60)
def test_servers_that_restart_while_the_store_is_silent_are_spared_the_part():
    async def scenario():
        rng = random.Random(20)
        async with make_rig(routers=3) as rig:
            await asyncio.sleep(0.5)
            engines = Engines(rig, frozenset(["bad"]), CrashPoint.AFTER_EVENT)
            for server_id, server in rig.server_by_id.items():
                if server_id.startswith(STREAM_SERVICE):
                    engines.arm(server_id)
                    server.on_crash = partial(restart_in_place, engines, server)
            rig.store.faults = StoreFaults(never_responds=True)
            await send_mixed(rig, rng, 10.0, ["bad"], "/claim/1")
            assert len(engines.crashed_at) >= ENDS_BEFORE_BOUND
            assert count_late_fatal_runs(rig, engines) <= MAX_LATER_REQUESTS

    run(scenario())


def restart_in_place(engines, server) -> None:
    """Let an engine start again under its id, unknown to the store."""

    async def restart():
        await asyncio.sleep(RESTART_S)
        await server.restart()

    loop = asyncio.get_running_loop()
    engines.crashed_at.append(loop.time())
    engines.restarts.add(loop.create_task(restart()))
