"""Warm-up state, ledger of runs and delayed load report of a backend server."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

MAX_SNAPSHOTS = 5000  # Load reports kept until they are old enough to be shown.


class WarmUpState:
    """Tracks whether a server is warm, and its concurrency limit while cold.

    Parameters
    ----------
    warm : bool
        Whether the server starts warm.
    max_running_cold : int
        Concurrent runs that it sustains while cold.
    warm_after : int
        Completed runs after which it is warm.
    """

    def __init__(self, *, warm: bool, max_running_cold: int, warm_after: int) -> None:
        self.warm = warm
        self.incarnation = uuid4().hex[:12]
        self._max_running_cold = max_running_cold
        self._warm_after = warm_after
        self._completions = 0

    def is_overloaded(self, running: int) -> bool:
        """Return whether this many concurrent runs crash the server."""
        return not self.warm and running > self._max_running_cold

    def count_completion(self) -> None:
        """Count a completed run; enough of them make the server warm."""
        self._completions += 1
        if self._completions >= self._warm_after:
            self.warm = True

    def restart(self, *, warm: bool = False) -> None:
        """Start a new incarnation, cold by default."""
        self.warm = warm
        self.incarnation = uuid4().hex[:12]
        self._completions = 0


@dataclass
class Run:
    """One run that the server started."""

    request_id: str
    name: str
    account: str
    started_at: float
    finished_at: float | None = None
    outcome: str | None = None
    tokens: int = 0


class Ledger:
    """Record of all runs of a server; callers hold the server's lock.

    Parameters
    ----------
    run_name_field : str
        JSON field for the name of what ran, such as ``stage`` or ``model``.
    """

    def __init__(self, run_name_field: str) -> None:
        self._run_name_field = run_name_field
        self._runs: list[Run] = []
        self.orders: list[dict[str, Any]] = []
        self.peak_running = 0
        self.peak_running_cold = 0
        self.fall_overs = 0

    def start(self, request_id: str, name: str, account: str) -> Run:
        """Record the start of a run."""
        run = Run(request_id, name, account, time.time())
        self._runs.append(run)
        return run

    def finish(self, run: Run, outcome: str) -> None:
        """Record the end and outcome of a run."""
        run.finished_at = time.time()
        run.outcome = outcome

    def record_running(self, running: int, *, warm: bool) -> None:
        """Update the peak concurrency."""
        self.peak_running = max(self.peak_running, running)
        if not warm:
            self.peak_running_cold = max(self.peak_running_cold, running)

    def report(self) -> dict[str, Any]:
        """Build the whole ledger as JSON."""
        runs = []
        for run in self._runs:
            runs.append(
                {
                    "request_id": run.request_id,
                    self._run_name_field: run.name,
                    "account": run.account,
                    "started_at": run.started_at,
                    "finished_at": run.finished_at,
                    "outcome": run.outcome,
                    "tokens": run.tokens,
                }
            )
        return {
            "runs": runs,
            "peak_running": self.peak_running,
            "peak_running_cold": self.peak_running_cold,
            "fall_overs": self.fall_overs,
            "cancelled": sum(run.outcome == "cancelled" for run in self._runs),
            "tokens": sum(run.tokens for run in self._runs),
            "orders": self.orders,
        }


class LaggingReport:
    """Load report that is shown with a delay.

    Parameters
    ----------
    lag_s : float
        Seconds until a snapshot is shown.
    initial : dict
        Snapshot shown from the start.
    """

    def __init__(self, lag_s: float, initial: dict[str, Any]) -> None:
        self._lag_s = lag_s
        self._snapshots: deque[tuple[float, dict[str, Any]]] = deque(
            [(0.0, initial)], maxlen=MAX_SNAPSHOTS
        )

    def record(self, snapshot: dict[str, Any]) -> None:
        """Store the current snapshot if it differs from the last one."""
        if self._snapshots[-1][1] != snapshot:
            self._snapshots.append((time.monotonic(), snapshot))

    def read(self) -> dict[str, Any]:
        """Return the newest snapshot that is at least `lag_s` old."""
        visible_before = time.monotonic() - self._lag_s
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= visible_before:
            self._snapshots.popleft()
        return self._snapshots[0][1]


__all__ = ["LaggingReport", "Ledger", "Run", "WarmUpState"]
