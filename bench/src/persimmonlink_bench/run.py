"""Entry point of the benchmark, which runs a scenario under several policies."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure as Err
from urllib3.exceptions import HTTPError

from persimmonlink_bench.figures import compute_figures
from persimmonlink_bench.plots import draw_plots
from persimmonlink_bench.report import Results, RunResult, format_report
from persimmonlink_bench.scenario import (
    Policy,
    Scenario,
    read_policies,
    read_scenario,
)
from persimmonlink_bench.trial import build_deployment, run_trial
from persimmonlink_bench.workload import Workload
from persimmonlink_model.validation import validate
from persimmonlink_node.settings import PolicySettings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_bench.run_figures import RunFigures
    from persimmonlink_model.validation import Fault

EXIT_BAD_INPUT = 2
EXIT_INVALID = 4
MAX_REPEATS = 10
DEFAULT_POLICIES = ("default",)
EXAMPLES = """\
examples:
  persimmonlink bench trentside-steady
  persimmonlink bench trentside-overload --policy ours --policy fifo --repeats 3
  persimmonlink bench my-scenario.json --seed 7 --out results

Starts nodes and stand-ins on the loopback interface, runs the scenario once per policy,
load and repeat, and writes results.json, report.md and plots. Exits 4 if a run failed,
or if requests of any run were sent late, which makes its figures invalid.
"""


def run(arguments: Sequence[str] | None = None) -> int:
    """Run a scenario under policies and write the results; return the exit code."""
    options = _parse_arguments(arguments)
    scenario_result = read_scenario(options.scenario)
    policies_result = read_policies()
    if isinstance(scenario_result, Err):
        return _print_faults(scenario_result.failure())
    if isinstance(policies_result, Err):
        return _print_faults(policies_result.failure())
    policy_by_name = policies_result.unwrap()
    policy_names = tuple(options.policy or DEFAULT_POLICIES)
    unknown = [name for name in policy_names if name not in policy_by_name]
    if unknown:
        allowed = ", ".join(policy_by_name)
        print(
            f"unknown policies: {', '.join(unknown)}; known policies: {allowed}",
            file=sys.stderr,
        )
        return EXIT_BAD_INPUT
    policies, not_run = _select_supported(
        [policy_by_name[name] for name in policy_names]
    )
    if not policies:
        print(f"no policy has valid settings: {not_run}", file=sys.stderr)
        return EXIT_BAD_INPUT
    scenario = scenario_result.unwrap()
    runs, error_by_label = _run_all(scenario, policies, options.repeats, options.seed)
    if not runs:
        return EXIT_INVALID
    deployment = build_deployment(scenario, policies[0])
    workload = Workload(scenario, deployment.records, deployment.list_backend_vms())
    name = Path(options.scenario).stem
    command = " ".join(
        ["persimmonlink bench", *_format_arguments(options, policy_names)]
    )
    results = Results(
        name,
        command,
        scenario,
        workload.capacity_per_s(),
        tuple(runs),
        not_run | error_by_label,
    )
    _write_results(results, Path(options.out) / name)
    valid = all(one.figures.valid for one in runs)
    return 0 if valid and not error_by_label else EXIT_INVALID


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="persimmonlink bench",
        description="Run a scenario under several policies and compare them.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("scenario", help="name in bench/scenarios, or a JSON file")
    parser.add_argument(
        "--policy",
        action="append",
        help="name in bench/policies.json; may be given several times",
    )
    parser.add_argument(
        "--repeats",
        type=int,
        default=3,
        choices=range(1, MAX_REPEATS + 1),
        metavar=f"1..{MAX_REPEATS}",
        help="runs of each policy and load (default: %(default)s)",
    )
    parser.add_argument(
        "--seed",
        type=int,
        default=1,
        help="seed of the first repeat, increased by 1 for each further repeat",
    )
    parser.add_argument("--out", default="bench-results", help="directory for results")
    return parser.parse_args(arguments)


def _format_arguments(
    options: argparse.Namespace, policy_names: Sequence[str]
) -> list[str]:
    words = [options.scenario]
    for name in policy_names:
        words += ["--policy", name]
    return [*words, "--repeats", str(options.repeats), "--seed", str(options.seed)]


def _print_faults(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(f"{fault.path}: {fault.message}".lstrip(": "), file=sys.stderr)
    return EXIT_BAD_INPUT


def _select_supported(
    policies: Sequence[Policy],
) -> tuple[list[Policy], dict[str, str]]:
    """Return the policies that the nodes' settings allow, and why others are not."""
    supported = []
    not_run = {}
    for policy in policies:
        validated = validate(
            policy.settings.get("policy", {}), PolicySettings, "policy"
        )
        if isinstance(validated, Err):
            fault = validated.failure()[0]
            not_run[policy.name] = f"{fault.path}: {fault.message}"
            continue
        supported.append(policy)
    return supported, not_run


def _run_all(
    scenario: Scenario, policies: Sequence[Policy], repeats: int, seed: int
) -> tuple[list[RunResult], dict[str, str]]:
    """Run all loads and policies of a repeat before the next repeat.

    A change of the machine's conditions then affects the policies of a repeat alike.
    Returns the results, and the errors of failed runs by their labels.
    """
    results: list[RunResult] = []
    error_by_label: dict[str, str] = {}
    total = len(scenario.loads) * repeats * len(policies)
    for repeat in range(repeats):
        for load in scenario.loads:
            for policy in policies:
                number = len(results) + len(error_by_label) + 1
                label = f"run {number}/{total}: load {load:g}, {policy.name}"
                print_progress = _create_progress_printer(label)
                try:
                    trial = run_trial(
                        scenario, policy, load, seed + repeat, print_progress
                    )
                except (RuntimeError, OSError, HTTPError) as error:
                    error_by_label[label] = f"{type(error).__name__}: {error}"
                    print(f"\r{label}: failed: {error}", file=sys.stderr)
                    continue
                figures = compute_figures(trial)
                print(f"\r{label}: {_summarize(figures)}", file=sys.stderr)
                results.append(RunResult(policy.name, load, seed + repeat, figures))
    return results, error_by_label


def _create_progress_printer(label: str) -> Callable[[str], None]:
    started_at = time.monotonic()

    def print_progress(text: str) -> None:
        if sys.stderr.isatty():
            elapsed_s = time.monotonic() - started_at
            print(f"\r{label}: {text} ({elapsed_s:.0f} s)", end="", file=sys.stderr)

    return print_progress


def _summarize(figures: RunFigures) -> str:
    valid = "" if figures.valid else ", NOT VALID: requests were sent late"
    return (
        f"attainment {100 * figures.attainment:.1f} % of at most "
        f"{100 * figures.bound:.1f} %, goodput {figures.goodput_per_s:.1f}/s, "
        f"Jain {figures.jain:.3f}, wasted {100 * figures.wasted_cost:.1f} %, "
        f"late p99 {1000 * figures.generator_late_p99_s:.0f} ms{valid}"
    )


def _write_results(results: Results, directory: Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    plots = draw_plots(results, directory)
    raw = json.loads(msgspec.json.encode(results))
    (directory / "results.json").write_text(json.dumps(raw, indent=1) + "\n")
    (directory / "report.md").write_text(format_report(results, plots))
    print(f"{directory / 'report.md'}")


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("run",)
