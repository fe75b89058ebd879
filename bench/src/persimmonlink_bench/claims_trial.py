"""Measures the cost of claims: key-value writes and added latency."""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import uuid6

from persimmonlink_bench.caller import Caller
from persimmonlink_bench.deployment import Deployment, DeploymentPlan

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_bench.caller import CallOutcome

PIPELINE = "booking-only"
PIPELINE_RECORD = {
    "kind": "pipeline",
    "name": PIPELINE,
    "spec": {
        "deadline_ms": 3000,
        "stages": [{"name": "book", "service": "ledger", "repeatable": False}],
    },
}
CALLER_THREADS = 128
WARM_UP_REQUESTS = 64
SETTLE_S = 1.0
CLAIM_MODES = ("log", "key_per_claim")
PINNED = "pinned"
EXAMPLES = """\
examples:
  python -m persimmonlink_bench.claims_trial
  python -m persimmonlink_bench.claims_trial --rate 50 --nodes 2 --seconds 5
  python -m persimmonlink_bench.claims_trial --json
"""


@dataclass(frozen=True)
class ClaimFigures:
    """Figures of one run; times in milliseconds.

    Parameters
    ----------
    mode : str
        Claim mode: `log`, `key_per_claim`, or `pinned`, where request ids carry the
        id prefix of the node that they are sent to, so that no claim is needed.
    requests : int
        Requests sent.
    whole : int
        Requests with a complete answer.
    ledger_runs : int
        Runs that the ledger service recorded for these requests.
    doubled : int
        Requests that the ledger service ran more than once.
    writes : int
        Write transactions counted by the key-value service.
    leases : int
        Leases granted by the key-value service.
    writes_per_claim : float
        Writes and lease grants per request.
    claim_p50, claim_p99 : float
        Time that requests waited for their claims: median of the nodes' 50th
        percentiles, and the largest of their 99th; 0 for `pinned`.
    answer_p50, answer_p99 : float
        Time from the intended sending to the end of the answer.
    """

    mode: str
    requests: int
    whole: int
    ledger_runs: int
    doubled: int
    writes: int
    leases: int
    writes_per_claim: float
    claim_p50: float
    claim_p99: float
    answer_p50: float
    answer_p99: float


