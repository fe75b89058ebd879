"""Slot grants on real processes: cold, drained or leaving servers, lost coordinators.

The assertions read the ledgers in which the stand-in servers record what they ran.
"""

from __future__ import annotations

import base64
import json
import time
from typing import TYPE_CHECKING, Any

import pytest

from persimmonlink_bench.cold_runs import find_peak_concurrency, list_runs_until_warm
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.relay import Relay
from persimmonlink_bench.steady_load import LoadPlan, SteadyLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

COLD_SERVER_SLOTS = 2
WARM_AFTER = 8
# No node can detect that a server turned cold before a response or poll shows it.
COLD_WINDOW_S = 1.0
COLD_RUNS_TIMEOUT_S = 15.0
DRAIN_WINDOW_S = 3.0
RELAYED_NODE_ID = "entry-4"
LOAD = LoadPlan(callers=48, deadline_ms=4000)
SERVICES = ("encoder", "retriever", "reranker", "assistant")


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    cold_start_arguments = (
        "--cold-bearing",
        str(COLD_SERVER_SLOTS),
        "--warm-after",
        str(WARM_AFTER),
    )
    plan = DeploymentPlan(
        node_count=4,
        plain_arguments=(
            "--work-ms",
            "60",
            "--fall-over-s",
            "1",
            *cold_start_arguments,
        ),
        engine_arguments=cold_start_arguments,
    )
    with Deployment(plan) as running:
        yield running


@pytest.fixture(scope="module")
def relay(deployment: Deployment) -> Relay:
    """Restart a node that reads the VM list once and the store through a relay."""
    relay = Relay(deployment.key_value_address)
    node = deployment.node_by_id[RELAYED_NODE_ID]
    settings = json.loads(node.settings_path.read_text())
    settings["vm_list"]["interval_s"] = 3600
    settings["key_value"] = {"addresses": [relay.address]}
    node.settings_path.write_text(json.dumps(settings))
    node.child.kill()
    deployment.start_node(RELAYED_NODE_ID)
    deployment.wait_until_serving(RELAYED_NODE_ID)
    return relay


def _start_load(deployment: Deployment) -> SteadyLoad:
    nodes = deployment.node_by_id.values()
    return SteadyLoad([node.http_address for node in nodes], LOAD)


def _read_ledger(deployment: Deployment, server_id: str) -> dict[str, Any]:
    return deployment.wait_for(lambda: deployment.read_ledger(server_id))


def _wait_for_cold_runs(
    deployment: Deployment, server_id: str, since: float, count: int
) -> None:
    def have_run() -> bool:
        ledger = _read_ledger(deployment, server_id)
        return len(list_runs_until_warm(ledger["runs"], since, WARM_AFTER)) >= count

    deployment.wait_for(have_run, COLD_RUNS_TIMEOUT_S)


def _check_cold_server(deployment: Deployment, server_id: str) -> None:
    with _start_load(deployment) as load:
        time.sleep(1.5)
        before = _read_ledger(deployment, server_id)
        deployment.inject_fault(server_id, "cold")
        detected_by = time.time() + COLD_WINDOW_S
        _wait_for_cold_runs(deployment, server_id, detected_by, WARM_AFTER)
    after = _read_ledger(deployment, server_id)
    # The requests in flight when it turned cold may overload it, but only once.
    assert after["fall_overs"] - before["fall_overs"] <= 1
    cold_runs = list_runs_until_warm(after["runs"], detected_by, WARM_AFTER)
    assert find_peak_concurrency(cold_runs) <= COLD_SERVER_SLOTS
    assert load.count_complete() >= 0.97 * load.count_ended(), load.describe_failures()


def test_server_that_turns_cold_under_load_gets_no_more_than_it_bears(
    deployment: Deployment,
) -> None:
    _check_cold_server(deployment, deployment.list_servers("encoder")[0])


def _write_domain(deployment: Deployment, domain: str, state: str) -> float:
    record = {"kind": "domain", "name": domain, "spec": {"state": state}}
    deployment.apply_configuration([record])
    return time.time()


def _list_runs_in(deployment: Deployment, domain: str) -> list[dict[str, Any]]:
    server_ids = [
        vm["vm_id"]
        for vm in deployment.vms
        if vm["domain"] == domain and vm["service"] in SERVICES
    ]
    return [run for s in server_ids for run in _read_ledger(deployment, s)["runs"]]


