"""Control overhead of a node by number of nodes, servers, accounts and pools."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_bench.counted_node import COUNTS_SUFFIX
from persimmonlink_bench.deployment import DeploymentPlan
from persimmonlink_bench.process_usage import read_usage
from persimmonlink_bench.scaled_deployment import ScaledDeployment

if TYPE_CHECKING:
    from persimmonlink_bench.capacity_table import Row
    from persimmonlink_bench.deployment import NodeHandle
    from persimmonlink_bench.scenario import Policy

SETTLE_S = 3.0
# Five services in three failure domains.
POOLS_PER_SERVICE_COPY = 15
COUNTED_NODE_MODULE = "persimmonlink_bench.counted_node"
VMS_PATH = "/v1/vms"
LINKS = ("peers", "key_value", "vm_list", "servers")


@dataclass(frozen=True)
class ControlSize:
    """Size of the system whose control overhead is measured.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    servers : int
        Number of registered servers, without those of additional service copies.
    accounts : int
        Number of client accounts.
    service_copies : int
        Number of instances of each of Trentside's five services, the original included.
    """

    nodes: int = 2
    servers: int = 17
    accounts: int = 5
    service_copies: int = 1


def measure_control(size: ControlSize, policy: Policy, window_s: float) -> Row:
    """Measure the control overhead of nodes that serve no requests.

    Processor time and memory are measured on unmodified nodes; bytes are measured in a
    second run on nodes that count them, because counting costs processor time.

    Parameters
    ----------
    size : ControlSize
        Size of the system.
    policy : Policy
        Settings of the nodes.
    window_s : float
        Length of the measurement after the nodes have settled, in seconds.
    """
    row: Row = {
        "nodes": size.nodes,
        "servers": size.servers,
        "accounts": size.accounts,
        "pools": size.service_copies * POOLS_PER_SERVICE_COPY,
    }
    with _build_deployment(size, policy, DeploymentPlan.node_module) as deployment:
        row |= _measure_usage(deployment, window_s)
    with _build_deployment(size, policy, COUNTED_NODE_MODULE) as deployment:
        row |= _measure_traffic(deployment, window_s)
    return row


def _build_deployment(
    size: ControlSize, policy: Policy, module: str
) -> ScaledDeployment:
    plan = DeploymentPlan(
        "trentside", size.nodes, node_module=module, settings=policy.settings
    )
    return ScaledDeployment(plan, size.servers, size.accounts, size.service_copies)


def _measure_usage(deployment: ScaledDeployment, window_s: float) -> Row:
    pids = [node.child.process.pid for node in deployment.node_by_id.values()]
    time.sleep(SETTLE_S)
    calls_before = _count_calls(deployment)
    before = [read_usage(pid) for pid in pids]
    started_at = time.monotonic()
    time.sleep(window_s)
    after = [read_usage(pid) for pid in pids]
    seconds = time.monotonic() - started_at
    calls = _count_calls(deployment)
    cpu_percents = [
        100 * (end.cpu_s - begin.cpu_s) / seconds
        for begin, end in zip(before, after, strict=True)
    ]
    row = {
        "cpu_percent_mean": sum(cpu_percents) / len(cpu_percents),
        "cpu_percent_max": max(cpu_percents),
        "rss_mb_mean": sum(usage.rss_bytes for usage in after) / len(after) / 1e6,
    }
    reads = calls.get("range", 0) - calls_before.get("range", 0)
    writes = sum(calls.values()) - sum(calls_before.values()) - reads
    row["kv_reads_per_s"] = reads / seconds
    row["kv_writes_per_s"] = writes / seconds
    row["kv_watches"] = deployment.read_ledger("key_value")["watches_open"]
    return row


def _count_calls(deployment: ScaledDeployment) -> dict[str, int]:
    return dict(deployment.read_ledger("key_value")["calls"])


def _measure_traffic(deployment: ScaledDeployment, window_s: float) -> Row:
    time.sleep(SETTLE_S)
    before = _sum_bytes_by_link(deployment)
    time.sleep(window_s)
    after = _sum_bytes_by_link(deployment)
    nodes = len(deployment.node_by_id)
    row = {}
    for link in LINKS:
        transferred = after.get(link, 0) - before.get(link, 0)
        row[f"{link}_bytes_per_s"] = transferred / window_s / nodes
    row["control_bytes_per_s"] = sum(row.values())
    address = deployment.vm_list_address
    row["vm_list_read_bytes"] = len(
        json.dumps(deployment.send("GET", address, VMS_PATH)[1])
    )
    return row


def _sum_bytes_by_link(deployment: ScaledDeployment) -> dict[str, int]:
    """Return the bytes of all nodes, both directions added, by remote component."""
    nodes = list(deployment.node_by_id.values())
    peer_ports = {_read_peer_port(node) for node in nodes}
    http_ports = {_parse_port(node.http_address) for node in nodes}
    name_by_port = {
        _parse_port(deployment.key_value_address): "key_value",
        _parse_port(deployment.vm_list_address): "vm_list",
    }
    name_by_port |= dict.fromkeys(peer_ports, "peers")
    bytes_by_link: dict[str, int] = {}
    for node in nodes:
        path = node.settings_path.with_suffix(COUNTS_SUFFIX)
        for port, byte_counts in json.loads(path.read_text()).items():
            direction, _, number = port.partition(":")
            if direction == "in" and number in http_ports:
                # Sent by this tool, or by a node that counts the same bytes.
                continue
            # Nodes discover each other through their HTTP ports.
            fallback = "peers" if number in http_ports else "servers"
            name = name_by_port.get(number, fallback)
            bytes_by_link[name] = bytes_by_link.get(name, 0) + sum(byte_counts)
    return bytes_by_link


def _read_peer_port(node: NodeHandle) -> str:
    settings = json.loads(node.settings_path.read_text())
    return str(settings["listen"]["peer_port"])


def _parse_port(address: str) -> str:
    return address.rpartition(":")[2]


__all__ = ("ControlSize", "measure_control")
