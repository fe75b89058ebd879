"""Nodes partitioned from their peers, from the key-value service, and from both."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
import uuid6
from tests.silent_relay import SilentRelay

from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.process import find_free_ports

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

DEADLINE_MS = 3_000
CLAIM_UNAVAILABLE = 2005
SETTINGS = {"entry": {"ttl_s": 0.5}}


class PartitionableDeployment(Deployment):
    """Routes each node's peer and key-value connections through relays."""

    def __init__(self, plan: DeploymentPlan) -> None:
        super().__init__(plan)
        self.peer_relay_by_id: dict[str, SilentRelay] = {}
        self.store_relay_by_id: dict[str, SilentRelay] = {}

    def block_peer_links(self) -> None:
        """Block the connections between all nodes."""
        for relay in self.peer_relay_by_id.values():
            relay.block()

    def block_key_value(self, node_id: str) -> None:
        """Block a node's connections to the key-value service."""
        self.store_relay_by_id[node_id].block()

    def heal(self) -> None:
        """Unblock all relays for new connections."""
        relays = [*self.peer_relay_by_id.values(), *self.store_relay_by_id.values()]
        for relay in relays:
            relay.unblock()

    def close(self) -> None:
        self.heal()
        super().close()

    def _write_settings(self, vm: dict[str, Any]) -> Path:
        path = super()._write_settings(vm)
        settings = json.loads(path.read_text())
        listen = settings["listen"]
        peer = SilentRelay(f"127.0.0.1:{listen['peer_port']}", *find_free_ports(1))
        store = SilentRelay(self.key_value_address)
        listen["advertised_peer_port"] = int(peer.address.rpartition(":")[2])
        settings["key_value"] = {"addresses": [store.address]}
        self.peer_relay_by_id[vm["vm_id"]] = peer
        self.store_relay_by_id[vm["vm_id"]] = store
        path.write_text(json.dumps(settings))
        return path


@pytest.fixture(scope="module")
def deployment() -> Iterator[PartitionableDeployment]:
    with PartitionableDeployment(
        DeploymentPlan(node_count=2, settings=SETTINGS)
    ) as started:
        yield started


@pytest.fixture(autouse=True)
def _heal_after_each_test(deployment: PartitionableDeployment) -> Iterator[None]:
    _wait_until_advertised(deployment, 2)
    yield
    deployment.heal()
    _wait_until_advertised(deployment, 2)


def _fetch_entry(deployment: Deployment, node_id: str) -> dict[str, Any]:
    node = deployment.node_by_id[node_id]
    return deployment.request("GET", node, "/v1/entry")[1]


def _wait_until_advertised(deployment: Deployment, count: int) -> None:
    """Wait until each node advertises this number of nodes to callers."""
    for node_id in deployment.node_by_id:
        deployment.wait_for(
            lambda node_id=node_id: (
                len(_fetch_entry(deployment, node_id)["addresses"]) == count
            )
        )


def _send_booking(
    deployment: Deployment, node_id: str, request_id: str
) -> dict[str, Any]:
    """Send a booking and check that the ledger's runs agree with the response."""
    body = {
        "account": "festival-crew",
        "input": "tent",
        "request_id": request_id,
        "repeatable": False,
        "deadline_ms": DEADLINE_MS,
    }
    node = deployment.node_by_id[node_id]
    path = "/v1/pipelines/booking/requests"
    status, answer = deployment.request("POST", node, path, body)
    runs = [
        run
        for run in deployment.read_runs("ledger")
        if run["request_id"].startswith(request_id)
    ]
    assert len(runs) <= 1
    if status == 200:
        assert len(runs) == 1
        return {"run_state": "answered", **answer}
    # Stages before the booking stage may have run, but not the booking itself.
    if answer["run_state"] == "not_run" or answer["code"] == CLAIM_UNAVAILABLE:
        assert not runs
    return answer


def _serves_lookups(deployment: Deployment, node_id: str) -> bool:
    body = {
        "account": "festival-crew",
        "input": "tent",
        "deadline_ms": DEADLINE_MS,
    }
    node = deployment.node_by_id[node_id]
    path = "/v1/pipelines/kit-return/requests"
    return deployment.request("POST", node, path, body)[0] == 200


def _pinned_id(deployment: Deployment, node_id: str) -> str:
    return _fetch_entry(deployment, node_id)["id_prefix"] + str(uuid6.uuid7())


def test_partitioned_nodes_advertise_only_themselves(
    deployment: PartitionableDeployment,
) -> None:
    shared_id = str(uuid6.uuid7())
    deployment.block_peer_links()
    _wait_until_advertised(deployment, 1)
    outcomes = []
    for node_id, node in deployment.node_by_id.items():
        advertised = [
            each["address"] for each in _fetch_entry(deployment, node_id)["addresses"]
        ]
        assert advertised == [node.http_address]
        outcomes.append(_send_booking(deployment, node_id, shared_id)["run_state"])
    # Both nodes can still claim through the key-value service; at most one wins.
    assert outcomes.count("answered") <= 1


def test_node_without_key_value_runs_only_requests_it_can_claim(
    deployment: PartitionableDeployment,
) -> None:
    deployment.block_key_value("entry-1")
    assert _serves_lookups(deployment, "entry-1")
    pinned = _send_booking(deployment, "entry-1", _pinned_id(deployment, "entry-1"))
    assert pinned["run_state"] == "answered"
    claimed = _send_booking(deployment, "entry-1", str(uuid6.uuid7()))
    assert claimed["run_state"] == "answered" or claimed["code"] == CLAIM_UNAVAILABLE
    other = _send_booking(deployment, "entry-2", str(uuid6.uuid7()))
    assert other["run_state"] == "answered"


def test_node_without_peers_and_key_value_reports_true_run_states(
    deployment: PartitionableDeployment,
) -> None:
    deployment.block_peer_links()
    deployment.block_key_value("entry-1")
    _wait_until_advertised(deployment, 1)
    claimed = _send_booking(deployment, "entry-1", str(uuid6.uuid7()))
    assert claimed["run_state"] in ("not_run", "ran")
    pinned = _send_booking(deployment, "entry-1", _pinned_id(deployment, "entry-1"))
    assert pinned["run_state"] in ("answered", "not_run")


def test_paused_node_is_named_again_when_it_runs_again(
    deployment: PartitionableDeployment,
) -> None:
    child = deployment.node_by_id["entry-2"].child
    child.pause()
    try:
        deployment.wait_for(
            lambda: len(_fetch_entry(deployment, "entry-1")["addresses"]) == 1
        )
    finally:
        child.resume()
    _wait_until_advertised(deployment, 2)


def test_restarted_node_is_named_under_its_new_incarnation(
    deployment: PartitionableDeployment,
) -> None:
    old_id = _pinned_id(deployment, "entry-2")
    deployment.node_by_id["entry-2"].child.kill()
    deployment.start_node("entry-2")
    deployment.wait_until_serving("entry-2")
    _wait_until_advertised(deployment, 2)
    assert _pinned_id(deployment, "entry-2").rsplit(":", 1)[0] != old_id[:-37]
    # Only the old incarnation could have run the request, so no node may run it now.
    for node_id in deployment.node_by_id:
        outcome = _send_booking(deployment, node_id, old_id)
        assert outcome["run_state"] == "unknown"
