"""Configuration changes on separate processes, under failures of nodes and store."""

from __future__ import annotations

import base64
import json
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest

from persimmonlink_bench.caller import Caller, CallOutcome
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.relay import Relay
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.run import run

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

ACCOUNT = "repair-shed"
DOMAIN = "midlands-c"
RELAYED_NODE = "entry-4"
CUT_ROUNDS = 5


class Cluster:
    """Four nodes; the last one reaches the key-value service through a relay."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.relay = Relay(deployment.key_value_address)
        self.restart(RELAYED_NODE, key_value={"addresses": [self.relay.address]})
        deployment.wait_until_serving(RELAYED_NODE)

    def restart(self, node_id: str, **sections: Any) -> None:
        handle = self.deployment.node_by_id[node_id]
        settings = json.loads(handle.settings_path.read_text()) | sections
        handle.settings_path.write_text(json.dumps(settings))
        handle.child.kill()
        self.deployment.start_node(node_id)

    def status(self, node_id: str) -> dict[str, Any]:
        handle = self.deployment.node_by_id[node_id]
        return self.deployment.request("GET", handle, "/v1/admin/status")[1]

    def all_status(self) -> list[dict[str, Any]]:
        return [self.status(node_id) for node_id in self.deployment.node_by_id]

    def record(self, node_id: str, path: str) -> Any:
        handle = self.deployment.node_by_id[node_id]
        answer = self.deployment.request("GET", handle, f"/v1/admin/records/{path}")
        return answer[1] if answer[0] == 200 else None

    def wait_until_converged(self) -> None:
        """Wait until all nodes have the same configuration."""
        self.deployment.wait_for(
            lambda: len({s["digest"] for s in self.all_status()}) == 1
        )

    def build_node_options(self, *node_ids: str) -> list[str]:
        arguments = []
        for node_id in node_ids or self.deployment.node_by_id:
            arguments += ["--node", self.deployment.node_by_id[node_id].http_address]
        return arguments

    def put_raw(self, path: str, value: bytes) -> None:
        body = {
            "key": base64.b64encode(f"config/{path}".encode()).decode(),
            "value": base64.b64encode(value).decode(),
        }
        self.deployment.send(
            "POST", self.deployment.key_value_address, "/v3/kv/put", body
        )

    def holds_grants(self, node_id: str) -> bool:
        views = self.status(node_id)["services"].values()
        return any(view["granted"] for view in views)

    def count_runs(self, domain: str = "") -> int:
        """Return how many calls the backend servers of a domain, or all, have run."""
        count = 0
        for vm in self.deployment.vms:
            if vm["service"] and domain in ("", vm["domain"]):
                count += len(self.deployment.read_ledger(vm["vm_id"])["runs"])
        return count

    def call(self, node_id: str, count: int) -> list[CallOutcome]:
        address = self.deployment.node_by_id[node_id].http_address
        body = {"account": "members-hire", "input": "x", "deadline_ms": 1000}
        caller = Caller([address])
        with ThreadPoolExecutor(count) as pool:
            return list(
                pool.map(lambda _: caller.call("kit-return", body), range(count))
            )

    def list_refused(self, node_id: str) -> list[str]:
        status = self.status(node_id)
        return [each["record"] for each in status["refused_records"]]


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    with Deployment(DeploymentPlan("trentside", node_count=4)) as deployment:
        yield Cluster(deployment)


def _write(path: Path, name: str, spec: dict[str, Any], **more: Any) -> str:
    kind = "domain" if name.startswith("midlands") else "account"
    record = {"kind": kind, "name": name, "spec": spec, **more}
    path.write_text(json.dumps([record]))
    return str(path)


def test_change_reaches_every_node_while_two_watch(
    cluster: Cluster, tmp_path: Path
) -> None:
    file = _write(tmp_path / "a.json", ACCOUNT, {"weight": 2.5})
    assert run(["apply", file, *cluster.build_node_options("entry-1")]) == ExitCode.OK
    cluster.wait_until_converged()
    for node_id in cluster.deployment.node_by_id:
        found = cluster.record(node_id, f"account/{ACCOUNT}")
        assert found["spec"] == {"weight": 2.5}
    cluster.deployment.wait_for(
        lambda: cluster.deployment.read_ledger("key_value")["watches_open"] <= 2
    )
    assert run(["status", *cluster.build_node_options("entry-1")]) == ExitCode.OK


@pytest.mark.parametrize("command", ["apply", "delete"])
def test_change_whose_reply_is_lost_is_accepted_once(
    cluster: Cluster, tmp_path: Path, command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = _write(tmp_path / "a.json", "lost", {"weight": 3.0})
    if command == "delete":
        assert (
            run(["apply", file, *cluster.build_node_options("entry-1")]) == ExitCode.OK
        )
    before = cluster.deployment.read_ledger("key_value")["writes"]
    cluster.deployment.inject_fault("key_value", "lose_reply", key_prefix="config/")
    arguments = [file] if command == "apply" else ["account", "lost"]
    assert (
        run([command, *arguments, *cluster.build_node_options("entry-1")])
        == ExitCode.OK
    )
    assert cluster.deployment.read_ledger("key_value")["writes"] == before + 1
    cluster.wait_until_converged()
    assert (
        run(["history", "account", "lost", *cluster.build_node_options(RELAYED_NODE)])
        == ExitCode.OK
    )
    shown = capsys.readouterr().out.splitlines()
    assert shown[-1].endswith("deleted") is (command == "delete")


def test_concurrent_changes_have_one_winner_and_report_conflicts(
    cluster: Cluster, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    cluster.wait_until_converged()
    revision = cluster.record("entry-1", f"account/{ACCOUNT}")["revision"]
    commands = []
    for number in range(4):
        file = _write(
            tmp_path / f"{number}.json",
            ACCOUNT,
            {"weight": 10.0 + number},
            expected_revision=revision,
        )
        commands.append(
            ["apply", file, *cluster.build_node_options(f"entry-{number + 1}")]
        )
    with ThreadPoolExecutor(4) as pool:
        codes = list(pool.map(run, commands))
    assert sorted(codes) == [ExitCode.OK] + [ExitCode.CONFLICT] * 3
    winner = 10.0 + codes.index(ExitCode.OK)
    shown = capsys.readouterr().err
    assert shown.count(f'-  "weight": {winner}') == 3
    cluster.wait_until_converged()
    found = cluster.record(RELAYED_NODE, f"account/{ACCOUNT}")
    assert found["spec"] == {"weight": winner}


def _edit(cluster: Cluster, capsys: Any, path: Path, node_id: str) -> dict[str, Any]:
    capsys.readouterr()
    get = ["get", "account", ACCOUNT, "--file", *cluster.build_node_options(node_id)]
    assert run(get) == ExitCode.OK
    (entry,) = json.loads(capsys.readouterr().out)
    entry["spec"]["weight"] += 1
    path.write_text(json.dumps([entry]))
    return entry


def test_applying_an_outdated_file_reports_a_conflict(
    cluster: Cluster, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a.json"
    _edit(cluster, capsys, path, "entry-1")
    apply = ["apply", str(path), *cluster.build_node_options("entry-1")]
    assert run(apply) == ExitCode.OK
    assert run(apply) == ExitCode.CONFLICT


def test_corrupt_value_is_reported_and_can_be_replaced(
    cluster: Cluster, tmp_path: Path
) -> None:
    path = f"account/{ACCOUNT}"
    cluster.wait_until_converged()
    spec = cluster.record(RELAYED_NODE, path)["spec"]
    cluster.put_raw(path, b"{not json")
    cluster.put_raw("shop/one", b'{"schema_version":1,"change_id":"x","spec":{}}')
    for node_id in cluster.deployment.node_by_id:
        cluster.deployment.wait_for(
            lambda node_id=node_id: (
                set(cluster.list_refused(node_id)) == {path, "shop/one"}
            )
        )
        assert cluster.record(node_id, path)["spec"] == spec
    file = _write(tmp_path / "a.json", ACCOUNT, {"weight": 6.0})
    assert run(["apply", file, *cluster.build_node_options("entry-2")]) == ExitCode.OK
    cluster.wait_until_converged()
    assert cluster.list_refused(RELAYED_NODE) == ["shop/one"]
    key = base64.b64encode(b"config/shop/one").decode()
    address = cluster.deployment.key_value_address
    cluster.deployment.send("POST", address, "/v3/kv/deleterange", {"key": key})
    for node_id in cluster.deployment.node_by_id:
        cluster.deployment.wait_for(
            lambda node_id=node_id: not cluster.list_refused(node_id)
        )
    cluster.wait_until_converged()


def test_schema_is_rolled_forward_and_back(
    cluster: Cluster, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = f"account/{ACCOUNT}"
    wait_for = cluster.deployment.wait_for
    cluster.wait_until_converged()
    cluster.restart("entry-3", schema={"max_version": 2})
    wait_for(lambda: cluster.record("entry-3", path))
    old_revision = cluster.record("entry-3", path)["revision"]
    newer = {"weight": 20.0, "later": True}
    file = _write(tmp_path / "a.json", ACCOUNT, newer, schema_version=2)
    assert (
        run(["apply", file, *cluster.build_node_options("entry-1")])
        == ExitCode.BAD_INPUT
    )
    # The command tries the next node, which supports the newer schema.
    node_options = cluster.build_node_options("entry-1", "entry-3")
    assert run(["apply", file, *node_options]) == ExitCode.OK
    cluster.wait_until_converged()
    assert cluster.status("entry-3")["refused_records"] == []
    for node_id in ("entry-1", "entry-2", RELAYED_NODE):
        (refused,) = cluster.status(node_id)["refused_records"]
        assert (refused["record"], refused["problem"]["code"]) == (path, 4003)
        assert _weight_revision(cluster, node_id) == old_revision
    # A restarted node with the older schema applies the version that it supports.
    cluster.restart("entry-2")
    wait_for(lambda: _weight_revision(cluster, "entry-2") == old_revision)
    for node_id in ("entry-1", "entry-2", RELAYED_NODE):
        cluster.restart(node_id, schema={"max_version": 2})
    wait_for(lambda: cluster.status(RELAYED_NODE)["in_force_revisions"])
    wait_for(lambda: not any(s["refused_records"] for s in cluster.all_status()))
    entry = _edit(cluster, capsys, tmp_path / "b.json", RELAYED_NODE)
    apply = ["apply", str(tmp_path / "b.json"), *cluster.build_node_options("entry-1")]
    assert run(apply) == ExitCode.OK
    cluster.wait_until_converged()
    for node_id in cluster.deployment.node_by_id:
        found = cluster.record(node_id, path)
        assert found["spec"] == entry["spec"] == {"weight": 21.0, "later": True}
    # No node has an older version in force any more, so that it comes from the history.
    for node_id in cluster.deployment.node_by_id:
        cluster.restart(node_id, schema={"max_version": 1})
    for node_id in cluster.deployment.node_by_id:
        wait_for(
            lambda node_id=node_id: _weight_revision(cluster, node_id) == old_revision
        )
    file = _write(tmp_path / "c.json", ACCOUNT, {"weight": 2.0})
    assert run(["apply", file, *cluster.build_node_options("entry-1")]) == ExitCode.OK
    cluster.wait_until_converged()
    assert not any(status["refused_records"] for status in cluster.all_status())


def _weight_revision(cluster: Cluster, node_id: str) -> int:
    """Return the revision of the account's version in force."""
    return cluster.status(node_id)["in_force_revisions"].get(f"account/{ACCOUNT}", 0)


