"""Calls of all nodes together to the store, from 8 to 383 nodes, without a network."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest
from tests.router.chains import make_server

from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.peer_messages import RouterMember
from persimmonlink_router.servers import ServerDirectory
from persimmonlink_router.store_backoff import StoreBackoff
from persimmonlink_router.store_intervals import (
    choose_echo_time_s,
    choose_outage_interval_s,
    choose_watch_pause_s,
)
from persimmonlink_router.stream_version_saver import (
    MAX_SAVED_STREAMS,
    StreamVersionSaver,
)
from persimmonlink_router.stream_versions import StreamVersions

if TYPE_CHECKING:
    from persimmonlink_model.membership import Member

SIZES = [8, 65, 195, 383]
SEEDS = range(10)
# Calls a second and node in calm times, which an outage must not exceed.
CALM_CALLS_PER_S = 0.75
WINDOW_S = 5.0
# Shortest time after an outage from which nodes must act on changes.
SHORTEST_CONTACT_S = 3.0
START_SPREAD_S = 0.3  # Time within which all nodes start.
STORE_LATENCY_S = 0.01
# Writes of all nodes together as they start; one is needed.
MAX_START_WRITES = 3


def list_calls(nodes: int, rng: random.Random, length_s: float) -> list[float]:
    """Return the times of all nodes' calls in an outage that refuses each at once."""
    calls = []
    for _ in range(nodes):
        backoff = StoreBackoff(lambda: choose_outage_interval_s(nodes), rng)
        at = rng.uniform(0, choose_outage_interval_s(nodes))
        while at < length_s:
            calls.append(at)
            at += backoff.next_pause_s(0.0)
    return sorted(calls)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", SIZES)
def test_no_window_of_an_outage_has_more_calls_than_calm_times(nodes, seed):
    calls = list_calls(nodes, random.Random(seed), 40.0)
    first = 0
    for last, at in enumerate(calls):
        while calls[first] <= at - WINDOW_S:
            first += 1
        assert last - first + 1 <= CALM_CALLS_PER_S * WINDOW_S * nodes


@pytest.mark.parametrize("nodes", SIZES)
def test_a_node_finds_the_store_again_before_it_must_act(nodes):
    longest_s = choose_outage_interval_s(nodes) * 1.05
    # Large clusters have longer bounds, in the ratio of their pauses.
    bound_s = SHORTEST_CONTACT_S + choose_watch_pause_s(nodes) - choose_watch_pause_s(8)
    assert longest_s + STORE_LATENCY_S < bound_s


@pytest.mark.parametrize("nodes", SIZES)
def test_the_second_saver_waits_for_what_the_first_has_written(nodes):
    written_s = choose_watch_pause_s(nodes) + STORE_LATENCY_S
    read_s = choose_watch_pause_s(nodes) + STORE_LATENCY_S
    assert choose_echo_time_s(nodes) > written_s + read_s


class CountingStore:
    """Counts the values written."""

    def __init__(self) -> None:
        self.keys: list[str] = []
        self.values: list[bytes] = []

    async def grant_lease(self, ttl_s: float) -> int:
        return 1

    async def put_with_lease(self, key: str, value: bytes, lease: int) -> int:
        self.keys.append(key)
        self.values.append(value)
        return 1

    def take_streams(self) -> list[str]:
        """Return the streams that were written since the last call."""
        values, self.values = self.values, []
        return [
            request_id
            for value in values
            for ids in msgspec.json.decode(value)
            .get("request_ids_by_version", {})
            .values()
            for request_id in ids
        ]


def make_saver(own: Member, known: list[Member], store: CountingStore, revision: int):
    """Return the saver of a node that knows some members."""
    servers = ServerDirectory()
    servers.update(make_server(service="engines", software_version="v1"), 0.0)
    target = SimpleNamespace(service="engines")
    route = SimpleNamespace(is_resumable=True, targets=[target])
    view = SimpleNamespace(
        configuration=SimpleNamespace(routes=[route]),
        servers=servers,
        is_in_contact=True,
    )
    members = SimpleNamespace(
        own_member=own,
        list_serving_members=lambda: known,
        peak_node_count=lambda: len(known),
    )
    mirror = SimpleNamespace(revision=revision)
    return StreamVersionSaver(
        cast("Any", members),
        cast("Any", view),
        StreamVersions(),
        cast("Any", mirror),
        cast("Any", store),
        RouterMetrics(),
    )


def make_members(nodes: int, rng: random.Random) -> list[tuple[float, RouterMember]]:
    """Return members with the times at which they register, in that order."""
    times = sorted(rng.uniform(0, START_SPREAD_S) for _ in range(nodes))
    return [
        (
            at,
            RouterMember(
                f"n{rng.getrandbits(48):x}",
                "1",
                f"domain-{index % 5}",
                f"10.0.{index // 250}.{index % 250}:1",
                f"10.0.{index // 250}.{index % 250}:2",
                revision=1,
                seniority=index + 1,
            ),
        )
        for index, (at) in enumerate(times)
    ]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("nodes", SIZES)
def test_few_nodes_save_versions_as_all_start(nodes, seed):
    """No node learns here of what another has saved: the bound is for the worst."""

    async def scenario():
        rng = random.Random(seed)
        members = make_members(nodes, rng)
        store = CountingStore()
        for registered_at, own in members:
            read_at = registered_at + rng.uniform(0, choose_watch_pause_s(nodes))
            known = [m for at, m in members if at <= read_at]
            saver = make_saver(own, known, store, revision=len(known))
            saver.tick()
            if saver._task is not None:
                await saver._task
        assert 1 <= len(store.keys) <= MAX_START_WRITES

    asyncio.run(scenario())


def test_a_node_that_has_not_read_its_own_registration_saves_nothing():
    async def scenario():
        own = make_members(1, random.Random(0))[0][1]
        store = CountingStore()
        saver = make_saver(own, [own], store, revision=0)
        saver.tick()
        assert saver._task is None
        assert saver.rank is None

    asyncio.run(scenario())


def test_no_more_streams_are_saved_than_all_nodes_keep():
    async def scenario():
        own = make_members(1, random.Random(0))[0][1]
        store = CountingStore()
        saver = make_saver(own, [own], store, revision=1)
        directory = saver._cluster_view.servers
        directory.update(
            make_server("s2", service="engines", software_version="v2"), 0.0
        )
        for number in range(MAX_SAVED_STREAMS + 10):
            saver._versions.record(f"r{number}", "v1", 0.0)
        for _ in range(6):
            saver._next_check_at = 0.0
            saver.tick()
            await saver._task
            for request_id in list(store.take_streams()):
                saver._versions.record_saved(request_id, "v1", 1, 0.0)
        assert saver._versions.count_saved() == MAX_SAVED_STREAMS

    asyncio.run(scenario())
