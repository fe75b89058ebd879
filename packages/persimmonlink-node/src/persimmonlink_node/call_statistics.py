"""Stage costs and the retry budget, derived from this node's calls."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING, Protocol

from returns.result import Success

if TYPE_CHECKING:
    from returns.result import Result

    from persimmonlink_interfaces.stage_client import CallFailure, StageOutput
    from persimmonlink_model.record import StageSpec

COST_EWMA_WEIGHT = 0.1
INITIAL_COST_S = 0.02
MAX_SAVED_RETRIES = 10.0  # Upper limit and initial value of the retry budget.


class CallObserver(Protocol):
    """Records call results, estimates stage costs and keeps the retry budget."""

    def observe(
        self,
        stage: StageSpec,
        server_id: str,
        called: Result[StageOutput, CallFailure],
    ) -> None:
        """Record the result of a call."""
        ...

    def estimate_cost(self, stage: StageSpec) -> float:
        """Return the expected cost of a stage, in server seconds."""
        ...

    def acquire_retry(self) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted."""
        ...

    def release_retry(self) -> None:
        """Return an unused retry to the budget."""
        ...


class CallStatistics:
    """Mean cost of each stage, and a retry budget refilled by successful calls.

    Parameters
    ----------
    retry_budget : float
        Retries that each successful call adds to the budget.
    """

    def __init__(self, retry_budget: float) -> None:
        self._retry_budget = retry_budget
        self._lock = Lock()
        self._cost_by_stage: dict[str, float] = {}
        self._available_retries = MAX_SAVED_RETRIES

    def observe(
        self,
        stage: StageSpec,
        server_id: str,
        called: Result[StageOutput, CallFailure],
    ) -> None:
        """Record the result of a call."""
        if not isinstance(called, Success):
            return
        cost = called.unwrap().cost
        with self._lock:
            available = self._available_retries + self._retry_budget
            self._available_retries = min(MAX_SAVED_RETRIES, available)
            mean = self._cost_by_stage.get(stage.name, cost)
            mean += COST_EWMA_WEIGHT * (cost - mean)
            self._cost_by_stage[stage.name] = mean

    def estimate_cost(self, stage: StageSpec) -> float:
        """Return the expected cost of a stage, in server seconds."""
        with self._lock:
            return self._cost_by_stage.get(stage.name, INITIAL_COST_S)

    def acquire_retry(self) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted."""
        with self._lock:
            if self._available_retries < 1:
                return False
            self._available_retries -= 1
            return True

    def release_retry(self) -> None:
        """Return an unused retry to the budget."""
        with self._lock:
            self._available_retries = min(
                MAX_SAVED_RETRIES, self._available_retries + 1
            )


__all__ = ("CallObserver", "CallStatistics")
