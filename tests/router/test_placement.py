"""Which server a request goes to."""

from __future__ import annotations

import random

from tests.router.chains import make_server

from persimmonlink_router.calls import Call, PromptPart
from persimmonlink_router.placement import (
    EngineChoice,
    PlainChoice,
    PromptCache,
    choose_engine,
    choose_home,
    choose_plain,
)
from persimmonlink_router.server_health import ServerHealth

SERVERS = [make_server(f"s{i}", "abc"[i % 3], slots=6) for i in range(5)]
PARTS = (PromptPart("base", 500), PromptPart("topic", 4800), PromptPart("own", 700))
CALL = Call("r", 12.0, model="m", prompt_tokens=6000, prompt_parts=PARTS)


def make_choice(call: Call = CALL, domain: str = "a", **inputs) -> EngineChoice:
    return EngineChoice(call, domain, inputs)


def test_all_nodes_choose_the_same_engine_for_shared_parts():
    chosen = {
        choose_engine(
            SERVERS, ServerHealth(), PromptCache(), make_choice(domain=z), 0.0
        )
        for z in "abc"
    }
    assert chosen == {choose_home(SERVERS, PARTS[:-1])}


def test_only_requests_of_an_engine_that_goes_change_their_home():
    parts = [(PromptPart(str(i), 100),) for i in range(200)]
    rest = SERVERS[1:]
    for shared in parts:
        home = choose_home(SERVERS, shared)
        if home is not SERVERS[0]:
            assert choose_home(rest, shared) is home


def test_a_home_with_long_prompts_ahead_is_passed_over():
    health = ServerHealth()
    home = choose_home(SERVERS, PARTS[:-1])
    health.start(home.key, 200_000)
    chosen = choose_engine(SERVERS, health, PromptCache(), make_choice(), 0.0)
    assert chosen is not home


def test_an_engine_that_fails_is_passed_over():
    health = ServerHealth()
    home = choose_home(SERVERS, PARTS[:-1])
    for _ in range(3):
        health.note_failure(home.key, 0.0)
    assert choose_engine(SERVERS, health, PromptCache(), make_choice(), 0.0) is not home


def test_stage_results_draw_a_request_without_shared_parts_to_their_domain():
    call = Call("r", 12.0, model="m", prompt_tokens=600, prompt_parts=PARTS[-1:])
    choice = make_choice(call, "a", b=2e6)
    chosen = choose_engine(SERVERS, ServerHealth(), PromptCache(), choice, 0.0)
    assert chosen.domain == "b"


def test_a_cache_knows_parts_only_behind_known_parts():
    cache = PromptCache()
    cache.note("k", PARTS)
    assert cache.count_known_tokens("k", PARTS[:2]) == 5300
    assert cache.count_known_tokens("k", PARTS[1:2]) == 4800
    assert cache.count_known_tokens("k", (PromptPart("new", 5), PARTS[1])) == 0


def test_plain_requests_spread_over_the_servers_of_a_domain():
    health = ServerHealth()
    counts = dict.fromkeys((s.server_id for s in SERVERS), 0)
    choice = PlainChoice("a", 0.04, {s.key: True for s in SERVERS})
    for _ in range(60):
        server = choose_plain(SERVERS, health, choice, 0.0)
        health.start(server.key)
        counts[server.server_id] += 1
    assert min(counts.values()) >= 8


def test_a_server_that_fails_part_of_its_requests_gets_few():
    rng = random.Random(7)
    health = ServerHealth()
    choice = PlainChoice("a", 0.04, {s.key: True for s in SERVERS})
    counts = dict.fromkeys((s.server_id for s in SERVERS), 0)
    now = 0.0
    for _ in range(400):
        now += 0.05
        server = choose_plain(SERVERS, health, choice, now)
        counts[server.server_id] += 1
        if server.server_id == "s0" and rng.random() < 0.4:
            health.note_failure(server.key, now)
        else:
            health.note_success(server.key, 1.0, now)
    assert counts["s0"] < 400 / 5 / 2


def test_a_bad_record_fades():
    health = ServerHealth()
    health.note_dead("k", 0.0)
    assert health.failure_share("k", 0.1) > 0.9
    assert health.failure_share("k", 30.0) < 0.01
