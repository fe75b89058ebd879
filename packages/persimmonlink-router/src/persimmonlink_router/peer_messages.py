"""Messages between the routers of a cluster."""

from __future__ import annotations

from dataclasses import dataclass, field

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender
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
    """

    seniority: int = 0
    cores: float = 1.0


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

    in_flight: int
    unread_tokens: int


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
    """

    sender: Sender
    member: RouterMember
    revision: int
    is_in_contact: bool
    silent_ids: tuple[str, ...] = ()
    load_by_server: dict[str, EngineLoad] = field(default_factory=dict)


@dataclass(frozen=True)
class MirrorPull:
    """Asks a peer for the store changes after a revision."""

    sender: Sender
    revision: int


@dataclass(frozen=True)
class MirroredItem:
    """An item of a peer's mirror; `value` is None for a deleted key."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class MirrorUpdate:
    """Reply to `MirrorPull`: the changes, and whether the peer reaches the store."""

    items: tuple[MirroredItem, ...]
    revision: int
    is_in_contact: bool


@dataclass(frozen=True)
class PrepareStages:
    """Asks the coordinator to run the stages of a request."""

    sender: Sender
    job: StageJob


@dataclass(frozen=True)
class ReleaseResults:
    """Tells the coordinator that requests no longer need their stage results."""

    sender: Sender
    request_ids: tuple[str, ...]


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
    "EngineLoad",
    "FindStreamVersion",
    "FoundStreamVersion",
    "MirrorPull",
    "MirrorUpdate",
    "MirroredItem",
    "PrepareStages",
    "RecordStreamVersions",
    "ReleaseResults",
    "RouterHeartbeat",
    "RouterMember",
)
