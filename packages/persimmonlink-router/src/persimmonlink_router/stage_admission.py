"""Decides at arrival whether a request's stages can be run in time.

Answers for bursts above what the stage servers can run: a request that would come too
late is refused at once and told when there will be room, instead of taking room from
those that can still be on time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.stage_queue import estimate_call_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_router.configuration import BatchSpec
    from persimmonlink_router.stage_chain import StageJob

SHARE_WINDOW_S = 10.0  # Window over which the shares of accounts are compared.
OVER_SHARE_PATIENCE = 0.8  # Part of the time left that an account over its share gets.
OVER_SHARE_FACTOR = 1.5  # Use above the mean at which an account is over its share.
MIN_RETRY_AFTER_S = 0.2  # Shortest time after which a refused client comes back.
MAX_RETRY_AFTER_S = 3.0  # Longest; clients wait up to a third of the time they have.


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What a stage service has to do.

    Parameters
    ----------
    spec : BatchSpec
        How its servers batch pieces.
    servers : float
        Servers that take work, slow ones counted in part.
    pieces_by_priority : Mapping of int to int
        Pieces of admitted requests that have not been started.
    busy_s : float
        Time until a server is free, in seconds.
    """

    spec: BatchSpec
    servers: float
    pieces_by_priority: Mapping[int, int]
    busy_s: float

    def wait_s(self, priority: int) -> float:
        """Return the time until pieces of a priority are started, in seconds."""
        if self.servers <= 0:
            return float("inf")
        ahead = sum(n for p, n in self.pieces_by_priority.items() if p <= priority)
        full_s = estimate_call_s(self.spec, self.spec.size)
        rate = self.servers * self.spec.size / full_s
        return ahead / rate + self.busy_s


@dataclass(frozen=True, slots=True)
class Admission:
    """What was decided, and what it was decided from.

    Parameters
    ----------
    is_admitted : bool
        Whether the request is taken.
    predicted_s : float
        Predicted time to the first event, in seconds.
    retry_after_s : float
        When to come back, in seconds, if it is not taken.
    """

    is_admitted: bool
    predicted_s: float
    retry_after_s: float = 0.0


class AccountShares:
    """What each client account had admitted lately, in seconds of servers."""

    def __init__(self) -> None:
        self._grants: deque[tuple[float, str, float]] = deque()
        self._cost_by_account: dict[str, float] = {}

    def note(self, account: str, cost_s: float, now: float) -> None:
        """Count an admitted request."""
        self._grants.append((now, account, cost_s))
        self._cost_by_account[account] = self._cost_by_account.get(account, 0) + cost_s

    def is_over(self, account: str, now: float) -> bool:
        """Whether an account has had well over an equal share."""
        while self._grants and self._grants[0][0] <= now - SHARE_WINDOW_S:
            _, old, cost_s = self._grants.popleft()
            self._cost_by_account[old] -= cost_s
            if self._cost_by_account[old] <= 1e-9:
                del self._cost_by_account[old]
        if len(self._cost_by_account) < 2:
            return False
        mean = sum(self._cost_by_account.values()) / len(self._cost_by_account)
        return self._cost_by_account.get(account, 0.0) > OVER_SHARE_FACTOR * mean


def predict_s(job: StageJob, load_by_service: Mapping[str, ServiceLoad]) -> float:
    """Return the predicted time to the first event, in seconds."""
    end_by_stage: dict[int, float] = {}
    for index in _order(job):
        need = job.stages[index]
        start = max((end_by_stage[i] for i in need.after), default=0.0)
        load = load_by_service.get(need.service)
        if need.pieces == 0:
            end_by_stage[index] = start
            continue
        if load is None:
            return float("inf")
        start = max(start, load.wait_s(job.priority))
        calls = -(-need.pieces // load.spec.size)
        rounds = -(-calls // max(1, int(load.servers)))
        pieces = min(need.pieces, load.spec.size)
        end_by_stage[index] = start + rounds * estimate_call_s(load.spec, pieces)
    return max(end_by_stage.values(), default=0.0) + job.answer_s


def decide(
    job: StageJob, load_by_service: Mapping[str, ServiceLoad], *, is_over_share: bool
) -> Admission:
    """Decide whether a request's stages are run."""
    predicted_s = predict_s(job, load_by_service)
    patience_s = job.objective_left_s
    if is_over_share:
        patience_s *= OVER_SHARE_PATIENCE
    if predicted_s <= patience_s:
        return Admission(True, predicted_s)
    if predicted_s == float("inf"):
        return Admission(False, predicted_s, 1.0)
    excess_s = max(MIN_RETRY_AFTER_S, predicted_s - patience_s)
    return Admission(False, predicted_s, min(MAX_RETRY_AFTER_S, excess_s))


def _order(job: StageJob) -> list[int]:
    """Return the stages so that each comes after those it needs."""
    order: list[int] = []
    left = list(range(len(job.stages)))
    while left:
        ready = [i for i in left if all(o in order for o in job.stages[i].after)]
        if not ready:
            return order
        order.extend(ready)
        left = [i for i in left if i not in ready]
    return order


__all__ = (
    "AccountShares",
    "Admission",
    "ServiceLoad",
    "decide",
    "predict_s",
)
