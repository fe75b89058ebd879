"""Messages between the routers of a cluster."""

from __future__ import annotations

from dataclasses import dataclass, field

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender
from persimmonlink_router.foreign_values import (
    AnyNumber,
    Count,
    Integer,
    Rate,
    Seconds,
)
from persimmonlink_router.servers import ServerKey


@dataclass(frozen=True)
class RouterMember(Member):
    """Member record of a router.

    Parameters
    ----------
    seniority : int
        Revision of the store at which the node first registered; 0 before that. Among
        members with equal `cores`, the one with the lowest value coordinates, so that
        coordination seldom moves.
    cores : float
        Processor cores of the node, weighted by their speed; members with fewer cores
        than others don't coordinate.
    region : str
        Region of its failure domain, empty if unknown.
    """

    seniority: int = 0
    cores: float = 1.0
    region: str = ""


@dataclass(frozen=True)
class EngineLoad:
    """Load of one node on one server.

    Parameters
    ----------
    in_flight : int
        Requests of the node that the server has not finished.
    unread_tokens : int
        Prompt tokens of these requests that the server has not processed yet.
    """

    in_flight: Integer
    unread_tokens: Integer


@dataclass(frozen=True)
class HoldNotice:
    """Decision to hold back requests that have all of some possible causes.

    Parameters
    ----------
    part_ids : tuple of str
        The causes: parts of prompts, or the fingerprint of a whole request. The name
        is kept for nodes of older builds, here and in the messages below.
    decided_by : str
        Node that decided it.
    age_s : float
        Time since the decision, in seconds.
    left_s : float
        Time for which it stays in force, in seconds.
    server_ends : int
        Servers that had ended under such requests.
    is_released : bool
        Whether an operator let such requests go on.
    software : tuple of str
        Services and versions of these servers, as `SERVICE/VERSION`. Whole requests
        may go to others.
    account : str
        Client account of a whole request, empty if unknown.
    path : str
        Path of a whole request, empty if unknown.
    """

    part_ids: tuple[str, ...]
    decided_by: str
    age_s: Seconds
    left_s: AnyNumber
    server_ends: Count
    is_released: bool = False
    software: tuple[str, ...] = ()
    account: str = ""
    path: str = ""


@dataclass(frozen=True)
class LimitNotice:
    """What a server said of the rate of requests that it accepts.

    Parameters
    ----------
    server : tuple of str, int and str
        Id, start time and address of the incarnation.
    rate_per_s : float or None
        Requests a second from all nodes together; None if it names no limit.
    age_s : float
        Time since it said so, in seconds.
    """

    server: ServerKey
    rate_per_s: Rate | None
    age_s: Seconds


@dataclass(frozen=True)
class ReachNotice:
    """What a node says of its way to the servers.

    Parameters
    ----------
    node_id : str
        The node.
    services : tuple of str
        Services of which it reaches no server; none if it reaches all again.
    age_s : float
        Time since it said so, in seconds.
    """

    node_id: str
    services: tuple[str, ...]
    age_s: Seconds


@dataclass(frozen=True)
class SharedFacts:
    """What some nodes have learnt and all nodes must know.

    Parameters
    ----------
    holds : tuple of HoldNotice
        Decisions on prompts that end servers.
    suspect_left_s_by_part : dict of str to float
        Prompt parts under which servers have ended, and the time for which responses
        to them are to be reported, in seconds.
    limits : tuple of LimitNotice
        Rates that servers have named, and those that they no longer name.
    unreached : tuple of ReachNotice
        Nodes that reach no server of some services, and those that do again.
    brittle : tuple of LimitNotice
        Rejections a second that servers bear, which end if they reject more.
    store_returned_age_s : float or None
        Time since the store is known to have served again after its last outage, in
        seconds; None without one lately.
    """

    holds: tuple[HoldNotice, ...] = ()
    suspect_left_s_by_part: dict[str, Seconds] = field(default_factory=dict)
    limits: tuple[LimitNotice, ...] = ()
    unreached: tuple[ReachNotice, ...] = ()
    brittle: tuple[LimitNotice, ...] = ()
    store_returned_age_s: Seconds | None = None


@dataclass(frozen=True)
class ShareFacts:
    """Passes on what a node has learnt; the reply is what the receiver knows."""

    sender: Sender
    facts: SharedFacts


@dataclass(frozen=True)
class RouterHeartbeat:
    """Heartbeat of a node; the reply is the heartbeat of the receiver.

    Parameters
    ----------
    sender : Sender
        Identity of the sending node.
    member : RouterMember
        Member record of the sender.
    revision : int
        Revision of the store up to which the sender has every change.
    is_in_contact : bool
        Whether the sender reaches the store.
    silent_ids : tuple of str
        Nodes that don't answer the sender's heartbeats.
    load_by_server : dict of str to EngineLoad
        Load of the sender on each server.
    facts : SharedFacts
        What the sender knows of what all nodes must know.
    store_age_s : float or None
        Time since the store last answered the sender, in seconds; None if it does not,
        and from nodes of older builds.
    store_steady_s : float
        Time for which it has answered the sender without an outage, in seconds.
    """

    sender: Sender
    member: RouterMember
    revision: Count
    is_in_contact: bool
    silent_ids: tuple[str, ...] = ()
    load_by_server: dict[str, EngineLoad] = field(default_factory=dict)
    facts: SharedFacts = SharedFacts()
    store_age_s: Seconds | None = None
    store_steady_s: Seconds = 0.0


@dataclass(frozen=True)
class MirrorPull:
    """Asks a peer for the store changes after a revision."""

    sender: Sender
    revision: Count


@dataclass(frozen=True)
class MirroredItem:
    """An item of a peer's mirror; `value` is None for a deleted key."""

    key: str
    value: bytes | None
    revision: Count


@dataclass(frozen=True)
class MirrorUpdate:
    """Reply to `MirrorPull`: the changes, and whether the peer reaches the store.

    Parameters
    ----------
    items : tuple of MirroredItem
        Changes after the revision that was asked for.
    revision : int
        Revision up to which the peer has every change.
    is_in_contact : bool
        Whether the peer reaches the store.
    steady_s : float
        Time for which the store has answered the peer without an outage, in seconds;
        0 from nodes of older builds.
    is_whole : bool
        Whether these are all items of the peer, as it can't tell which keys were
        deleted after the revision that was asked for: others are gone.
    """

    items: tuple[MirroredItem, ...]
    revision: Count
    is_in_contact: bool
    steady_s: Seconds = 0.0
    is_whole: bool = False


@dataclass(frozen=True)
class Acknowledgement:
    """Empty reply to a message that needs no result."""


__all__ = (
    "Acknowledgement",
    "ReachNotice",
    "EngineLoad",
    "HoldNotice",
    "LimitNotice",
    "MirrorPull",
    "MirrorUpdate",
    "MirroredItem",
    "RouterHeartbeat",
    "RouterMember",
    "ShareFacts",
    "SharedFacts",
)
