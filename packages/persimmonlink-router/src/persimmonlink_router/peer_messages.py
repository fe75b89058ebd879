"""Messages between the routers of a cluster."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

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
from persimmonlink_router.stage_job import StageJob


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
class CrashReport:
    """A server that ended soon after a node had sent it a request.

    Parameters
    ----------
    server : str
        Incarnation of the server.
    part_ids : tuple of str
        Possible causes: the fingerprint of the request, and the parts of its prompt
        that the node has not served lately.
    age_s : float
        Time since the end, in seconds.
    sent_age_s : float or None
        Time since the request was sent, in seconds; None if unknown.
    software : str
        Service and software version of the server, empty if unknown.
    account : str
        Client account of the request, empty if unknown.
    path : str
        Path of the request, empty if unknown.
    is_doubtful : bool
        Whether something else may have ended the server.
    apart_from : tuple of str
        Servers that the node saw end before it sent the request, or whose requests it
        sent after the end.
    """

    server: str
    part_ids: tuple[str, ...]
    age_s: Seconds
    sent_age_s: Seconds | None = None
    software: str = ""
    account: str = ""
    path: str = ""
    is_doubtful: bool = False
    apart_from: tuple[str, ...] = ()


@dataclass(frozen=True)
class ReportCrashes:
    """Tells a peer of servers that ended, and of suspect parts that were served.

    Parameters
    ----------
    sender : Sender
        Identity of the sending node.
    crashes : tuple of CrashReport
        Ends of servers under requests of the sender.
    served_age_s_by_part : dict of str to float
        Times since suspect prompt parts were served, in seconds.
    receiver_ids : tuple of str
        Nodes that get this from the sender; empty if it doesn't say so.
    """

    sender: Sender
    crashes: tuple[CrashReport, ...]
    served_age_s_by_part: dict[str, Seconds] = field(default_factory=dict)
    receiver_ids: tuple[str, ...] = ()


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
    """

    items: tuple[MirroredItem, ...]
    revision: Count
    is_in_contact: bool
    steady_s: Seconds = 0.0


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


@dataclass(frozen=True)
class RecordStreamVersions:
    """Asks a peer to keep the server software versions at which streams began."""

    sender: Sender
    version_by_request_id: dict[str, str]


@dataclass(frozen=True)
class FindStreamVersion:
    """Asks a peer at which software version of a service a stream began."""

    sender: Sender
    request_id: str
    service: str


@dataclass(frozen=True)
class FoundStreamVersion:
    """Reply to `FindStreamVersion`.

    Parameters
    ----------
    version : str or None
        Version at which the stream began; None if the peer has no record of it.
    recent_versions : tuple of str
        Versions of the service's servers that the peer has seen lately.
    """

    version: str | None
    recent_versions: tuple[str, ...] = ()


@dataclass(frozen=True)
class Acknowledgement:
    """Empty reply to a message that needs no result."""


__all__ = (
    "Acknowledgement",
    "AskPermit",
    "AskPlace",
    "EndPlace",
    "GiveUpPlace",
    "AskReach",
    "ReachNotice",
    "ReachReply",
    "ReachState",
    "AskTrial",
    "CrashReport",
    "EngineLoad",
    "FindStreamVersion",
    "FoundStreamVersion",
    "HoldNotice",
    "LimitNotice",
    "MirrorPull",
    "MirrorUpdate",
    "MirroredItem",
    "PrepareStages",
    "RecordStreamVersions",
    "ReleaseResults",
    "ReportCrashes",
    "RouterHeartbeat",
    "RouterMember",
    "ShareFacts",
    "SharedFacts",
)