def test_drained_domain_runs_nothing_until_it_is_restored(
    deployment: Deployment,
) -> None:
    domain = "midlands-b"
    with _start_load(deployment) as load:
        time.sleep(1.0)
        drained_at = _write_domain(deployment, domain, "drained")
        time.sleep(DRAIN_WINDOW_S + 1.0)
        restored_at = time.time()
        _write_domain(deployment, domain, "in_service")
        time.sleep(2.5)
    started = [run["started_at"] for run in _list_runs_in(deployment, domain)]
    assert any(at < drained_at for at in started)
    first_forbidden_at = drained_at + DRAIN_WINDOW_S
    assert not [at for at in started if first_forbidden_at <= at < restored_at]
    assert any(at >= restored_at for at in started)
    assert load.count_complete() >= 0.97 * load.count_ended(), load.describe_failures()


def test_leaving_server_runs_nothing_from_a_node_with_a_stale_vm_list(
    deployment: Deployment, relay: Relay
) -> None:
    server_id = deployment.list_servers("reranker")[2]
    with _start_load(deployment) as load:
        time.sleep(1.0)
        deployment.inject_fault("vm_list", "leaving", vm_id=server_id)
        marked_leaving_at = time.time()
        time.sleep(DRAIN_WINDOW_S + 1.0)
    deployment.inject_fault("vm_list", "live", vm_id=server_id)
    started = [r["started_at"] for r in _read_ledger(deployment, server_id)["runs"]]
    assert any(at < marked_leaving_at for at in started)
    assert not [at for at in started if at >= marked_leaving_at + DRAIN_WINDOW_S]
    assert load.count_complete() >= 0.97 * load.count_ended(), load.describe_failures()


def test_node_that_is_cut_off_sends_nothing_into_a_domain_drained_meanwhile(
    deployment: Deployment, relay: Relay
) -> None:
    domain = "midlands-c"
    others = [n for n in deployment.node_by_id.values() if n.node_id != RELAYED_NODE_ID]
    address = deployment.node_by_id[RELAYED_NODE_ID].http_address
    with SteadyLoad([address], LoadPlan(callers=8, deadline_ms=1000)):
        time.sleep(0.5)
        relay.disconnect()
        try:
            for node in others:
                node.child.pause()
            # Write the drain that a node on the other side of the partition would.
            drained_at = _write_drain_to_store(deployment, domain)
            time.sleep(DRAIN_WINDOW_S + 1.5)
            window_ends_at = time.time()
        finally:
            relay.restore()
            for node in others:
                node.child.resume()
    _write_domain(deployment, domain, "in_service")
    started = [run["started_at"] for run in _list_runs_in(deployment, domain)]
    assert any(at < drained_at for at in started)
    first_forbidden_at = drained_at + DRAIN_WINDOW_S
    assert not [at for at in started if first_forbidden_at <= at < window_ends_at]


def _write_drain_to_store(deployment: Deployment, domain: str) -> float:
    value = {"schema_version": 1, "change_id": "raw", "spec": {"state": "drained"}}
    body = {
        "key": base64.b64encode(f"config/domain/{domain}".encode()).decode(),
        "value": base64.b64encode(json.dumps(value).encode()).decode(),
    }
    deployment.send("POST", deployment.key_value_address, "/v3/kv/put", body)
    return time.time()


def _find_coordinator(deployment: Deployment, service: str, domain: str) -> str:
    for node in deployment.node_by_id.values():
        pools = deployment.request("GET", node, "/v1/admin/status")[1]["pools"]
        for pool in pools:
            if (pool["service"], pool["domain"]) == (service, domain):
                return node.node_id
    raise LookupError(f"no node coordinates {service}/{domain}")


@pytest.mark.parametrize("stop", ["paused", "killed"])
def test_cold_server_is_safe_while_its_coordinator_stops(
    deployment: Deployment, stop: str
) -> None:
    server_id = deployment.list_servers("retriever")[0]
    node_id = deployment.wait_for(
        lambda: _find_coordinator(deployment, "retriever", "midlands-a")
    )
    node = deployment.node_by_id[node_id]
    others = [n for n in deployment.node_by_id.values() if n is not node]
    addresses = [n.http_address for n in others]
    with SteadyLoad(addresses, LOAD) as load:
        time.sleep(1.0)
        before = _read_ledger(deployment, server_id)
        if stop == "paused":
            node.child.pause()
        else:
            node.child.kill()
        time.sleep(0.5)
        deployment.inject_fault(server_id, "cold")
        detected_by = time.time() + COLD_WINDOW_S
        # Another node must take over before the first coordinator is back.
        _wait_for_cold_runs(deployment, server_id, detected_by, 3)
        if stop == "paused":
            node.child.resume()
        else:
            deployment.start_node(node_id)
        time.sleep(1.5)
    after = _read_ledger(deployment, server_id)
    assert after["fall_overs"] - before["fall_overs"] <= 1
    cold_runs = list_runs_until_warm(after["runs"], detected_by, WARM_AFTER)
    assert find_peak_concurrency(cold_runs) <= COLD_SERVER_SLOTS
    assert load.count_complete() >= 0.9 * load.count_ended(), load.describe_failures()
