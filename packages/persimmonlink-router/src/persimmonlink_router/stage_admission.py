"""Decides on arrival whether a request's stages can be run in time.

In bursts above the capacity of the stage servers, a request that would be too late is
refused at once with a time to retry, so that it takes no capacity from requests that
can still be on time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from persimmonlink_router.configuration import BatchSpec
from persimmonlink_router.stage_queue import estimate_call_s
from persimmonlink_router.stage_servers import INITIAL_FILL_FRACTION

if TYPE_CHECKING:
    from persimmonlink_router.stage_job import StageJob, StageNeed

RATE_WINDOW_S = 2.0  # Time constant of the moving average of the arrival rate.
SHARE_WINDOW_S = 10.0  # Window over which the server time of accounts is compared.
# Part of the time limit that applies to requests of an account over its share.
OVER_SHARE_TIME_FRACTION = 0.8
# An account is over its share above this multiple of the mean use by accounts.
OVER_SHARE_FACTOR = 1.5
# Smallest part of the servers' rate that a prediction leaves to a request after the
# more urgent requests that are still to arrive.
MIN_RATE_FRACTION = 0.3
# A late request is started only if at most this many full batches per server wait,
# its own pieces included.
SLACK_BATCHES_PER_SERVER = 0.7
# A request counts as on time if its first event is predicted within this part of the
# time left to its objective.
ON_TIME_FRACTION = 0.95
# A late request is admitted only if its first event is predicted within this part of
# the time to its deadline; any request that has not started by then is abandoned.
LATE_DEADLINE_FRACTION = 0.4
MIN_RETRY_AFTER_S = 0.5  # Shortest wait proposed before a refused request is retried.
NO_SERVER_RETRY_AFTER_S = 1.0  # Wait proposed if no server takes work of a stage.
# Longest wait proposed; clients honour up to a third of the time to their deadline.
MAX_RETRY_AFTER_S = 3.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Capacity of a stage service, and the work that waits for it.

    Parameters
    ----------
    spec : BatchSpec
        Batching parameters of the servers.
    effective_servers : float
        Number of servers that take work, slow ones counted in part.
    pieces_by_priority : Mapping of int to int
        Pieces of active requests, of stages that have not been started.
    deferred_pieces : int
        Such pieces of deferred requests, which will be late.
    until_free_s : float
        Time until the first server is free, in seconds.
    arrivals_by_priority : Mapping of int to float
        Pieces a second of recently admitted requests.
    fill_fraction : float
        Average fill of a batch while more pieces wait, from 0 to 1.
    """

    spec: BatchSpec
    effective_servers: float
    pieces_by_priority: Mapping[int, int]
    deferred_pieces: int
    until_free_s: float
    arrivals_by_priority: Mapping[int, float] = field(default_factory=dict)
    fill_fraction: float = INITIAL_FILL_FRACTION

    @property
    def rate(self) -> float:
        """Pieces a second that the servers run while enough pieces wait."""
        size = max(1.0, self.fill_fraction * self.spec.max_pieces)
        return self.effective_servers * size / estimate_call_s(self.spec, size)

    def wait_s(self, priority: int, *, is_late: bool) -> float:
        """Return the time until pieces of a priority are started, in seconds.

        Allows for more urgent pieces that will arrive and go first as well. A late
        request waits for all other pieces, whatever their priority.
        """
        if self.effective_servers <= 0:
            return float("inf")
        pieces_ahead = sum(
            n for p, n in self.pieces_by_priority.items() if p <= priority
        )
        overtaking_rate = sum(
            r for p, r in self.arrivals_by_priority.items() if p < priority
        )
        if is_late:
            pieces_ahead = sum(self.pieces_by_priority.values()) + self.deferred_pieces
            overtaking_rate = sum(self.arrivals_by_priority.values())
        remaining_rate = max(self.rate * MIN_RATE_FRACTION, self.rate - overtaking_rate)
        return pieces_ahead / remaining_rate + self.until_free_s

    def has_slack(self, piece_count: int) -> bool:
        """Whether so few pieces wait that late requests would not delay the others."""
        waiting = sum(self.pieces_by_priority.values()) + piece_count
        return (
            waiting
            <= self.effective_servers * self.spec.max_pieces * SLACK_BATCHES_PER_SERVER
        )


class Lane(StrEnum):
    """Result of admission, also the value of the metric label and log key `lane`.

    A request is admitted on time, admitted late and deferred until there is slack, or
    refused.
    """

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Admission:
    """Admission decision, with the prediction that it rests on.

    Parameters
    ----------
    lane : Lane
        Lane in which the request is run, if it isn't refused.
    predicted_s : float
        Predicted time to the first event, in seconds.
    retry_after_s : float
        Time after which the client may retry, in seconds, if refused.
    """

    lane: Lane
    predicted_s: float
    retry_after_s: float = 0.0


class ArrivalRates:
    """Moving average of admitted pieces a second, by service and priority."""

    def __init__(self) -> None:
        self._rates_by_service: dict[str, dict[int, float]] = {}
        self._updated_at = 0.0

    def record_arrival(self, job: StageJob, now: float) -> None:
        """Add the pieces of an admitted request."""
        self._decay(now)
        for need in job.stages:
            rates = self._rates_by_service.setdefault(need.service, {})
            added_rate = need.pieces / RATE_WINDOW_S
            rates[job.priority] = rates.get(job.priority, 0.0) + added_rate

    def list_rates(self, service: str, now: float) -> dict[int, float]:
        """Return the pieces a second of a service, by priority."""
        self._decay(now)
        return dict(self._rates_by_service.get(service, {}))

    def _decay(self, now: float) -> None:
        decay_factor = math.exp(-max(0.0, now - self._updated_at) / RATE_WINDOW_S)
        self._updated_at = now
        for rates in self._rates_by_service.values():
            for priority in rates:
                rates[priority] *= decay_factor


