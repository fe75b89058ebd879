"""Plots of the benchmark's results."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

from persimmonlink_bench.run_figures import TIMELINE_STEP_S

if TYPE_CHECKING:
    from pathlib import Path

    from persimmonlink_bench.report import Results

DOTS_PER_INCH = 90


def draw_plots(results: Results, directory: Path) -> list[str]:
    """Draw all plots of the results; return their file names."""
    names = []
    for load in results.scenario.loads:
        names.append(
            _draw_bars_by_account(results, load, "attainment_by_account", directory)
        )
        names.append(
            _draw_bars_by_account(results, load, "share_by_account", directory)
        )
        if results.scenario.events:
            names.append(_draw_timeline(results, load, directory))
    return names


def _draw_bars_by_account(
    results: Results, load: float, name: str, directory: Path
) -> str:
    """Draw a bar per account and policy: mean of the repeats, with their range."""
    figure, axes = plt.subplots(figsize=(8, 3.2))
    policies = results.list_policies()
    width = 0.8 / len(policies)
    accounts: list[str] = []
    for number, policy in enumerate(policies):
        repeats = [getattr(f, name) for f in results.select(policy, load)]
        accounts = sorted(repeats[0])
        means, errors_below, errors_above = [], [], []
        for account in accounts:
            values = [one.get(account, 0.0) for one in repeats]
            mean = sum(values) / len(values)
            means.append(mean)
            errors_below.append(mean - min(values))
            errors_above.append(max(values) - mean)
        positions = [position + number * width for position in range(len(accounts))]
        axes.bar(
            positions,
            means,
            width,
            yerr=[errors_below, errors_above],
            capsize=2,
            label=policy,
        )
    axes.set_xticks(
        [position + 0.4 - width / 2 for position in range(len(accounts))], accounts
    )
    axes.set_ylabel(name.replace("_", " "))
    axes.set_title(f"{results.name}, load {load:g}")
    axes.legend(fontsize=7, loc="lower right")
    return _save_figure(figure, directory / f"{name}-{load:g}.png")


def _draw_timeline(results: Results, load: float, directory: Path) -> str:
    figure, axes = plt.subplots(figsize=(8, 3.2))
    for policy in results.list_policies():
        timelines = [f.timeline for f in results.select(policy, load)]
        times, means = [], []
        for position, values in enumerate(zip(*timelines, strict=True)):
            measured = [value for value in values if value is not None]
            if measured:
                times.append((position + 0.5) * TIMELINE_STEP_S)
                means.append(sum(measured) / len(measured))
        axes.plot(times, means, marker=".", label=policy)
    for event in results.scenario.events:
        axes.axvline(event.at_s, color="grey", linewidth=0.8)
        label = f" {event.action.value} {event.target}"
        axes.text(event.at_s, 0.02, label, fontsize=7)
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("time of arrival, s")
    axes.set_ylabel("attainment")
    axes.set_title(f"{results.name}, load {load:g}")
    axes.legend(fontsize=7, loc="lower right")
    return _save_figure(figure, directory / f"timeline-{load:g}.png")


def _save_figure(figure: plt.Figure, path: Path) -> str:
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
    return path.name


__all__ = ("draw_plots",)
