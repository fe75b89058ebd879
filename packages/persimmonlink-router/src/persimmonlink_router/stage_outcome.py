"""What becomes of a request's stages, as coordinators tell it to the other nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from persimmonlink_router.stage_job import TransferredResult


class StageState(StrEnum):
    """How a request's stages ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    # The coordinator lacks the configuration that names the service.
    UNKNOWN_SERVICE = "unknown_service"
    # The coordinator is leaving, and another one is to be asked.
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """What became of a request's stages.

    Parameters
    ----------
    state : StageState
        How they ended.
    handles : tuple of str
        Handles for the request itself, if done.
    bytes_by_domain : dict
        Bytes of these results in each failure domain.
    retry_after_s : float
        When to come back, in seconds, if refused.
    predicted_s : float
        Predicted time to the first event, in seconds.
    made : tuple of TransferredResult
        Results for the next coordinator, if moved.
    """

    state: StageState
    handles: tuple[str, ...] = ()
    bytes_by_domain: dict[str, float] = field(default_factory=dict)
    retry_after_s: float = 0.0
    predicted_s: float = 0.0
    made: tuple[TransferredResult, ...] = ()


__all__ = ("StageOutcome", "StageState")