class AccountShares:
    """Server time of each client account's recently admitted requests, in seconds."""

    def __init__(self) -> None:
        self._admissions: deque[tuple[float, str, float]] = deque()
        self._cost_by_account: dict[str, float] = {}

    def record_cost(self, account: str, cost_s: float, now: float) -> None:
        """Add the server time of an admitted request."""
        self._admissions.append((now, account, cost_s))
        self._cost_by_account[account] = self._cost_by_account.get(account, 0) + cost_s

    def exceeds_share(self, account: str, now: float) -> bool:
        """Whether an account used much more than the mean of the accounts."""
        while self._admissions and self._admissions[0][0] <= now - SHARE_WINDOW_S:
            _, expired_account, cost_s = self._admissions.popleft()
            self._cost_by_account[expired_account] -= cost_s
            if self._cost_by_account[expired_account] <= 1e-9:
                del self._cost_by_account[expired_account]
        if len(self._cost_by_account) < 2:
            return False
        mean = sum(self._cost_by_account.values()) / len(self._cost_by_account)
        return self._cost_by_account.get(account, 0.0) > OVER_SHARE_FACTOR * mean


def predict_first_event_s(
    job: StageJob, load_by_service: Mapping[str, ServiceLoad], *, is_late: bool
) -> float:
    """Return the predicted time to the first event, in seconds."""
    end_s_by_stage: dict[int, float] = {}
    for index in _sort_topologically(job):
        need = job.stages[index]
        start_s = max((end_s_by_stage[i] for i in need.after), default=0.0)
        load = load_by_service.get(need.service)
        if need.pieces == 0:
            end_s_by_stage[index] = start_s
            continue
        if load is None:
            return float("inf")
        start_s = max(start_s, load.wait_s(job.priority, is_late=is_late))
        end_s_by_stage[index] = start_s + estimate_stage_s(need, load)
    return max(end_s_by_stage.values(), default=0.0) + job.answer_s


def estimate_stage_s(need: StageNeed, load: ServiceLoad) -> float:
    """Return the time from the start of a stage to its last result, in seconds."""
    calls = -(-need.pieces // load.spec.max_pieces)
    rounds = -(-calls // max(1, int(load.effective_servers)))
    return rounds * estimate_call_s(load.spec, min(need.pieces, load.spec.max_pieces))


def list_critical_paths_s(
    job: StageJob, load_by_service: Mapping[str, ServiceLoad]
) -> list[float]:
    """Return the time from the start of each stage to the first event, in seconds."""
    paths_s = [job.answer_s] * len(job.stages)
    for index in reversed(_sort_topologically(job)):
        need = job.stages[index]
        load = load_by_service.get(need.service)
        consumers = [
            consumer
            for consumer, other in enumerate(job.stages)
            if index in other.after
        ]
        rest_s = max(
            (paths_s[consumer] for consumer in consumers), default=job.answer_s
        )
        own_s = (
            estimate_stage_s(need, load) if load is not None and need.pieces else 0.0
        )
        paths_s[index] = own_s + rest_s
    return paths_s


def decide_admission(
    job: StageJob, load_by_service: Mapping[str, ServiceLoad], *, is_over_share: bool
) -> Admission:
    """Decide whether, and in which lane, a request's stages are run.

    A request that would miss its objective is run on capacity that the others leave,
    if its first event is predicted well before its deadline; otherwise it is refused
    at once.
    """
    predicted_s = predict_first_event_s(job, load_by_service, is_late=False)
    allowed_s = job.objective_left_s * ON_TIME_FRACTION
    if is_over_share:
        allowed_s *= OVER_SHARE_TIME_FRACTION
    if predicted_s <= allowed_s:
        return Admission(Lane.ON_TIME, predicted_s)
    late_s = predict_first_event_s(job, load_by_service, is_late=True)
    limit_s = LATE_DEADLINE_FRACTION * job.deadline_left_s
    if late_s <= limit_s:
        return Admission(Lane.LATE, late_s)
    if late_s == float("inf"):
        return Admission(Lane.REFUSED, late_s, NO_SERVER_RETRY_AFTER_S)
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, late_s - limit_s))
    return Admission(Lane.REFUSED, late_s, wait_s)


def compute_cost_s(job: StageJob, load_by_service: Mapping[str, ServiceLoad]) -> float:
    """Return the server time that a request takes in full batches, in seconds."""
    cost_s = 0.0
    for need in job.stages:
        load = load_by_service.get(need.service)
        if load is None:
            continue
        piece_s = (
            load.spec.call_overhead_s / load.spec.max_pieces
            + load.spec.time_per_piece_s
        )
        cost_s += need.pieces * piece_s
    return cost_s


def _sort_topologically(job: StageJob) -> list[int]:
    """Return the stage indexes, each after the stages that it needs."""
    order: list[int] = []
    remaining = list(range(len(job.stages)))
    while remaining:
        ready = [i for i in remaining if all(o in order for o in job.stages[i].after)]
        if not ready:
            return order
        order.extend(ready)
        remaining = [i for i in remaining if i not in ready]
    return order


__all__ = (
    "AccountShares",
    "Admission",
    "ArrivalRates",
    "Lane",
    "ServiceLoad",
    "compute_cost_s",
    "decide_admission",
    "list_critical_paths_s",
    "predict_first_event_s",
)
