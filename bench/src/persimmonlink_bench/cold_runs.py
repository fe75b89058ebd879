"""Evaluates the runs that a stand-in server recorded while it was cold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

Run = dict[str, Any]


def find_peak_concurrency(runs: Sequence[Run]) -> int:
    """Return the largest number of concurrent runs."""
    peak = running = 0
    for _, change in _list_concurrency_changes(runs):
        running += change
        peak = max(peak, running)
    return peak


def find_last_overload(runs: Sequence[Run], capacity: int) -> float:
    """Return the start of the last run that exceeded `capacity`, or 0."""
    last = 0.0
    running = 0
    for at, change in _list_concurrency_changes(runs):
        running += change
        if change > 0 and running > capacity:
            last = at
    return last


def list_runs_until_warm(runs: Sequence[Run], since: float, warm_after: int) -> list:
    """Return the runs that started at or after `since`, until the server was warm.

    The server is warm after `warm_after` completed runs.
    """
    runs_since = [run for run in runs if run["started_at"] >= since]
    completion_times = sorted(
        r["finished_at"] for r in runs_since if r["outcome"] == "completed"
    )
    warm_at = (
        completion_times[warm_after - 1]
        if len(completion_times) >= warm_after
        else float("inf")
    )
    return [run for run in runs_since if run["started_at"] < warm_at]


def _list_concurrency_changes(runs: Sequence[Run]) -> list[tuple[float, int]]:
    changes = []
    for run in runs:
        ended_at = run["finished_at"] or float("inf")
        changes += [(run["started_at"], 1), (ended_at, -1)]
    return sorted(changes)


__all__ = ("find_last_overload", "find_peak_concurrency", "list_runs_until_warm")
