"""Results of the benchmark as a Markdown report."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_bench.figures import LATE_P99_LIMIT_S
from persimmonlink_bench.run_figures import RunFigures
from persimmonlink_bench.scenario import Scenario

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


@dataclass(frozen=True)
class RunResult:
    """The figures of one run.

    Parameters
    ----------
    policy : str
        Name of the policy.
    load : float
        Request rate relative to the capacity of the bottleneck service.
    seed : int
        Seed of the arrivals.
    figures : RunFigures
        Figures of the run.
    """

    policy: str
    load: float
    seed: int
    figures: RunFigures


@dataclass(frozen=True)
class Results:
    """All runs of one scenario.

    Parameters
    ----------
    name : str
        Name of the scenario.
    command : str
        Command that reproduces these results.
    scenario : Scenario
        The scenario.
    capacity_per_s : float
        Request rate that saturates the bottleneck service, in requests per second.
    runs : tuple of RunResult
        The runs, in the order of execution.
    not_run : dict of str to str
        Reasons of policies that were not run and of runs that failed, by name.
    """

    name: str
    command: str
    scenario: Scenario
    capacity_per_s: float
    runs: tuple[RunResult, ...]
    not_run: dict[str, str]

    def select(self, policy: str, load: float) -> list[RunFigures]:
        """Return the figures of all repeats of a policy at a load."""
        selected = []
        for run in self.runs:
            if run.policy == policy and run.load == load:
                selected.append(run.figures)
        return selected

    def list_policies(self) -> list[str]:
        """Return the names of the policies that were run, in order of first run."""
        return list(dict.fromkeys(run.policy for run in self.runs))


def format_report(results: Results, plots: Sequence[str]) -> str:
    """Return the report as Markdown.

    Parameters
    ----------
    results : Results
        The runs.
    plots : sequence of str
        File names of plots in the directory of the report.
    """
    scenario = results.scenario
    repeats = max(len(results.select(r.policy, r.load)) for r in results.runs)
    lines = [
        f"# {results.name}",
        "",
        f"{scenario.about}. {scenario.nodes} nodes, {scenario.duration_s:g} s a run of "
        f"which the first {scenario.warm_up_s:g} s are not counted, {repeats} repeats; "
        f"load 1 is {results.capacity_per_s:.1f} requests/s. Cells show the mean of "
        "the repeats, with the minimum and maximum in brackets.",
        "",
        "Command:",
        "",
        f"    {results.command}",
        "",
    ]
    for load in scenario.loads:
        lines += _format_load(results, load)
    for name, reason in results.not_run.items():
        lines += [f"Not run: {name}: {reason}", ""]
    lines += [f"![{plot}]({plot})" for plot in plots]
    return "\n".join([*lines, _EXPLANATION])


def _format_load(results: Results, load: float) -> list[str]:
    figures_by_policy = {
        policy: results.select(policy, load) for policy in results.list_policies()
    }
    figures_by_policy = {
        policy: figures for policy, figures in figures_by_policy.items() if figures
    }
    lines = [f"## Load {load:g}", ""]
    lines.append("| | " + " | ".join(figures_by_policy) + " |")
    lines.append("| --- |" + " ---: |" * len(figures_by_policy))
    all_figures = [one for figures in figures_by_policy.values() for one in figures]
    for title, get_value in _list_rows(all_figures):
        cells = [
            _format_cell([get_value(f) for f in fs])
            for fs in figures_by_policy.values()
        ]
        lines.append(f"| {title} | " + " | ".join(cells) + " |")
    cells = []
    for figures in figures_by_policy.values():
        invalid_count = sum(not one.valid for one in figures)
        cells.append(f"{len(figures) - invalid_count} of {len(figures)}")
    lines.append("| valid runs | " + " | ".join(cells) + " |")
    return [*lines, ""]


def _list_keys(all_figures: Sequence[RunFigures], name: str) -> list[str]:
    """Return the keys of a figure in any run, in order of first occurrence."""
    keys: dict[str, None] = {}
    for figures in all_figures:
        keys |= dict.fromkeys(getattr(figures, name))
    return list(keys)


def _list_rows(
    all_figures: Sequence[RunFigures],
) -> list[tuple[str, Callable[[RunFigures], float]]]:
    rows: list[tuple[str, Callable[[RunFigures], float]]] = [
        ("attainment, %", lambda f: 100 * f.attainment),
        ("offline bound, %", lambda f: 100 * f.bound),
    ]
    for title, name in (
        ("account", "attainment_by_account"),
        ("class", "attainment_by_class"),
        ("from", "attainment_by_window"),
    ):
        for key in _list_keys(all_figures, name):
            rows.append(
                (f"attainment, {title} {key}, %", _build_getter(name, key, 100))
            )
    rows.append(("goodput, requests/s", lambda f: f.goodput_per_s))
    for key in _list_keys(all_figures, "latency_s"):
        rows.append((f"latency {key}, s", _build_getter("latency_s", key, 1)))
    for key in _list_keys(all_figures, "share_by_account"):
        rows.append(
            (f"share over due, {key}", _build_getter("share_by_account", key, 1))
        )
    rows.append(("Jain's index of shares over due", lambda f: f.jain))
    for key in _list_keys(all_figures, "cost_by_stage"):
        rows.append(
            (f"slot seconds in time, {key}", _build_getter("cost_by_stage", key, 1))
        )
    rows += _COMMON_ROWS
    for key in sorted(_list_keys(all_figures, "outcomes")):
        rows.append(
            (f"answers with status/code {key}", _build_getter("outcomes", key, 1, 0))
        )
    return rows


_COMMON_ROWS: tuple[tuple[str, Callable[[RunFigures], float]], ...] = (
    ("cost of late answers, % of slot seconds", lambda f: 100 * f.late_cost),
    ("wasted cost, % of slot seconds", lambda f: 100 * f.wasted_cost),
    ("counted by nodes: cost, server seconds", lambda f: f.counted_cost),
    ("counted by nodes: wasted cost, server seconds", lambda f: f.counted_wasted_cost),
    ("processor time of a node, cores", lambda f: f.node_cpu),
    ("processor time a request, ms", lambda f: f.node_cpu_ms_per_request),
    ("memory of the largest node, MB", lambda f: f.node_rss_mb),
    ("most at once on a cold server", lambda f: f.peak_cold),
    ("cold servers that fell over", lambda f: f.fall_overs),
    ("wrong answers", lambda f: f.wrong_answers),
    ("requests counted", lambda f: f.requests),
    ("sent late, p99, ms", lambda f: 1000 * f.generator_late_p99_s),
    ("machine load before", lambda f: f.machine_load[0]),
    ("machine load after", lambda f: f.machine_load[1]),
)


def _build_getter(
    name: str, key: str, factor: float, missing: float = math.nan
) -> Callable[[RunFigures], float]:
    return lambda figures: factor * getattr(figures, name).get(key, missing)


def _format_cell(values: list[float]) -> str:
    mean = sum(values) / len(values)
    if math.isnan(mean) or min(values) == max(values):
        return _format_number(mean)
    low, high = _format_number(min(values)), _format_number(max(values))
    return f"{_format_number(mean)} [{low}, {high}]"


def _format_number(value: float) -> str:
    if math.isnan(value):
        return "none"
    if value == int(value) and abs(value) < 1e6:
        return str(int(value))
    return f"{value:.3f}" if abs(value) < 10 else f"{value:.1f}"


_EXPLANATION = f"""
Attainment is the fraction of requests that were answered completely before their
deadline, measured from the intended time of sending; a refused request counts as missed
and is not sent again. The offline bound, computed by `persimmonlink_bench.bound`, is
the attainment that no policy can exceed. Slot seconds and wasted cost come from the
servers' own records: time spent on requests whose correct answer was in time, late, or
never received. A share over due of 1 means that the account got its weighted max-min
share, by the demands, of what all accounts got in time. A run is valid if requests were
sent at their intended time: the 99th percentile of the delay is at most
{LATE_P99_LIMIT_S * 1000:.0f} ms.
"""

__all__ = ("Results", "RunResult", "format_report")
