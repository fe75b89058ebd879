"""Decides on arrival whether a request's stages can be run in the time that is left.

What can't be answered before its client leaves is refused at once, with the time until
the work ahead will have fallen. The rest is admitted, unless the queue in which it
would wait stands: then only as much is admitted as keeps the servers busy, so that all
wait for a short time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from persimmonlink_router.configuration import BatchSpec
from persimmonlink_router.stage_queue import estimate_call_s
from persimmonlink_router.stage_servers import INITIAL_FILL_FRACTION

if TYPE_CHECKING:
    from persimmonlink_router.stage_job import StageJob, StageNeed

# Retry-After if no server takes work of a stage; nothing tells when one will.
NO_SERVER_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Capacity of a stage service, and the work that waits for it.

    Parameters
    ----------
    spec : BatchSpec
        Batching parameters of the servers.
    effective_servers : float
        Number of servers that take work, slow ones counted in part.
    unsent_by_account_by_priority : Mapping of int to Mapping of str to int
        Pieces of requests that were admitted, of stages that have not been started.
    ready_by_account_by_priority : Mapping of int to Mapping of str to int
        Those of them that wait for servers only, and for no other stage.
    until_free_s : float
        Time until the first server is free, in seconds.
    fill_fraction : float
        Average fill of a batch while more pieces wait, from 0 to 1.
    is_standing : bool
        Whether the queue stands instead of being worked off.
    """

    spec: BatchSpec
    effective_servers: float
    unsent_by_account_by_priority: Mapping[int, Mapping[str, int]] = field(
        default_factory=dict
    )
    ready_by_account_by_priority: Mapping[int, Mapping[str, int]] = field(
        default_factory=dict
    )
    until_free_s: float = 0.0
    fill_fraction: float = INITIAL_FILL_FRACTION
    is_standing: bool = False

    @property
    def rate(self) -> float:
        """Pieces a second that the servers run while enough pieces wait."""
        size = max(1.0, self.fill_fraction * self.spec.max_pieces)
        return self.effective_servers * size / estimate_call_s(self.spec, size)

    @property
    def waiting_pieces(self) -> int:
        """Pieces that wait, of all accounts and priorities."""
        counts_by_account = self.unsent_by_account_by_priority.values()
        return sum(sum(counts.values()) for counts in counts_by_account)

    @property
    def full_call_s(self) -> float:
        """Time of a call with as many pieces as it takes, in seconds."""
        return estimate_call_s(self.spec, self.spec.max_pieces)

    def wait_s(self, priority: int, account: str, *, is_first: bool) -> float:
        """Return the time until pieces of an account are started, in seconds.

        Those of a first stage wait for pieces that are ready, later ones for all that
        will be ready by then. Accounts take turns, so that of each other account no
        more pieces go first than the account itself has waiting.
        """
        if self.effective_servers <= 0:
            return float("inf")
        counts_by_priority = self.unsent_by_account_by_priority
        if is_first:
            counts_by_priority = self.ready_by_account_by_priority
        pieces_by_account: Counter[str] = Counter()
        for other_priority, counts in counts_by_priority.items():
            if other_priority <= priority:
                pieces_by_account.update(counts)
        own = pieces_by_account[account]
        ahead = sum(min(own, count) for count in pieces_by_account.values())
        return ahead / self.rate + self.until_free_s


class AdmissionOutcome(StrEnum):
    """Whether a request's stages are run; also the value of the metric label."""

    ADMITTED = "admitted"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Admission:
    """Admission decision, with the prediction that it rests on.

    Parameters
    ----------
    outcome : AdmissionOutcome
        Whether the stages are run.
    predicted_s : float
        Predicted time to the first event, in seconds.
    retry_after_s : float
        Time after which the client may retry, in seconds, if refused.
    full_queues : tuple of str
        Services whose queues stand and take no more for now.
    has_turn : bool
        Whether room is kept for the request then, if refused, or was until now.
    """

    outcome: AdmissionOutcome
    predicted_s: float
    retry_after_s: float = 0.0
    full_queues: tuple[str, ...] = ()
    has_turn: bool = False


