"""Messages between the routers of a deployment."""

from __future__ import annotations

from dataclasses import dataclass, field

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender
from persimmonlink_router.stage_job import StageJob


@dataclass(frozen=True)
class RouterMember(Member):
    """A router as it describes itself.

    Parameters
    ----------
    seniority : int
        Revision of the store at which it first named itself there, 0 before that.
        The member with the least coordinates, so that tasks move seldom.
    cores : float
        Processor cores that it has; members with few of them don't coordinate.
    """

    seniority: int = 0
    cores: float = 1.0


@dataclass(frozen=True)
class EngineLoad:
    """What one node has at one server.

    Parameters
    ----------
    in_flight : int
        Requests.
    unread_tokens : int
        Prompt tokens that the server has still to read.
    """

    in_flight: int
    unread_tokens: int


@dataclass(frozen=True)
class RouterHeartbeat:
    """A node's sign of life; the reply is the same of the other node.

    Parameters
    ----------
    sender : Sender
        The node.
    member : Member
        What it says of itself.
    revision : int
        Revision of the store up to which it knows all.
    is_in_contact : bool
        Whether the store answers it.
    silent_ids : tuple of str
        Nodes that don't answer it.
    load_by_server : dict
        What it has at each server.
    """

    sender: Sender
    member: RouterMember
    revision: int
    is_in_contact: bool
    silent_ids: tuple[str, ...] = ()
    load_by_server: dict[str, EngineLoad] = field(default_factory=dict)


@dataclass(frozen=True)
class MirrorPull:
    """Asks a peer for what has changed in the store after a revision."""

    sender: Sender
    revision: int


@dataclass(frozen=True)
class MirroredItem:
    """An item of the store as a peer knows it; no value means deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class MirrorUpdate:
    """What has changed, and whether it is fresh from the store."""

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
    """Tells the coordinator that the results of requests are of no more use."""

    sender: Sender
    request_ids: tuple[str, ...]


@dataclass(frozen=True)
class Acknowledgement:
    """The answer to a message that asks for nothing back."""


__all__ = (
    "Acknowledgement",
    "EngineLoad",
    "MirrorPull",
    "MirrorUpdate",
    "MirroredItem",
    "PrepareStages",
    "ReleaseResults",
    "RouterHeartbeat",
    "RouterMember",
)
