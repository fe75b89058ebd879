"""A request whose stages are run, and whether it may be."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_outcome import StageOutcome

if TYPE_CHECKING:
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.servers import ServerDirectory
    from persimmonlink_router.stage_job import StageJob


@dataclass(slots=True, eq=False)
class StageRequest:
    """A request whose stages are run or whose results are held.

    Parameters
    ----------
    chain : StageChain
        State of the stages.
    outcome_future : Future of StageOutcome
        Outcome that the caller waits for.
    predicted_s : float
        Predicted time to the first event, in seconds.
    retries : int
        Pieces that were queued again.
    is_transferred : bool
        Whether the next coordinator owns the results.
    finished_at : float
        Boot time of the outcome, in seconds.
    """

    chain: StageChain
    outcome_future: asyncio.Future[StageOutcome]
    predicted_s: float = 0.0
    retries: int = 0
    is_transferred: bool = False
    finished_at: float = 0.0


def is_held(job: StageJob, guard: CrashGuard, servers: ServerDirectory) -> bool:
    """Whether a request is held back from the servers of a stage."""
    if not job.fingerprint:
        return False
    hold = guard.find_hold(job.fingerprints)
    if hold is None:
        return False
    for need in job.stages:
        usable = servers.list_usable(need.service) if need.pieces else []
        if usable and all(hold.forbids(server.software) for server in usable):
            return True
    return False


__all__ = ("StageRequest", "is_held")
