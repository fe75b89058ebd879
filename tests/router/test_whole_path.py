"""End-to-end requests over sockets: clients, routers, servers and the store."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import (
    KEY,
    PLAIN_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    add_router,
    add_server,
    make_configuration,
    make_rig,
    run,
    send,
    wait_until,
)

from persimmonlink_router.http_client import ConnectError


def test_a_mutating_request_runs_once_and_gets_its_own_response():
    async def scenario():
        async with make_rig() as rig:
            response = await rig.send_request("/book/1", body=b"tent", request_id="b1")
            assert response.status == 200
            assert response.body == b"answer to b1"
            assert response.headers["persimmonlink-response-seal"] == "seal-b1"
            assert rig.count_runs("b1") == 1

    run(scenario())


def test_the_request_is_forwarded_unchanged_without_the_client_key():
    async def scenario():
        async with make_rig(servers=1) as rig:
            await rig.send_request(
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


def test_all_events_of_a_stream_are_forwarded():
    async def scenario():
        async with make_rig() as rig:
            response = await rig.send_request("/claim/1", **STREAM)
            assert response.status == 200
            assert response.is_complete
            assert response.body.count(b"id: ") == 5

    run(scenario())


def test_an_interrupted_stream_resumes_at_another_server():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.cuts_streams_after = 2
            task = asyncio.ensure_future(rig.send_request("/list/1", **STREAM))
            await wait_until(lambda: rig.count_runs("id-0") == 1)
            for server in rig.server_by_id.values():
                if not server.runs:
                    server.faults.cuts_streams_after = 0
            response = await task
            assert response.is_complete
            assert [
                int(line[4:])
                for line in response.body.split(b"\n")
                if line.startswith(b"id:")
            ] == [1, 2, 3, 4, 5]

    run(scenario())


def test_an_interrupted_stream_that_is_not_resumable_ends_incomplete():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.cuts_streams_after = 2
            response = await rig.send_request("/claim/1", request_id="c1", **STREAM)
            assert not response.is_complete
            assert rig.count_runs("c1") == 1

    run(scenario())


def test_stages_run_first_and_their_results_are_released_afterwards():
    async def scenario():
        async with make_rig() as rig:
            response = await rig.send_request("/chain/1", request_id="s1", **STAGED)
            assert response.status == 200
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
            await wait_until(lambda: sum(len(s.freed_handles) for s in stages) == 4)

    run(scenario())


def test_pieces_of_requests_at_different_nodes_share_batches():
    async def scenario():
        async with make_rig(routers=3, servers=1) as rig:
            await wait_until(
                lambda: all(
                    len(r.membership.list_serving_members()) == 3 for r in rig.routers
                )
            )
            responses = await asyncio.gather(
                *(rig.send_request("/chain/1", node=i % 3, **STAGED) for i in range(12))
            )
            assert [a.status for a in responses] == [200] * 12
            batches = rig.server_by_id["stage-0"].batch_sizes
            assert sum(batches) == 48
            assert len(batches) <= 24

    run(scenario())


@pytest.mark.parametrize("fault", ["resets_connections", "withholds_responses"])
def test_a_mutating_request_with_a_lost_response_is_not_retried(fault):
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                setattr(server.faults, fault, True)
            response = await rig.send_request(
                "/book/1", request_id="b1", deadline_ms=600
            )
            assert response.status in (502, 504)
            assert "retry-after" not in response.headers
            assert rig.count_runs("b1") == 1

    run(scenario())


def test_a_mutating_request_rejected_by_all_servers_is_refused_as_not_run():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.rejects_requests = True
            response = await rig.send_request("/book/1", request_id="b1")
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert rig.count_runs("b1") == 0

    run(scenario())


def test_a_mutating_request_rejected_by_one_server_runs_at_another():
    async def scenario():
        async with make_rig() as rig:
            rig.server_by_id["desk-0"].faults.rejects_requests = True
            for _ in range(4):
                assert (await rig.send_request("/book/1")).status == 200

    run(scenario())


def test_a_failed_idempotent_request_is_retried_at_another_server():
    async def scenario():
        async with make_rig() as rig:
            rig.server_by_id["desk-0"].faults.responds_500 = True
            for _ in range(4):
                assert (await rig.send_request("/look/1", "GET")).status == 200

    run(scenario())


def test_a_response_without_a_seal_is_not_forwarded():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].faults.omits_seal = True
            response = await rig.send_request("/book/1")
            assert response.status == 502
            assert b"answer to" not in response.body

    run(scenario())


def test_duplicate_responses_never_reach_another_client():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].faults.duplicates_responses = True
            for index in range(5):
                response = await rig.send_request("/book/1", request_id=f"b{index}")
                assert response.body == f"answer to b{index}".encode()

    run(scenario())


def test_a_response_delimited_by_connection_close_is_forwarded():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].faults.omits_length = True
            response = await rig.send_request("/book/1", request_id="b1")
            assert response.body == b"answer to b1"

    run(scenario())


def test_a_client_disconnect_cancels_its_request():
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id["desk-0"]
            server.faults.withholds_responses = True
            task = asyncio.ensure_future(
                rig.send_request("/look/1", "GET", request_id="g1")
            )
            await wait_until(lambda: server.runs)
            task.cancel()
            await wait_until(lambda: "g1" in server.disconnected_ids, 1.0)

    run(scenario())


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, 404), ("/book/1", "wrong", 401), ("/book/1", "two words", 401)],
)
def test_unknown_routes_and_keys_are_rejected(path, key, status):
    async def scenario():
        async with make_rig() as rig:
            response = await rig.send_request(path, Authorization=f"Bearer {key}")
            assert response.status == status

    run(scenario())


def test_all_nodes_apply_a_newer_configuration_and_ignore_an_older_one():
    async def scenario():
        async with make_rig(routers=2) as rig:
            rig.store.put(
                "op/config",
                make_configuration(
                    7, tenants=[{"name": "acme", "api-keys": ["new-key"]}]
                ),
            )
            await wait_until(
                lambda: all(
                    r.cluster_view.configuration.version == 7 for r in rig.routers
                ),
                2.0,
            )
            assert (await rig.send_request("/book/1")).status == 401
            rig.store.put("op/config", make_configuration(5))
            await asyncio.sleep(0.6)
            assert rig.routers[0].cluster_view.configuration.version == 7

    run(scenario())


def test_a_node_without_store_access_receives_updates_from_its_peers():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: all(
                    len(r.membership.list_serving_members()) == 2 for r in rig.routers
                )
            )

            async def refuse_connection(*_):
                raise ConnectError("refused by the test")

            rig.routers[1]._adapters.store._pool.exchange = refuse_connection
            await wait_until(lambda: not rig.routers[1].cluster_view.is_in_contact)
            rig.store.put("op/config", make_configuration(9))
            rig.store.delete("servers/desk-0")
            cluster_view = rig.routers[1].cluster_view
            await wait_until(lambda: cluster_view.configuration.version == 9, 2.0)

    run(scenario())


def test_a_node_started_without_the_store_loads_its_state_from_peers():
    async def scenario():
        async with make_rig() as rig:
            rig.store.faults.status = 503
            await add_router(rig, 1)
            response = await rig.send_request("/book/1", node=1)
            assert response.status == 200

    run(scenario())


def test_a_peer_that_lost_the_store_during_its_first_read_serves_its_state():
    async def scenario():
        async with make_rig() as rig:
            rig.routers[0]._mirror.revision = 0
            rig.store.faults.status = 503
            await wait_until(lambda: not rig.routers[0].cluster_view.is_in_contact)
            rig.routers[0]._mirror.revision = 0
            await add_router(rig, 1)
            assert (await rig.send_request("/book/1", node=1)).status == 200

    run(scenario())


def test_servers_and_configuration_survive_an_outage_that_expires_leases():
    async def scenario():
        async with make_rig() as rig:
            rig.store.faults.never_responds = True
            await wait_until(lambda: not rig.routers[0].cluster_view.is_in_contact, 6.0)
            rig.store.delete("servers/desk-0")
            rig.store.delete("servers/desk-1")
            rig.store.expire_all_leases()
            rig.store.faults.never_responds = False
            await wait_until(lambda: rig.routers[0].cluster_view.is_in_contact)
            assert (await rig.send_request("/book/1")).status == 200
            await wait_until(
                lambda: (
                    not rig.routers[0].cluster_view.servers.list_usable(PLAIN_SERVICE)
                ),
                4.0,
            )

    run(scenario())


def test_the_state_is_read_again_after_the_store_lost_its_history():
    async def scenario():
        async with make_rig() as rig:
            rig.store.delete("servers/desk-0")
            rig.store.put("op/config", make_configuration(4))
            rig.store.compact_history()
            await wait_until(
                lambda: rig.routers[0].cluster_view.configuration.version == 4, 3.0
            )
            await wait_until(
                lambda: "desk-0" not in rig.routers[0].cluster_view.servers.server_by_id
            )

    run(scenario())


def test_a_drained_domain_receives_no_requests():
    async def scenario():
        async with make_rig(servers=1) as rig:
            await add_server(rig, PLAIN_SERVICE, "far", zone="b")
            rig.store.put("op/evacuate/a", {})
            cluster_view = rig.routers[0].cluster_view
            await wait_until(lambda: cluster_view.servers.drained_domains == {"a"}, 2.0)
            for _ in range(4):
                assert (await rig.send_request("/book/1")).status == 200
            assert not rig.server_by_id["desk-0"].runs

    run(scenario())


def test_invalid_server_entries_are_ignored():
    async def scenario():
        async with make_rig() as rig:
            rig.store.put("servers/odd", b"\xff\x00")
            rig.store.put("servers/half", {"service": "desk", "state": "ready"})
            rig.store.put("servers/strange", {"service": 5, "addr": "x"})
            await asyncio.sleep(0.6)
            assert (await rig.send_request("/book/1")).status == 200
            known = rig.routers[0].cluster_view.servers.server_by_id
            assert not {"odd", "half", "strange"} & set(known)

    run(scenario())


def test_a_request_sent_to_a_reused_address_does_not_run():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["desk-0"].server_id = "someone-else"
            response = await rig.send_request("/book/1", request_id="b1")
            assert response.status == 503
            assert rig.count_runs("b1") == 0

    run(scenario())


def test_a_stopping_node_leaves_the_directory_and_completes_running_requests():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: all(
                    len(r.membership.list_serving_members()) == 2 for r in rig.routers
                )
            )
            for server in rig.server_by_id.values():
                server.event_count = 40
            task = asyncio.ensure_future(rig.send_request("/claim/1", **STREAM))
            await wait_until(lambda: rig.count_runs("id-0"))
            stop = asyncio.ensure_future(rig.routers[0].stop())
            await asyncio.sleep(0.1)
            ready = await send(
                rig.settings[0].listen.readiness, "GET", "/", {"Host": "x"}
            )
            assert ready.status == 503
            late_response = await rig.send_request("/book/1", node=0)
            assert late_response.status == 200
            assert late_response.headers["connection"] == "close"
            response = await task
            assert response.is_complete
            await wait_until(
                lambda: len(rig.routers[1].membership.list_serving_members()) == 1, 2.0
            )
            await stop

    run(scenario())


def test_the_directory_lists_all_nodes():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: all(
                    len(r.membership.list_serving_members()) == 2 for r in rig.routers
                )
            )
            response = await send(
                rig.settings[1].listen.directory,
                "GET",
                "/-/lookup?name=shop.example&region=r&zone=a",
                {"Host": "x"},
            )
            for settings in rig.settings:
                assert settings.listen.clients.encode() in response.body
            assert b'"ttl-s"' in response.body

    run(scenario())


def test_metrics_are_served():
    async def scenario():
        async with make_rig() as rig:
            await rig.send_request("/book/1")
            await rig.send_request("/chain/1", **STAGED)
            response = await send(
                rig.settings[0].listen.metrics, "GET", "/metrics", {"Host": "x"}
            )
            assert b'stage_admissions_total{outcome="admitted"} 1' in response.body
            assert b'requests_total{route="book",status="200"} 1' in response.body
            assert b"account_request_seconds_bucket" in response.body

    run(scenario())


def test_an_idempotent_request_that_has_run_is_not_refused_as_not_run():
    async def scenario():
        async with make_rig() as rig:
            rig.server_by_id["desk-0"].faults.resets_connections = True
            rig.server_by_id["desk-1"].faults.rejects_requests = True
            for number in range(6):
                request_id = f"l{number}"
                response = await rig.send_request(
                    "/look/1", "GET", request_id=request_id
                )
                if rig.count_runs(request_id):
                    assert response.status == 502

    run(scenario())
