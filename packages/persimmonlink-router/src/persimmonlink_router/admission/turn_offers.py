"""Offers a turn to a request whose stages are refused."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from persimmonlink_router.stage_admission import list_critical_paths_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_router.admission.return_turns import ReturnTurns
    from persimmonlink_router.stage_admission import Admission, ServiceLoad
    from persimmonlink_router.stage_job import StageJob

# Longest wait for a turn, as a multiple of the time that a request takes from its first
# stage to its answer.
LONGEST_WAIT_PATHS = 1.0


def keep_turn(
    job: StageJob,
    admission: Admission,
    load_by_service: Mapping[str, ServiceLoad],
    turns: ReturnTurns,
    now: float,
) -> Admission:
    """Return a refusal that says when to come back, with a turn if there is one.

    The turn comes early enough to answer the request by its deadline, and no later than
    `LONGEST_WAIT_PATHS` says: a longer line would make all wait and serve nobody more.
    Without one, the client is told when the servers could have run all that was refused
    before. The time that it states changes neither.

    Parameters
    ----------
    job : StageJob
        The request's stages.
    admission : Admission
        The refusal.
    load_by_service : Mapping of str to ServiceLoad
        Loads of the services.
    turns : ReturnTurns
        Turns that are kept.
    now : float
        Boot time, in seconds.
    """
    if not job.return_key:
        return admission
    known_at = turns.find(job.return_key)
    if known_at is not None:
        return replace(admission, retry_after_s=max(0.0, known_at - now), has_turn=True)
    rate_by_service = {name: load.rate for name, load in load_by_service.items()}
    path_s = max(list_critical_paths_s(job, load_by_service), default=job.answer_s)
    earliest_at = now + admission.retry_after_s
    latest_at = now + LONGEST_WAIT_PATHS * path_s
    if latest_at - now + path_s <= job.deadline_left_s:
        at = turns.book(job.return_key, job, earliest_at, latest_at, rate_by_service)
        if at is not None:
            return replace(admission, retry_after_s=at - now, has_turn=True)
    free_at = turns.queue_outside(job, earliest_at, now, rate_by_service)
    return replace(admission, retry_after_s=free_at - now)


__all__ = ("keep_turn",)
