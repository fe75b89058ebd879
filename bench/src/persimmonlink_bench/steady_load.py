"""Closed-loop load: callers that send requests one after another until stopped."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_bench.caller import Caller, CallOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

STOP_TIMEOUT_S = 15.0
PAUSE_AFTER_FAILURE_S = 0.05


@dataclass(frozen=True)
class LoadPlan:
    """The requests of a steady load.

    Parameters
    ----------
    pipeline : str
        Pipeline that is called.
    accounts : tuple of str
        Client accounts, assigned to the callers in round-robin order.
    callers : int
        Number of callers, and so of requests in flight.
    deadline_ms : int
        Deadline of each request, in milliseconds.
    """

    pipeline: str = "kit-return"
    accounts: tuple[str, ...] = ("festival-crew", "members-hire")
    callers: int = 16
    deadline_ms: int = 3000


class SteadyLoad:
    """Keeps a constant number of requests in flight while its context is open.

    `outcomes` holds the end of each call as a time of `time.time`, and its outcome.

    Parameters
    ----------
    addresses : sequence of str
        Nodes as `IP:PORT`; each caller uses one of them.
    plan : LoadPlan
        Requests to send.
    """

    def __init__(self, addresses: Sequence[str], plan: LoadPlan) -> None:
        self.outcomes: list[tuple[float, CallOutcome]] = []
        self._plan = plan
        self._started_at = 0.0
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._send_until_stopped,
                args=(addresses[n % len(addresses)], n),
                daemon=True,
            )
            for n in range(plan.callers)
        ]

    def __enter__(self) -> SteadyLoad:
        self._started_at = time.time()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(STOP_TIMEOUT_S)

    def count_complete(self, since: float = 0.0, until: float = float("inf")) -> int:
        """Count the complete answers received between two times of `time.time`."""
        return sum(o.ok for at, o in list(self.outcomes) if since <= at < until)

    def count_ended(self, since: float = 0.0, until: float = float("inf")) -> int:
        """Count the calls that ended between two times of `time.time`."""
        return sum(since <= at < until for at, _ in list(self.outcomes))

    def describe_failures(self) -> str:
        """Return how often calls failed, by node and cause, and when."""
        times_by_cause: dict[tuple[str, int, str], list[float]] = {}
        for at, outcome in list(self.outcomes):
            if outcome.ok:
                continue
            problem = outcome.problem or {}
            detail = f"{problem.get('code')}: {problem.get('detail')}"
            cause = (outcome.address, outcome.status, detail)
            times_by_cause.setdefault(cause, []).append(at)
        lines = []
        for (address, status, detail), times in times_by_cause.items():
            first_s = min(times) - self._started_at
            last_s = max(times) - self._started_at
            lines.append(
                f"{len(times)} x {address} status {status}, {detail}, "
                f"from {first_s:.2f} to {last_s:.2f} s"
            )
        return "\n".join([f"{self.count_ended()} calls", *lines])

    def _send_until_stopped(self, address: str, number: int) -> None:
        plan = self._plan
        caller = Caller([address])
        sent = 0
        while not self._stopped.is_set():
            sent += 1
            body = {
                "account": plan.accounts[number % len(plan.accounts)],
                "input": f"item {number} {sent}",
                "deadline_ms": plan.deadline_ms,
            }
            outcome = caller.call(plan.pipeline, body)
            self.outcomes.append((time.time(), outcome))
            if not outcome.ok:
                self._stopped.wait(PAUSE_AFTER_FAILURE_S)


__all__ = ("LoadPlan", "SteadyLoad")