class ClaimsTrial:
    """Sends bookings to all nodes of a deployment with Poisson arrivals.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    rate : float
        Mean request rate, in requests per second.
    seconds : float
        Duration of sending, in seconds.
    seed : int
        Seed of the arrivals.
    """

    def __init__(
        self, deployment: Deployment, rate: float, seconds: float, seed: int
    ) -> None:
        self._deployment = deployment
        self._rate = rate
        self._seconds = seconds
        self._seed = seed
        self._nodes = list(deployment.node_by_id.values())
        self._addresses = [node.http_address for node in self._nodes]
        self._caller = Caller(self._addresses)

    def run(self, mode: str) -> ClaimFigures:
        """Warm up, send the requests and return the figures."""
        for _ in range(WARM_UP_REQUESTS):
            self._call(str(uuid6.uuid7()), time.monotonic())
        time.sleep(SETTLE_S)
        before = self._read_key_value_counts()
        planned = self._plan_requests(mode)
        answers = self._send_requests(planned)
        after = self._read_key_value_counts()
        writes = after["writes"] - before["writes"]
        leases = after["leases"] - before["leases"]
        run_count_by_id = self._count_runs({request_id for _, request_id in planned})
        seconds = sorted(seconds for seconds, _ in answers)
        claim_times = [self._read_claim_times(node) for node in self._nodes]
        return ClaimFigures(
            mode,
            len(planned),
            sum(outcome.ok for _, outcome in answers),
            sum(run_count_by_id.values()),
            sum(runs > 1 for runs in run_count_by_id.values()),
            writes,
            leases,
            (writes + leases) / len(planned),
            0.0 if mode == PINNED else statistics.median(c[0] for c in claim_times),
            0.0 if mode == PINNED else max(c[1] for c in claim_times),
            _quantile(seconds, 0.5) * 1000,
            _quantile(seconds, 0.99) * 1000,
        )

    def _plan_requests(self, mode: str) -> list[tuple[float, str]]:
        """Return each request's intended time, in seconds from the start, and id."""
        prefixes = [""] * len(self._nodes)
        if mode == PINNED:
            prefixes = [self._read_id_prefix(node) for node in self._nodes]
        rng = random.Random(self._seed)
        planned: list[tuple[float, str]] = []
        at_s = rng.expovariate(self._rate)
        while at_s < self._seconds:
            prefix = prefixes[len(planned) % len(prefixes)]
            planned.append((at_s, prefix + str(uuid6.uuid7())))
            at_s += rng.expovariate(self._rate)
        return planned

    def _send_requests(
        self, planned: Sequence[tuple[float, str]]
    ) -> list[tuple[float, CallOutcome]]:
        started_at = time.monotonic()
        with ThreadPoolExecutor(CALLER_THREADS) as pool:
            futures = []
            for number, (at_s, request_id) in enumerate(planned):
                intended_at = started_at + at_s
                time.sleep(max(0.0, intended_at - time.monotonic()))
                address = self._addresses[number % len(self._addresses)]
                futures.append(
                    pool.submit(self._call, request_id, intended_at, address=address)
                )
            return [future.result() for future in futures]

    def _call(
        self, request_id: str, intended_at: float, address: str = ""
    ) -> tuple[float, CallOutcome]:
        body = {
            "account": "festival-crew",
            "input": request_id,
            "request_id": request_id,
            "repeatable": False,
        }
        outcome = self._caller.call(PIPELINE, body, address)
        return time.monotonic() - intended_at, outcome

    def _read_key_value_counts(self) -> dict[str, int]:
        ledger = self._deployment.read_ledger("key_value")
        return {"writes": ledger["writes"], "leases": ledger["calls"].get("grant", 0)}

    def _count_runs(self, request_ids: set[str]) -> dict[str, int]:
        run_count_by_id: dict[str, int] = {}
        for run in self._deployment.read_runs("ledger"):
            request_id = run["request_id"].partition("/")[0]
            if request_id in request_ids:
                run_count_by_id[request_id] = run_count_by_id.get(request_id, 0) + 1
        return run_count_by_id

    def _read_id_prefix(self, node: Any) -> str:
        return self._deployment.request("GET", node, "/v1/entry")[1]["id_prefix"]

    def _read_claim_times(self, node: Any) -> tuple[float, float]:
        metrics = self._deployment.request("GET", node, "/v1/admin/metrics")[1]
        claim = metrics["histograms"]["claim"]
        return claim["p50"] * 1000, claim["p99"] * 1000


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the trial; return 0 if every request was executed exactly once."""
    parser = argparse.ArgumentParser(
        prog="python -m persimmonlink_bench.claims_trial",
        description=__doc__,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of each run"
    )
    parser.add_argument("--shards", type=int, default=8)
    parser.add_argument("--appends-per-s", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mode", choices=CLAIM_MODES, action="append")
    parser.add_argument("--json", action="store_true", help="print JSON lines")
    options = parser.parse_args(arguments)
    figures = []
    for mode in options.mode or CLAIM_MODES:
        print(f"measuring {mode}", file=sys.stderr)
        figures += _measure_mode(mode, options)
    for one in figures:
        print(json.dumps(asdict(one)) if options.json else _format_figures(one))
    print(f"load average at the end: {os.getloadavg()[0]:.1f}", file=sys.stderr)
    ran_exactly_once = all(
        f.requests == f.ledger_runs and not f.doubled for f in figures
    )
    return 0 if ran_exactly_once else 1


def _measure_mode(mode: str, options: argparse.Namespace) -> list[ClaimFigures]:
    claims = {
        "mode": mode,
        "shards": options.shards,
        "appends_per_s": options.appends_per_s,
    }
    plan = DeploymentPlan(
        "trentside", node_count=options.nodes, settings={"claims": claims}
    )
    with Deployment(plan) as deployment:
        deployment.apply_configuration([PIPELINE_RECORD])
        time.sleep(SETTLE_S)
        trial = ClaimsTrial(deployment, options.rate, options.seconds, options.seed)
        figures = [trial.run(mode)]
        if mode == CLAIM_MODES[0]:
            figures.append(trial.run(PINNED))
        return figures


def _quantile(ordered: Sequence[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _format_figures(figures: ClaimFigures) -> str:
    return (
        f"{figures.mode:>13}: {figures.requests} requests, {figures.whole} complete, "
        f"{figures.ledger_runs} runs, {figures.doubled} run more than once; "
        f"{figures.writes_per_claim:.3f} writes/claim "
        f"({figures.writes} writes, {figures.leases} leases); "
        f"claim p50 {figures.claim_p50:.0f} ms, p99 {figures.claim_p99:.0f} ms; "
        f"answer p50 {figures.answer_p50:.0f} ms, p99 {figures.answer_p99:.0f} ms"
    )


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("ClaimFigures", "ClaimsTrial", "run")
