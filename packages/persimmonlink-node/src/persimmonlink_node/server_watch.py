"""What this node learns of stages and servers from its own calls."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING, Protocol

from returns.result import Success

if TYPE_CHECKING:
    from returns.result import Result

    from persimmonlink_interfaces.stage_client import CallFailure, StageOutput
    from persimmonlink_model.record import StageSpec

COST_SMOOTHING = 0.1
FIRST_COST_S = 0.02
RETRY_BURST = 10.0


class ServerObserver(Protocol):
    """Told of each call; answers what stages are expected to cost."""

    def observe(
        self,
        stage: StageSpec,
        server_id: str,
        called: Result[StageOutput, CallFailure],
    ) -> None:
        """Take in how one call went."""
        ...

    def expect_cost(self, stage: StageSpec) -> float:
        """Return the expected cost of a stage, in server seconds."""
        ...

    def take_retry(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        ...

    def give_back_retry(self) -> None:
        """Give back a retry that was taken and not needed."""
        ...


class CallStatistics:
    """Mean cost by stage, and a retry budget that calls fill up.

    Parameters
    ----------
    retry_budget : float
        Retries that each first call earns.
    """

    def __init__(self, retry_budget: float) -> None:
        self._retry_budget = retry_budget
        self._lock = Lock()
        self._cost_by_stage: dict[str, float] = {}
        self._retries_left = RETRY_BURST

    def observe(
        self,
        stage: StageSpec,
        server_id: str,
        called: Result[StageOutput, CallFailure],
    ) -> None:
        """Take in how one call went."""
        if not isinstance(called, Success):
            return
        cost = called.unwrap().cost
        with self._lock:
            earned = self._retries_left + self._retry_budget
            self._retries_left = min(RETRY_BURST, earned)
            mean = self._cost_by_stage.get(stage.name, cost)
            mean += COST_SMOOTHING * (cost - mean)
            self._cost_by_stage[stage.name] = mean

    def expect_cost(self, stage: StageSpec) -> float:
        """Return the expected cost of a stage, in server seconds."""
        with self._lock:
            return self._cost_by_stage.get(stage.name, FIRST_COST_S)

    def take_retry(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        with self._lock:
            if self._retries_left < 1:
                return False
            self._retries_left -= 1
            return True

    def give_back_retry(self) -> None:
        """Give back a retry that was taken and not needed."""
        with self._lock:
            self._retries_left = min(RETRY_BURST, self._retries_left + 1)


__all__ = ("CallStatistics", "ServerObserver")
