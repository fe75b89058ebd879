"""Memory of an idle node, of running requests and of kept answers."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from persimmonlink_bench.caller import Caller
from persimmonlink_bench.capacity_requests import (
    ACCOUNT,
    SETTLE_S,
    STAGE_TIMEOUT_MS,
    build_single_node_deployment,
)
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.idle_process import READY_MESSAGE
from persimmonlink_bench.process import start_process
from persimmonlink_bench.process_usage import read_usage

if TYPE_CHECKING:
    from persimmonlink_bench.capacity_table import Row
    from persimmonlink_bench.scenario import Policy

POLL_INTERVAL_S = 0.05
IDLE_START_TIMEOUT_S = 10.0
LONG_STAGE_MS = "5000"
IDLE_IMPORTS: dict[str, list[str]] = {
    "python": [],
    "imports": ["persimmonlink_node.run"],
}


def measure_idle_memory() -> Row:
    """Return the memory of Python, the daemon's imports and an idle node, in MB."""
    row: Row = {}
    for name, modules in IDLE_IMPORTS.items():
        row[f"{name}_mb"] = _measure_idle_process(modules)
    with Deployment(DeploymentPlan("trentside", 1)) as deployment:
        (node,) = deployment.node_by_id.values()
        time.sleep(SETTLE_S)
        row["idle_node_mb"] = read_usage(node.child.process.pid).rss_bytes / 1e6
    row["control_and_threads_mb"] = row["idle_node_mb"] - row["imports_mb"]
    return row


def _measure_idle_process(modules: list[str]) -> float:
    child = start_process("idle", "persimmonlink_bench.idle_process", modules)
    try:
        timeout_at = time.monotonic() + IDLE_START_TIMEOUT_S
        while READY_MESSAGE not in child.read_log() and time.monotonic() < timeout_at:
            time.sleep(POLL_INTERVAL_S)
        return read_usage(child.process.pid).rss_bytes / 1e6
    finally:
        child.kill()
        child.log_path.unlink(missing_ok=True)


def measure_running_memory(policy: Policy, counts: list[int]) -> list[Row]:
    """Measure a node's memory at several numbers of running requests."""
    rows: list[Row] = []
    plain_arguments = ("--work-ms", LONG_STAGE_MS, "--concurrency", "64")
    with build_single_node_deployment(
        policy, plain_arguments, max(counts) + 1
    ) as deployment:
        (node,) = deployment.node_by_id.values()
        caller = Caller([node.http_address])
        body = {"account": ACCOUNT, "input": "x", "deadline_ms": STAGE_TIMEOUT_MS}
        for count in counts:
            with ThreadPoolExecutor(max(1, count)) as pool:
                for _ in range(count):
                    pool.submit(caller.call, "one-plain", body)
                time.sleep(float(LONG_STAGE_MS) / 2000)
                _, status = deployment.request("GET", node, "/v1/admin/status")
                rss = read_usage(node.child.process.pid).rss_bytes
            running = status["running_requests"]
            rows.append({"running": running, "rss_mb": rss / 1e6})
    return rows


def measure_kept_memory(policy: Policy, counts: list[int]) -> list[Row]:
    """Measure a node's memory after each number of answered requests."""
    rows: list[Row] = []
    with build_single_node_deployment(policy) as deployment:
        (node,) = deployment.node_by_id.values()
        caller = Caller([node.http_address])
        answered = 0
        for count in counts:
            with ThreadPoolExecutor(16) as pool:
                calls = range(answered, count)
                list(pool.map(lambda n: _call_once(caller, n), calls))
            answered = count
            rss = read_usage(node.child.process.pid).rss_bytes
            rows.append({"answered": answered, "rss_mb": rss / 1e6})
    return rows


def _call_once(caller: Caller, number: int) -> None:
    text = f"request {number} {'x' * 200}"
    body = {"account": ACCOUNT, "input": text, "deadline_ms": STAGE_TIMEOUT_MS}
    outcome = caller.call("one-plain", body)
    if not outcome.ok:
        print(f"request {number} failed: {outcome.problem}", file=sys.stderr)


__all__ = ("measure_idle_memory", "measure_kept_memory", "measure_running_memory")
