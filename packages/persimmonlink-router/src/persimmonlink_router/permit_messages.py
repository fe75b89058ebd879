"""Messages by which nodes share the permits and places of a server."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_peers.message import Sender
from persimmonlink_router.foreign_values import Count, Seconds
from persimmonlink_router.peer_messages import LimitNotice
from persimmonlink_router.servers import ServerKey


@dataclass(frozen=True)
class AskPermit:
    """Asks a peer for a permit to send one request to a server with a limit."""

    sender: Sender
    limit: LimitNotice


@dataclass(frozen=True)
class PermitReply:
    """Reply to `AskPermit`, `AskTrial` or `AskPlace`: a permit, or when to ask again.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent now.
    wait_s : float
        Time after which to ask again, in seconds.
    """

    is_granted: bool
    wait_s: Seconds


@dataclass(frozen=True)
class AskTrial:
    """Asks whether a request that servers ended under may be sent now.

    Parameters
    ----------
    sender : Sender
        Identity of the asking node.
    cause_id : str
        Fingerprint of the request.
    """

    sender: Sender
    cause_id: str


@dataclass(frozen=True)
class AskPlace:
    """Asks a peer for a place in flight at a server that is brittle.

    Parameters
    ----------
    sender : Sender
        Identity of the asking node.
    limit : LimitNotice
        Rejections a second that the server bears, as it has said.
    slots : int
        Requests that the server runs at once.
    lease_s : float
        Time for which the place is held at most, in seconds.
    is_passed_on : bool
        Whether a node that leaves got it and passed it on.
    place_id : str
        Id by which the sender ends the place; empty from older builds.
    """

    sender: Sender
    limit: LimitNotice
    slots: Count
    lease_s: Seconds
    is_passed_on: bool = False
    place_id: str = ""


@dataclass(frozen=True)
class EndPlace:
    """Tells a peer that a request which had a place has ended.

    Parameters
    ----------
    sender : Sender
        Node that held the place.
    server : tuple of str, int and str
        Id, start time and address of the incarnation.
    was_rejected : bool
        Whether the server rejected the request.
    is_passed_on : bool
        Whether a node that leaves got it and passed it on.
    place_id : str
        Id of the place; empty from older builds.
    """

    sender: Sender
    server: ServerKey
    was_rejected: bool
    is_passed_on: bool = False
    place_id: str = ""


@dataclass(frozen=True)
class GiveUpPlace:
    """Tells a peer that a place is not used, also if it was granted without a reply.

    Unlike `EndPlace`, it frees no other place, so that it may be sent again.

    Parameters
    ----------
    sender : Sender
        Node that asked for the place.
    server : tuple of str, int and str
        Id, start time and address of the incarnation.
    place_id : str
        Id of the place.
    is_passed_on : bool
        Whether a node that leaves got it and passed it on.
    """

    sender: Sender
    server: ServerKey
    place_id: str
    is_passed_on: bool = False


@dataclass(frozen=True)
class HandPlacesOver:
    """Tells a peer which places at a brittle server are held, as it grants them now.

    Parameters
    ----------
    sender : Sender
        Node that granted them, and leaves.
    server : tuple of str, int and str
        Id, start time and address of the incarnation.
    capacity : int
        Places that the server was granted at most.
    left_s_by_node : dict of str to tuple of float
        Times for which they are held at most, in seconds, by node.
    """

    sender: Sender
    server: ServerKey
    capacity: Count
    left_s_by_node: dict[str, tuple[Seconds, ...]]


__all__ = (
    "AskPermit",
    "AskPlace",
    "AskTrial",
    "EndPlace",
    "GiveUpPlace",
    "HandPlacesOver",
    "PermitReply",
)