@dataclass(frozen=True, slots=True)
class Prediction:
    """What a request is expected to wait for.

    Parameters
    ----------
    first_event_s : float
        Time to the first event, in seconds.
    queueing_s_by_service : Mapping of str to float
        Time for which its pieces wait for servers once they are ready, in seconds.
    """

    first_event_s: float
    queueing_s_by_service: Mapping[str, float]


def predict(job: StageJob, load_by_service: Mapping[str, ServiceLoad]) -> Prediction:
    """Return the time to the first event, and the part of it spent in queues."""
    end_s_by_stage: dict[int, float] = {}
    queueing_s_by_service: dict[str, float] = {}
    for index in _sort_topologically(job):
        need = job.stages[index]
        ready_s = max((end_s_by_stage[i] for i in need.after), default=0.0)
        if need.pieces == 0:
            end_s_by_stage[index] = ready_s
            continue
        load = load_by_service.get(need.service)
        if load is None:
            return Prediction(float("inf"), {need.service: float("inf")})
        wait_s = load.wait_s(job.priority, job.account, is_first=ready_s <= 0.0)
        start_s = max(ready_s, wait_s)
        queueing_s_by_service[need.service] = max(
            start_s - ready_s, queueing_s_by_service.get(need.service, 0.0)
        )
        end_s_by_stage[index] = start_s + estimate_stage_s(need, load)
    end_s = max(end_s_by_stage.values(), default=0.0)
    return Prediction(end_s + job.answer_s, queueing_s_by_service)


def estimate_stage_s(need: StageNeed, load: ServiceLoad) -> float:
    """Return the time from the start of a stage to its last result, in seconds."""
    calls = -(-need.pieces // load.spec.max_pieces)
    rounds = -(-calls // max(1, int(load.effective_servers)))
    # Calls are filled up with pieces of other requests that wait.
    pieces = min(load.spec.max_pieces, max(need.pieces, load.waiting_pieces))
    return rounds * estimate_call_s(load.spec, pieces)


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
    job: StageJob, load_by_service: Mapping[str, ServiceLoad], *, has_turn: bool = False
) -> Admission:
    """Decide whether a request's stages are run.

    Room was kept for one that has a turn. In a queue that stands, any other may wait
    for the calls under way and one more: servers that end theirs find the next ones
    waiting, and a longer queue would serve nobody more.
    """
    prediction = predict(job, load_by_service)
    predicted_s = prediction.first_event_s
    is_in_time = predicted_s <= job.deadline_left_s
    full_queues = tuple(
        service
        for service, load in load_by_service.items()
        if load.is_standing
        and prediction.queueing_s_by_service.get(service, 0.0)
        > load.until_free_s + load.full_call_s
    )
    if is_in_time and (has_turn or not full_queues):
        return Admission(AdmissionOutcome.ADMITTED, predicted_s, has_turn=has_turn)
    retry_after_s = _estimate_return_s(prediction, load_by_service)
    return Admission(AdmissionOutcome.REFUSED, predicted_s, retry_after_s, full_queues)


def estimate_return_s(
    job: StageJob, load_by_service: Mapping[str, ServiceLoad]
) -> float:
    """Return the time until a request that was refused may come back, in seconds."""
    return _estimate_return_s(predict(job, load_by_service), load_by_service)


def _estimate_return_s(
    prediction: Prediction, load_by_service: Mapping[str, ServiceLoad]
) -> float:
    """Return the time until the work ahead will have fallen to one call, in seconds.

    It is the time of a call at least: before one has ended, nothing has changed.
    """
    return_s = 0.0
    for service, queueing_s in prediction.queueing_s_by_service.items():
        if queueing_s == float("inf"):
            return NO_SERVER_RETRY_AFTER_S
        call_s = load_by_service[service].full_call_s
        return_s = max(return_s, call_s, queueing_s - call_s)
    return return_s


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
    "Admission",
    "AdmissionOutcome",
    "ServiceLoad",
    "decide_admission",
    "estimate_return_s",
    "list_critical_paths_s",
    "predict",
)
