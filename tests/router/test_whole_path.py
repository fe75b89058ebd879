"""The whole path: clients, routers, servers and the store, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import (
    KEY,
    PLAIN_SERVICE,
    STREAM_SERVICE,
    add_router,
    add_server,
    make_configuration,
    make_rig,
    send,
    wait_until,
)

from persimmonlink_router.http_client import ConnectError

STREAM = {
    "Persimmonlink_Model": "m",
    "Persimmonlink_Token_Count": "100,50",
    "Persimmonlink_Prompt_Prefix": "aa:60,bb:40",
}
STAGED = {**STREAM, "Persimmonlink_Pieces": "1,3", "Persimmonlink_Piece_Key": "k1"}


def run(scenario) -> None:
    asyncio.run(scenario)


def test_a_booking_gets_its_own_answer_once():
    async def scenario():
        async with make_rig() as rig:
            answer = await rig.ask("/book/1", body=b"tent", request_id="b1")
            assert answer.status == 200
            assert answer.body == b"answer to b1"
            assert answer.headers["persimmonlink-response-seal"] == "seal-b1"
            assert rig.runs("b1") == 1

    run(scenario())


def test_a_server_gets_the_request_unchanged_without_the_key():
    async def scenario():
        async with make_rig(servers=1) as rig:
            await rig.ask(
                "/book/1/%2e?x=1",
                body=b"tent",
                Persimmonlink_Tenant="other",
                Persimmonlink_Hold="h",
                Kv_From="1.2.3.4:5/x",
            )
            seen = rig.server_by_id["desk-0"].runs[0]
            assert (seen.method, seen.target) == ("POST", "/book/1/%2e?x=1")
            assert seen.body == b"tent"
            assert seen.headers["persimmonlink-tenant"] == "acme"
            assert 0 < int(seen.headers["persimmonlink-deadline-ms"]) <= 5000
            for name in ("authorization", "persimmonlink-hold", "kv-from"):
                assert name not in seen.headers

    run(scenario())


def test_a_stream_is_passed_on_event_by_event():
    async def scenario():
        async with make_rig() as rig:
            answer = await rig.ask("/claim/1", **STREAM)
            assert answer.status == 200
            assert answer.is_whole
            assert answer.body.count(b"id: ") == 5

    run(scenario())


def test_a_broken_stream_goes_on_at_another_server():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.cuts_after = 2
            task = asyncio.ensure_future(rig.ask("/list/1", **STREAM))
            await wait_until(lambda: rig.runs("id-0") == 1)
            for server in rig.server_by_id.values():
                if not server.runs:
                    server.faults.cuts_after = 0
            answer = await task
            assert answer.is_whole
            assert [
                int(line[4:])
                for line in answer.body.split(b"\n")
                if line.startswith(b"id:")
            ] == [1, 2, 3, 4, 5]

    run(scenario())


def test_a_stream_that_may_not_be_resumed_does_not_look_complete():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.cuts_after = 2
            answer = await rig.ask("/claim/1", request_id="c1", **STREAM)
            assert not answer.is_whole
            assert rig.runs("c1") == 1

    run(scenario())


def test_stages_run_before_the_request_and_are_freed_after():
    async def scenario():
        async with make_rig() as rig:
            answer = await rig.ask("/chain/1", request_id="s1", **STAGED)
            assert answer.status == 200
            stages = [s for n, s in rig.server_by_id.items() if n.startswith("stage")]
            pieces = [piece for server in stages for piece in server.pieces]
            first = [p for p in pieces if p["stage"] == 0]
            second = [p for p in pieces if p["stage"] == 1]
            assert [p["key"] for p in first] == ["k1"]
            assert len(second) == 3
            assert all(len(p["inputs"]) == 1 and "key" not in p for p in second)
            engines = [
                s for n, s in rig.server_by_id.items() if n.startswith(STREAM_SERVICE)
            ]
            seen = next(run for s in engines for run in s.runs)
            inputs = seen.headers["persimmonlink-inputs"].split(",")
            assert len(set(inputs)) == 3
            await wait_until(lambda: sum(len(s.freed) for s in stages) == 4)

    run(scenario())


def test_pieces_of_requests_at_all_nodes_meet_in_batches():
    async def scenario():
        async with make_rig(routers=3, servers=1) as rig:
            await wait_until(
                lambda: all(len(r.fleet.list_entries()) == 3 for r in rig.routers)
            )
            answers = await asyncio.gather(
                *(rig.ask("/chain/1", node=i % 3, **STAGED) for i in range(12))
            )
            assert [a.status for a in answers] == [200] * 12
            batches = rig.server_by_id["stage-0"].batches
            assert sum(batches) == 48
            assert len(batches) <= 24

    run(scenario())


@pytest.mark.parametrize("fault", ["resets", "hangs"])
def test_a_booking_whose_answer_is_lost_is_not_repeated(fault):
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                setattr(server.faults, fault, True)
            answer = await rig.ask("/book/1", request_id="b1", deadline_ms=600)
            assert answer.status in (502, 504)
            assert "retry-after" not in answer.headers
            assert rig.runs("b1") == 1

    run(scenario())


def test_a_booking_that_all_servers_reject_is_refused_as_not_run():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.is_full = True
            answer = await rig.ask("/book/1", request_id="b1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert rig.runs("b1") == 0

    run(scenario())


def test_a_booking_rejected_by_one_server_runs_at_another():
    async def scenario():
        async with make_rig() as rig:
            rig.server_by_id["desk-0"].faults.is_full = True
            for _ in range(4):
                assert (await rig.ask("/book/1")).status == 200

    run(scenario())


def test_a_lookup_that_fails_is_repeated_elsewhere():
    async def scenario():
        async with make_rig() as rig:
            rig.server_by_id["desk-0"].faults.fails = True
            for _ in range(4):
                assert (await rig.ask("/look/1", "GET")).status == 200

    run(scenario())


def test_an_answer_without_a_signature_is_not_passed_on():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].faults.has_no_seal = True
            answer = await rig.ask("/book/1")
            assert answer.status == 502
            assert b"answer to" not in answer.body

    run(scenario())


def test_extra_answers_never_reach_another_client():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].faults.doubles = True
            for index in range(5):
                answer = await rig.ask("/book/1", request_id=f"b{index}")
                assert answer.body == f"answer to b{index}".encode()

    run(scenario())


def test_an_answer_that_ends_with_its_connection_is_whole():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].faults.is_unframed = True
            answer = await rig.ask("/book/1", request_id="b1")
            assert answer.body == b"answer to b1"

    run(scenario())


def test_a_client_that_leaves_cancels_its_work():
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id["desk-0"]
            server.faults.hangs = True
            task = asyncio.ensure_future(rig.ask("/look/1", "GET", request_id="g1"))
            await wait_until(lambda: server.runs)
            task.cancel()
            await wait_until(lambda: "g1" in server.left, 1.0)

    run(scenario())


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, 404), ("/book/1", "wrong", 401), ("/book/1", "two words", 401)],
)
def test_unknown_routes_and_keys_are_refused(path, key, status):
    async def scenario():
        async with make_rig() as rig:
            answer = await rig.ask(path, Authorization=f"Bearer {key}")
            assert answer.status == status

    run(scenario())


def test_a_new_configuration_is_in_force_at_all_nodes():
    async def scenario():
        async with make_rig(routers=2) as rig:
            rig.store.put(
                "op/config",
                make_configuration(
                    7, tenants=[{"name": "acme", "api-keys": ["new-key"]}]
                ),
            )
            await wait_until(
                lambda: all(r.beliefs.configuration.version == 7 for r in rig.routers),
                2.0,
            )
            assert (await rig.ask("/book/1")).status == 401
            rig.store.put("op/config", make_configuration(5))
            await asyncio.sleep(0.6)
            assert rig.routers[0].beliefs.configuration.version == 7

    run(scenario())


def test_a_node_that_the_store_turns_away_learns_from_its_peers():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: all(len(r.fleet.list_entries()) == 2 for r in rig.routers)
            )

            async def turn_away(*_):
                raise ConnectError("turned away")

            rig.routers[1]._adapters.store._pool.exchange = turn_away
            await wait_until(lambda: not rig.routers[1].beliefs.is_in_contact)
            rig.store.put("op/config", make_configuration(9))
            rig.store.delete("servers/desk-0")
            beliefs = rig.routers[1].beliefs
            await wait_until(lambda: beliefs.configuration.version == 9, 2.0)

    run(scenario())


def test_a_node_started_without_the_store_takes_all_from_peers():
    async def scenario():
        async with make_rig() as rig:
            rig.store.faults.status = 503
            await add_router(rig, 1)
            answer = await rig.ask("/book/1", node=1)
            assert answer.status == 200

    run(scenario())


def test_a_peer_that_lost_the_store_while_reading_it_passes_on_what_it_knows():
    async def scenario():
        async with make_rig() as rig:
            rig.routers[0]._mirror.revision = 0
            rig.store.faults.status = 503
            await wait_until(lambda: not rig.routers[0].beliefs.is_in_contact)
            rig.routers[0]._mirror.revision = 0
            await add_router(rig, 1)
            assert (await rig.ask("/book/1", node=1)).status == 200

    run(scenario())


def test_servers_and_configuration_survive_an_outage_that_ends_leases():
    async def scenario():
        async with make_rig() as rig:
            rig.store.faults.is_silent = True
            await wait_until(lambda: not rig.routers[0].beliefs.is_in_contact, 6.0)
            rig.store.delete("servers/desk-0")
            rig.store.delete("servers/desk-1")
            rig.store.end_all_leases()
            rig.store.faults.is_silent = False
            await wait_until(lambda: rig.routers[0].beliefs.is_in_contact)
            assert (await rig.ask("/book/1")).status == 200
            await wait_until(
                lambda: not rig.routers[0].beliefs.servers.list_usable(PLAIN_SERVICE),
                4.0,
            )

    run(scenario())


def test_lost_history_is_made_up_for():
    async def scenario():
        async with make_rig() as rig:
            rig.store.delete("servers/desk-0")
            rig.store.put("op/config", make_configuration(4))
            rig.store.forget_history()
            await wait_until(
                lambda: rig.routers[0].beliefs.configuration.version == 4, 3.0
            )
            await wait_until(
                lambda: "desk-0" not in rig.routers[0].beliefs.servers.server_by_id
            )

    run(scenario())


def test_a_drained_domain_gets_nothing():
    async def scenario():
        async with make_rig(servers=1) as rig:
            await add_server(rig, PLAIN_SERVICE, "far", zone="b")
            rig.store.put("op/evacuate/a", {})
            beliefs = rig.routers[0].beliefs
            await wait_until(lambda: beliefs.servers.drained_domains == {"a"}, 2.0)
            for _ in range(4):
                assert (await rig.ask("/book/1")).status == 200
            assert not rig.server_by_id["desk-0"].runs

    run(scenario())


def test_entries_of_other_writers_name_no_server():
    async def scenario():
        async with make_rig() as rig:
            rig.store.put("servers/odd", b"\xff\x00")
            rig.store.put("servers/half", {"service": "desk", "state": "ready"})
            rig.store.put("servers/strange", {"service": 5, "addr": "x"})
            await asyncio.sleep(0.6)
            assert (await rig.ask("/book/1")).status == 200
            known = rig.routers[0].beliefs.servers.server_by_id
            assert not {"odd", "half", "strange"} & set(known)

    run(scenario())


def test_an_address_taken_over_by_another_server_runs_nothing():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].server_id = "someone-else"
            answer = await rig.ask("/book/1", request_id="b1")
            assert answer.status == 503
            assert rig.runs("b1") == 0

    run(scenario())


def test_a_stopping_node_leaves_the_directory_and_finishes_what_runs():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: all(len(r.fleet.list_entries()) == 2 for r in rig.routers)
            )
            for server in rig.server_by_id.values():
                server.events = 40
            task = asyncio.ensure_future(rig.ask("/claim/1", **STREAM))
            await wait_until(lambda: rig.runs("id-0"))
            stop = asyncio.ensure_future(rig.routers[0].stop())
            await asyncio.sleep(0.1)
            ready = await send(
                rig.settings[0].listen.readiness, "GET", "/", {"Host": "x"}
            )
            assert ready.status == 503
            late = await rig.ask("/book/1", node=0)
            assert late.status == 200
            assert late.headers["connection"] == "close"
            answer = await task
            assert answer.is_whole
            await wait_until(lambda: len(rig.routers[1].fleet.list_entries()) == 1, 2.0)
            await stop

    run(scenario())


def test_the_directory_names_all_nodes():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: all(len(r.fleet.list_entries()) == 2 for r in rig.routers)
            )
            answer = await send(
                rig.settings[1].listen.directory,
                "GET",
                "/-/lookup?name=shop.example&region=r&zone=a",
                {"Host": "x"},
            )
            for settings in rig.settings:
                assert settings.listen.clients.encode() in answer.body
            assert b'"ttl-s"' in answer.body

    run(scenario())


def test_metrics_are_served():
    async def scenario():
        async with make_rig() as rig:
            await rig.ask("/book/1")
            await rig.ask("/chain/1", **STAGED)
            answer = await send(
                rig.settings[0].listen.metrics, "GET", "/metrics", {"Host": "x"}
            )
            assert b'stage_admissions_total{lane="on_time"} 1' in answer.body
            assert b'requests_total{route="book",status="200"} 1' in answer.body
            assert b"account_request_seconds_bucket" in answer.body

    run(scenario())
