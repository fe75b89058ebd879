"""Measures how long configuration changes take to apply, and their key-value load."""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from persimmonlink_bench.deployment import Deployment, DeploymentPlan

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

NODE_COUNTS = (2, 4, 8)
DEFAULT_CHANGES = 20
SETTLE_S = 4.0
IDLE_S = 8.0
OUTAGE_S = 5.0
POLL_INTERVAL_S = 0.005
WAIT_TIMEOUT_S = 30.0
ACCOUNT = "repair-shed"
DOMAIN = "midlands-c"
EXAMPLES = """\
examples:
  python -m persimmonlink_bench.config_trial
  python -m persimmonlink_bench.config_trial --nodes 8 --changes 20
"""


class ConfigTrial:
    """Measures configuration changes in one cluster.

    Parameters
    ----------
    deployment : Deployment
        A running cluster.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._nodes = list(deployment.node_by_id.values())
        self._pool = ThreadPoolExecutor(len(self._nodes))

    def run(self, changes: int) -> dict[str, Any]:
        """Return change times in seconds and key-value calls per second."""
        time.sleep(SETTLE_S)
        return {
            "nodes": len(self._nodes),
            "change": _summarize(
                [self._time_account_change(n) for n in range(changes)]
            ),
            "drain": _summarize([self._time_domain_drain(n) for n in range(6)]),
            "idle": self._measure_call_rates(IDLE_S),
            "outage": self._measure_outage(),
        }

    def _time_account_change(self, number: int) -> float:
        """Return the time until all nodes apply an account change, in seconds."""
        body = {
            "change_id": f"trial-{number}-{time.time_ns()}",
            "spec": {"weight": 1.0 + number},
        }
        return self._time_record_change(number, f"account/{ACCOUNT}", body)

    def _time_domain_drain(self, number: int) -> float:
        """Return the time until all nodes apply a drain or its end, in seconds.

        Changes with even numbers drain the domain, odd ones return it to service.
        """
        body = {
            "change_id": f"drain-{number}-{time.time_ns()}",
            "spec": {"state": "in_service" if number % 2 else "drained"},
        }
        return self._time_record_change(number, f"domain/{DOMAIN}", body)

    def _time_record_change(
        self, number: int, path: str, body: dict[str, Any]
    ) -> float:
        node = self._nodes[number % len(self._nodes)]
        started_at = time.monotonic()
        revision = _wait_for(lambda: self._put_record(node, path, body))
        _wait_for(lambda: self._is_in_force(path, revision))
        return time.monotonic() - started_at

    def _put_record(self, node: Any, path: str, body: dict[str, Any]) -> int:
        response = self._deployment.request(
            "PUT", node, f"/v1/admin/records/{path}", body
        )
        return response[1]["revision"] if response[0] == 200 else 0

    def _is_in_force(self, path: str, revision: int) -> bool:
        statuses = self._pool.map(self._read_status, self._nodes)
        return all(s["in_force_revisions"].get(path, 0) >= revision for s in statuses)

    def _read_status(self, node: Any) -> Any:
        return self._deployment.request("GET", node, "/v1/admin/status")[1]

    def _measure_call_rates(self, seconds: float) -> dict[str, float]:
        before = self._deployment.read_ledger("key_value")
        time.sleep(seconds)
        after = self._deployment.read_ledger("key_value")
        calls = sum(after["calls"].values()) - sum(before["calls"].values())
        refused = after["refused"] - before["refused"]
        return {
            "calls_per_s": round(calls / seconds, 2),
            "refused_per_s": round(refused / seconds, 2),
            "watches_open": after["watches_open"],
        }

    def _measure_outage(self) -> dict[str, Any]:
        """Measure calls during a key-value outage, and a change sent while it lasts."""
        self._deployment.inject_fault("key_value", "outage", seconds=OUTAGE_S)
        started_at = time.monotonic()
        call_rates = self._measure_call_rates(OUTAGE_S - 1.0)
        fresh_nodes = sum(
            s["view"]["fresh"] for s in map(self._read_status, self._nodes)
        )
        self._time_account_change(1000)
        after_end_s = time.monotonic() - started_at - OUTAGE_S
        return {
            **call_rates,
            "fresh_nodes": fresh_nodes,
            "in_force_after_end_s": round(after_end_s, 3),
        }


def _wait_for(condition: Callable[[], Any]) -> Any:
    timeout_at = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < timeout_at:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"condition not met within {WAIT_TIMEOUT_S} s")


def _summarize(seconds: list[float]) -> dict[str, float]:
    return {
        "count": len(seconds),
        "p50_s": round(statistics.median(seconds), 3),
        "max_s": round(max(seconds), 3),
    }


def run(argv: Sequence[str] | None = None) -> int:
    """Measure clusters of several sizes and print JSON; return the exit code."""
    parser = argparse.ArgumentParser(
        description=run.__doc__,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--nodes", type=int, nargs="+", default=list(NODE_COUNTS))
    parser.add_argument("--changes", type=int, default=DEFAULT_CHANGES)
    options = parser.parse_args(argv)
    for node_count in options.nodes:
        plan = DeploymentPlan("trentside", node_count=node_count)
        with Deployment(plan) as deployment:
            result = ConfigTrial(deployment).run(options.changes)
        print(json.dumps(result), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("ConfigTrial", "run")
