"""Compares slot granters while a server turns cold under load."""

from __future__ import annotations

import argparse
import json
import statistics
import time
from dataclasses import asdict, dataclass

from persimmonlink_bench.cold_runs import (
    find_last_overload,
    find_peak_concurrency,
    list_runs_until_warm,
)
from persimmonlink_bench.counted_node import COUNTS_SUFFIX
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.steady_load import LoadPlan, SteadyLoad

GRANTERS = ("coordinated", "static", "power_of_two", "least_reported_load")
COLD_CAPACITY = 2
WARM_AFTER = 8
DETECTION_WINDOW_S = 1.0
WORK_MS = 60
DEADLINE_MS = 2000


@dataclass(frozen=True)
class TrialResult:
    """Figures of one trial.

    Parameters
    ----------
    granter : str
        Granter of the nodes' settings.
    answered : int
        Calls that ended after the server turned cold, with an answer or a failure.
    attainment : float
        Fraction of them that got a complete answer. The nodes enforce the deadline;
        this tool doesn't check it.
    fall_overs : int
        Times that the cold server crashed because of too many concurrent runs.
    peak_cold : int
        Largest number of concurrent runs on the server while it was cold, from one
        second after it turned cold.
    window_s : float
        Time from turning cold to the start of the last run over the server's cold
        capacity, in seconds.
    peer_bytes_per_s : float
        Bytes per second and node between nodes, both directions added.
    """

    granter: str
    answered: int
    attainment: float
    fall_overs: int
    peak_cold: int
    window_s: float
    peer_bytes_per_s: float


def run_trial(granter: str, nodes: int, callers: int, seconds: float) -> TrialResult:
    """Load a deployment, turn one server cold and evaluate the server's records.

    Parameters
    ----------
    granter : str
        Granter of the nodes' settings.
    nodes : int
        Number of nodes.
    callers : int
        Requests in flight over all nodes.
    seconds : float
        Duration of the load after the server turned cold, in seconds.
    """
    cold_arguments = [
        "--cold-bearing",
        str(COLD_CAPACITY),
        "--warm-after",
        str(WARM_AFTER),
    ]
    plan = DeploymentPlan(
        node_count=nodes,
        node_module="persimmonlink_bench.counted_node",
        plain_arguments=(
            "--work-ms",
            str(WORK_MS),
            "--fall-over-s",
            "1",
            *cold_arguments,
        ),
        engine_arguments=tuple(cold_arguments),
        settings={"policy": {"granter": granter}},
    )
    with Deployment(plan) as deployment:
        addresses = [n.http_address for n in deployment.node_by_id.values()]
        load_plan = LoadPlan(callers=callers, deadline_ms=DEADLINE_MS)
        server_id = deployment.list_servers("encoder")[0]
        with SteadyLoad(addresses, load_plan) as load:
            time.sleep(2.0)
            deployment.inject_fault(server_id, "cold")
            cold_at = time.time()
            bytes_before = _sum_peer_bytes(deployment)
            time.sleep(seconds)
            transferred = _sum_peer_bytes(deployment) - bytes_before
        ledger = deployment.wait_for(lambda: deployment.read_ledger(server_id))
    runs = ledger["runs"]
    runs_until_warm = list_runs_until_warm(
        runs, cold_at + DETECTION_WINDOW_S, WARM_AFTER
    )
    runs_while_cold = list_runs_until_warm(runs, cold_at, len(runs) + 1)
    if ledger["fall_overs"] < 2:
        early_runs = [
            run
            for run in runs_while_cold
            if run["started_at"] < cold_at + DETECTION_WINDOW_S
        ]
        runs_while_cold = early_runs + runs_until_warm
    answered = load.count_ended(cold_at)
    return TrialResult(
        granter,
        answered,
        load.count_complete(cold_at) / max(1, answered),
        ledger["fall_overs"],
        find_peak_concurrency(runs_until_warm),
        max(0.0, find_last_overload(runs_while_cold, COLD_CAPACITY) - cold_at),
        transferred / seconds / nodes,
    )


def _sum_peer_bytes(deployment: Deployment) -> int:
    ports = set()
    for node in deployment.node_by_id.values():
        settings = json.loads(node.settings_path.read_text())
        ports.add(str(settings["listen"]["peer_port"]))
    total = 0
    for node in deployment.node_by_id.values():
        path = node.settings_path.with_suffix(COUNTS_SUFFIX)
        for port, byte_counts in json.loads(path.read_text()).items():
            if port.partition(":")[2] in ports:
                total += sum(byte_counts)
    return total


def _print_table(results: list[TrialResult]) -> None:
    print("| granter | attainment | fall-overs | peak cold | window s | peer B/s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for granter in dict.fromkeys(result.granter for result in results):
        rows = [asdict(r) for r in results if r.granter == granter]
        cells = [granter]
        for name in ("attainment", "fall_overs", "peak_cold", "window_s"):
            cells.append(_format_median_and_range([row[name] for row in rows]))
        cells.append(
            _format_median_and_range([row["peer_bytes_per_s"] for row in rows])
        )
        print(f"| {' | '.join(cells)} |")


def _format_median_and_range(values: list[float]) -> str:
    return f"{statistics.median(values):.4g} ({min(values):.4g} to {max(values):.4g})"


def main() -> None:
    """Run the trials and print the median and range of each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--granter", action="append", choices=GRANTERS)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--callers", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--repeats", type=int, default=3)
    options = parser.parse_args()
    results = []
    for _ in range(options.repeats):
        for granter in options.granter or GRANTERS:
            result = run_trial(granter, options.nodes, options.callers, options.seconds)
            print(json.dumps(asdict(result)), flush=True)
            results.append(result)
    _print_table(results)


if __name__ == "__main__":
    main()

__all__ = ("TrialResult", "main", "run_trial")
