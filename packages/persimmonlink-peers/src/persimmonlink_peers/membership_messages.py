"""Heartbeats, by which nodes exchange liveness and membership."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender


class MemberDigest(NamedTuple):
    """Relayed description of a third node; a tuple to stay small, since many are sent.

    Failure domain and HTTP address are omitted, since the VM list has them.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : str
        Incarnation of the node.
    peer_address : str
        `IP:PORT` that peers connect to.
    leaving : bool
        Whether the node is stopping.
    age_s : float
        Seconds since the node was last seen.
    """

    node_id: str
    incarnation: str
    peer_address: str
    leaving: bool
    age_s: float


@dataclass(frozen=True)
class Heartbeat:
    """Periodic liveness message of a node.

    Parameters
    ----------
    sender : Sender
        Node that sends the heartbeat.
    member : Member or None
        Description of the sender; None if the receiver has the current one.
    known_checksum : int
        Checksum of the sender's description of the receiver.
    digests : tuple of MemberDigest
        Some of the other nodes in the sender's view.
    """

    sender: Sender
    member: Member | None = None
    known_checksum: int = 0
    digests: tuple[MemberDigest, ...] = ()


@dataclass(frozen=True)
class HeartbeatReply:
    """Reply to a heartbeat.

    Parameters
    ----------
    member : Member or None
        Description of the replying node; None if the sender of the heartbeat has the
        current one.
    known_checksum : int
        Checksum of the replying node's description of the sender.
    digests : tuple of MemberDigest
        Some of the other nodes in the replying node's view.
    named_age_s : float or None
        Seconds since the replying node last advertised the sender to a caller as an
        entry VM; None if it never did.
    """

    member: Member | None = None
    known_checksum: int = 0
    digests: tuple[MemberDigest, ...] = ()
    named_age_s: float | None = None


def compute_checksum(member: Member | None) -> int:
    """Return a checksum of a node's description, 0 if there is none."""
    if member is None:
        return 0
    return zlib.crc32(msgspec.msgpack.encode(member))


__all__ = ("Heartbeat", "HeartbeatReply", "MemberDigest", "compute_checksum")
