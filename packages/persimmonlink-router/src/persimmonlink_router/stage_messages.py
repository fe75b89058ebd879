"""Messages to the node that coordinates stages."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_peers.message import Sender
from persimmonlink_router.stage_job import StageJob


@dataclass(frozen=True)
class PrepareStages:
    """Asks the coordinator to run the stages of a request."""

    sender: Sender
    job: StageJob


@dataclass(frozen=True)
class ReleaseResults:
    """Tells the coordinator that requests no longer need their stage results.

    Parameters
    ----------
    sender : Sender
        Identity of the sending node.
    request_ids : tuple of str
        The requests.
    attempts : tuple of str
        The run of the stages of each of them; empty from nodes of older builds, whose
        releases are for whichever run there is.
    """

    sender: Sender
    request_ids: tuple[str, ...]
    attempts: tuple[str, ...] = ()


__all__ = (
    "PrepareStages",
    "ReleaseResults",
)
