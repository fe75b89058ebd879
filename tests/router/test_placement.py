"""Choice of the server for plain and model requests, and health of servers."""

from __future__ import annotations

import random

from tests.router.chains import make_server

from persimmonlink_router.placement import (
    EngineCriteria,
    PlainCriteria,
    PromptCache,
    choose_affinity_engine,
    choose_engine,
    choose_plain_server,
)
from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.wire_messages import PromptPart, RequestMetadata

SERVERS = [make_server(f"s{i}", "abc"[i % 3], slots=6) for i in range(5)]
PARTS = (PromptPart("base", 500), PromptPart("topic", 4800), PromptPart("own", 700))
METADATA = RequestMetadata("r", 12.0, model="m", prompt_tokens=6000, prompt_parts=PARTS)


def make_criteria(
    metadata: RequestMetadata = METADATA, domain: str = "a"
) -> EngineCriteria:
    return EngineCriteria(metadata, domain)


def test_all_nodes_choose_the_same_engine_for_shared_parts():
    chosen = {
        choose_engine(
            SERVERS, ServerHealth(), PromptCache(), make_criteria(domain=z), 0.0
        )
        for z in "abc"
    }
    assert chosen == {choose_affinity_engine(SERVERS, PARTS[:-1])}


def test_removing_an_engine_moves_only_the_prompts_assigned_to_it():
    parts = [(PromptPart(str(i), 100),) for i in range(200)]
    rest = SERVERS[1:]
    for shared in parts:
        affinity_engine = choose_affinity_engine(SERVERS, shared)
        if affinity_engine is not SERVERS[0]:
            assert choose_affinity_engine(rest, shared) is affinity_engine


def test_an_affinity_engine_with_a_long_backlog_is_not_chosen():
    health = ServerHealth()
    affinity_engine = choose_affinity_engine(SERVERS, PARTS[:-1])
    health.record_sent(affinity_engine.key, 200_000)
    chosen = choose_engine(SERVERS, health, PromptCache(), make_criteria(), 0.0)
    assert chosen is not affinity_engine


def test_a_failing_engine_is_not_chosen():
    health = ServerHealth()
    affinity_engine = choose_affinity_engine(SERVERS, PARTS[:-1])
    for _ in range(3):
        health.record_failure(affinity_engine.key, 0.0)
    assert (
        choose_engine(SERVERS, health, PromptCache(), make_criteria(), 0.0)
        is not affinity_engine
    )


def test_a_prompt_is_read_again_where_that_makes_others_wait_less():
    """Reading it anew counted as eight times the time that it takes, whoever waited."""
    health = ServerHealth()
    affinity_engine = choose_affinity_engine(SERVERS, PARTS[:-1])
    own_tokens, all_tokens = 700, 6000
    for in_flight in range(20):
        idle_delay = all_tokens
        delay = own_tokens * (1 + in_flight)
        chosen = choose_engine(SERVERS, health, PromptCache(), make_criteria(), 0.0)
        assert (chosen is affinity_engine) == (delay < idle_delay)
        health.record_sent(affinity_engine.key)


def test_a_part_counts_as_cached_only_after_cached_parts():
    cache = PromptCache()
    cache.record_prompt("k", PARTS)
    assert cache.count_cached_tokens("k", PARTS[:2]) == 5300
    assert cache.count_cached_tokens("k", PARTS[1:2]) == 4800
    assert cache.count_cached_tokens("k", (PromptPart("new", 5), PARTS[1])) == 0


def test_plain_requests_are_spread_over_all_servers():
    health = ServerHealth()
    counts = dict.fromkeys((s.server_id for s in SERVERS), 0)
    criteria = PlainCriteria("a", 0.04, {s.key: True for s in SERVERS})
    for _ in range(60):
        server = choose_plain_server(SERVERS, health, criteria, 0.0)
        health.record_sent(server.key)
        counts[server.server_id] += 1
    assert min(counts.values()) >= 8


def test_a_server_with_partial_failures_receives_few_requests():
    rng = random.Random(7)
    health = ServerHealth()
    criteria = PlainCriteria("a", 0.04, {s.key: True for s in SERVERS})
    counts = dict.fromkeys((s.server_id for s in SERVERS), 0)
    now = 0.0
    for _ in range(400):
        now += 0.05
        server = choose_plain_server(SERVERS, health, criteria, now)
        counts[server.server_id] += 1
        if server.server_id == "s0" and rng.random() < 0.4:
            health.record_failure(server.key, now)
        else:
            health.record_success(server.key, 1.0, now)
    assert counts["s0"] < 400 / 5 / 2


def test_a_failure_record_decays_over_time():
    health = ServerHealth()
    health.record_unreachable("k", 0.0)
    assert health.failure_share("k", 0.1) > 0.9
    assert health.failure_share("k", 30.0) < 0.01
