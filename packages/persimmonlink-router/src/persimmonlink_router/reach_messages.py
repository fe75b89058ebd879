"""Messages by which nodes ask each other whether they reach a server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from persimmonlink_peers.message import Sender
from persimmonlink_router.foreign_values import Seconds
from persimmonlink_router.servers import ServerKey


@dataclass(frozen=True)
class AskReach:
    """Asks a peer whether it reaches a server.

    Parameters
    ----------
    sender : Sender
        Identity of the asking node.
    server : tuple of str, int and str
        Id, start time and address of the incarnation.
    quiet_s : float
        Time since the asking node found the server gone, in seconds.
    """

    sender: Sender
    server: ServerKey
    quiet_s: Seconds


class ReachState(StrEnum):
    """What a node knows of a server."""

    REACHED = "reached"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ReachReply:
    """Reply to `AskReach`."""

    state: ReachState


__all__ = (
    "AskReach",
    "ReachReply",
    "ReachState",
)