def test_drain_waits_for_a_paused_node(cluster: Cluster) -> None:
    child = cluster.deployment.node_by_id["entry-2"].child
    command = [
        "domain",
        "drain",
        DOMAIN,
        "--wait",
        *cluster.build_node_options("entry-1"),
    ]
    child.pause()
    try:
        assert run([*command, "--timeout-s", "3"]) == ExitCode.UNAVAILABLE
    finally:
        child.resume()
    assert run([*command, "--timeout-s", "30"]) == ExitCode.OK
    for status in cluster.all_status():
        assert status["drained_domains"] == {DOMAIN: True}
    cluster.deployment.wait_for(
        lambda: all(cluster.call(n, 2)[0].ok for n in cluster.deployment.node_by_id)
    )
    before = cluster.count_runs(DOMAIN)
    for node_id in cluster.deployment.node_by_id:
        assert all(outcome.ok for outcome in cluster.call(node_id, 4))
    assert cluster.count_runs(DOMAIN) == before
    command[1] = "restore"
    assert run([*command, "--timeout-s", "30"]) == ExitCode.OK
    for status in cluster.all_status():
        assert status["drained_domains"] == {}


def test_node_without_key_value_receives_a_drain_from_its_peers(
    cluster: Cluster,
) -> None:
    cluster.relay.disconnect()
    try:
        command = [
            "domain",
            "drain",
            DOMAIN,
            "--wait",
            *cluster.build_node_options("entry-1"),
        ]
        assert run([*command, "--timeout-s", "30"]) == ExitCode.OK
        assert cluster.status(RELAYED_NODE)["drained_domains"] == {DOMAIN: True}
        assert cluster.status(RELAYED_NODE)["view"]["fresh"]
    finally:
        cluster.relay.restore()
    command[1] = "restore"
    assert run([*command, "--timeout-s", "30"]) == ExitCode.OK


