"""Sends requests through a complete system on stand-ins and prints the outcomes."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import uuid6

from persimmonlink_bench.caller import Caller, CallOutcome
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.expected_output import compute_expected_output

if TYPE_CHECKING:
    from collections.abc import Sequence

USERS = ("trentside", "nilemark")
CONCURRENT_REQUESTS = 100
CONCURRENT_THREADS = 25
EXAMPLES = """\
examples:
  python -m persimmonlink_bench.demo
  python -m persimmonlink_bench.demo --user nilemark --requests 20
"""


@dataclass(frozen=True)
class DemoRequest:
    """A request of the demo.

    Parameters
    ----------
    pipeline : str
        Pipeline to run.
    account : str
        Client account that is charged.
    text : str
        Input of the pipeline.
    stream : bool
        Whether the answer is streamed.
    repeatable : bool
        Whether the request may be executed more than once.
    """

    pipeline: str
    account: str
    text: str
    stream: bool
    repeatable: bool


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the demo; return 0 without failures.

    Failures are incorrect answers, repeated runs of the ledger servers and nodes that
    exited with an error.
    """
    parser = argparse.ArgumentParser(
        prog="python -m persimmonlink_bench.demo",
        description="Run requests through four stages on stand-ins.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--user", choices=USERS, help="one user instead of both")
    parser.add_argument(
        "--requests",
        type=int,
        default=CONCURRENT_REQUESTS,
        help="requests sent at once (default: %(default)s)",
    )
    options = parser.parse_args(arguments)
    failures = 0
    for user in [options.user] if options.user else USERS:
        failures += _run_user(user, options.requests)
    print("all answers were correct" if not failures else f"{failures} FAILED")
    return 1 if failures else 0


def _run_user(user: str, count: int) -> int:
    print(f"== {user}: starting two nodes and the stand-ins")
    with Deployment(DeploymentPlan(user)) as deployment:
        specs = {
            (record["kind"], record["name"]): record["spec"]
            for record in deployment.records
        }
        pipelines = sorted(name for kind, name in specs if kind == "pipeline")
        accounts = sorted(name for kind, name in specs if kind == "account")
        caller = Caller([n.http_address for n in deployment.node_by_id.values()])
        failures = 0
        for pipeline in pipelines:
            repeatable = _is_repeatable(specs["pipeline", pipeline])
            request = DemoRequest(pipeline, accounts[0], "two tents", True, repeatable)
            failures += _run_request(caller, request, specs, verbose=True)
        requests = _build_requests(pipelines, accounts, specs, count)
        with ThreadPoolExecutor(CONCURRENT_THREADS) as pool:
            outcomes = pool.map(lambda r: _run_request(caller, r, specs), requests)
            failures += sum(outcomes)
        print(f"{count} concurrent requests: {failures} failures so far")
        failures += _count_repeated_runs(deployment)
        print("stopping all processes gracefully")
    return failures + sum(
        node.child.process.returncode != 0 for node in deployment.node_by_id.values()
    )


def _build_requests(
    pipelines: list[str], accounts: list[str], specs: dict, count: int
) -> list[DemoRequest]:
    requests = []
    for number in range(count):
        pipeline = pipelines[number % len(pipelines)]
        request = DemoRequest(
            pipeline,
            accounts[number % len(accounts)],
            f"request {number}",
            number % 2 == 0,
            _is_repeatable(specs["pipeline", pipeline]),
        )
        requests.append(request)
    return requests


def _run_request(
    caller: Caller, request: DemoRequest, specs: dict, *, verbose: bool = False
) -> int:
    outcome = caller.call(
        request.pipeline,
        {
            "account": request.account,
            "input": request.text,
            "stream": request.stream,
            "repeatable": request.repeatable,
            "request_id": "" if request.repeatable else str(uuid6.uuid7()),
            "deadline_ms": 20_000,
        },
    )
    stages = specs["pipeline", request.pipeline]["stages"]
    expected = compute_expected_output(stages, specs, request.text)
    is_correct = outcome.ok and outcome.output == expected
    if verbose or not is_correct:
        _print_outcome(request, outcome)
    return 0 if is_correct else 1


def _print_outcome(request: DemoRequest, outcome: CallOutcome) -> None:
    kind = "repeatable" if request.repeatable else "not repeatable"
    print(f"{request.pipeline} ({kind}) for {request.account}: {outcome.seconds:.3f} s")
    if not outcome.ok:
        print(f"  FAILED: {msgspec.json.encode(outcome.problem).decode()}")
        return
    for stage in outcome.stages:
        print(
            f"  {stage['stage']:<9} {stage['server_id']:<13} {stage['seconds']:.4f} s, "
            f"cost {stage['cost']:.4f} server seconds, attempts {stage['attempts']}"
        )
    print(f"  answer:{outcome.output}")


def _count_repeated_runs(deployment: Deployment) -> int:
    """Return the number of repeated runs that the ledger servers recorded."""
    runs = [run["request_id"] for run in deployment.read_runs("ledger")]
    repeated = len(runs) - len(set(runs))
    print(f"the ledger servers recorded {len(runs)} runs, {repeated} of them repeated")
    return repeated


def _is_repeatable(pipeline: dict[str, Any]) -> bool:
    return all(stage.get("repeatable", True) for stage in pipeline["stages"])


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("run",)
