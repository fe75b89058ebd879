"""Outcome of a request's stages, as a coordinator reports it to the other nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from persimmonlink_router.foreign_values import AnyNumber, Seconds
from persimmonlink_router.stage_job import TransferredResult


class StageState(StrEnum):
    """How a request's stages ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    # The configuration of the coordinator does not define the service.
    UNKNOWN_SERVICE = "unknown_service"
    # The coordinator is stopping; the caller sends the job to the next one.
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """Outcome of a request's stages.

    Parameters
    ----------
    state : StageState
        How the stages ended.
    handles : tuple of str
        Handles of the results that the request itself reads, if done.
    bytes_by_domain : dict
        Bytes of these results in each failure domain.
    retry_after_s : float
        Time after which the client may retry, in seconds, if refused.
    predicted_s : float
        Predicted time to the first event, in seconds.
    has_turn : bool
        Whether room is kept for the request at that time.
    made : tuple of TransferredResult
        Results to transfer to the next coordinator, if moved.
    """

    state: StageState
    handles: tuple[str, ...] = ()
    bytes_by_domain: dict[str, AnyNumber] = field(default_factory=dict)
    retry_after_s: Seconds = 0.0
    predicted_s: AnyNumber = 0.0
    made: tuple[TransferredResult, ...] = ()
    has_turn: bool = False


__all__ = ("StageOutcome", "StageState")