def test_node_without_key_value_and_peers_is_not_fresh(cluster: Cluster) -> None:
    wait_for = cluster.deployment.wait_for
    others = [n.child for n in cluster.deployment.node_by_id.values()][:3]
    wait_for(lambda: all(outcome.ok for outcome in cluster.call(RELAYED_NODE, 4)))
    cluster.relay.disconnect()
    try:
        for child in others:
            child.pause()
        wait_for(lambda: not cluster.status(RELAYED_NODE)["view"]["fresh"])
        value = {"schema_version": 1, "change_id": "raw", "spec": {"state": "drained"}}
        cluster.put_raw(f"domain/{DOMAIN}", json.dumps(value).encode())
        status = cluster.status(RELAYED_NODE)
        assert (status["drained_domains"], status["view"]["fresh"]) == ({}, False)
        wait_for(lambda: not cluster.holds_grants(RELAYED_NODE))
        before = cluster.count_runs()
        # Long enough for the node to consider itself the coordinator of every pool.
        for _ in range(CUT_ROUNDS):
            outcomes = cluster.call(RELAYED_NODE, 4)
            assert not any(outcome.ok for outcome in outcomes)
            states = {(outcome.problem or {})["run_state"] for outcome in outcomes}
            assert states == {"not_run"}
            time.sleep(1.0)
        assert cluster.count_runs() == before
        # One peer of three makes no majority, but it still passes the drain on.
        others[0].resume()
        wait_for(lambda: cluster.status(RELAYED_NODE)["drained_domains"])
    finally:
        for child in others:
            child.resume()
        cluster.relay.restore()
    wait_for(lambda: cluster.status(RELAYED_NODE)["view"]["fresh"])
    wait_for(lambda: all(outcome.ok for outcome in cluster.call(RELAYED_NODE, 4)))
    command = [
        "domain",
        "restore",
        DOMAIN,
        "--wait",
        *cluster.build_node_options("entry-1"),
    ]
    assert run([*command, "--timeout-s", "30"]) == ExitCode.OK


def test_key_value_outage_refuses_changes_and_nodes_start_from_peers(
    cluster: Cluster, tmp_path: Path
) -> None:
    cluster.wait_until_converged()
    digest = cluster.status("entry-1")["digest"]
    file = _write(tmp_path / "a.json", ACCOUNT, {"weight": 8.0})
    cluster.deployment.inject_fault("key_value", "outage", seconds=60)
    try:
        apply = ["apply", file, *cluster.build_node_options("entry-1")]
        assert run(apply) == ExitCode.UNAVAILABLE
        cluster.restart("entry-2")
        cluster.deployment.wait_for(
            lambda: cluster.status("entry-2")["digest"] == digest
        )
        cluster.deployment.wait_for(
            lambda: all(status["view"]["fresh"] for status in cluster.all_status())
        )
        # No change can be accepted during the outage, so the nodes keep serving.
        assert all(outcome.ok for outcome in cluster.call("entry-1", 4))
    finally:
        cluster.deployment.inject_fault("key_value", "clear")
    assert run(apply) == ExitCode.OK
    cluster.wait_until_converged()


def test_slow_key_value_still_accepts_changes(cluster: Cluster, tmp_path: Path) -> None:
    file = _write(tmp_path / "a.json", ACCOUNT, {"weight": 9.0})
    cluster.deployment.inject_fault("key_value", "slow", seconds=60, delay_s=2.0)
    try:
        assert (
            run(["apply", file, *cluster.build_node_options("entry-1")]) == ExitCode.OK
        )
        cluster.wait_until_converged()
    finally:
        cluster.deployment.inject_fault("key_value", "clear")
    assert cluster.record(RELAYED_NODE, f"account/{ACCOUNT}")["spec"] == {"weight": 9.0}
