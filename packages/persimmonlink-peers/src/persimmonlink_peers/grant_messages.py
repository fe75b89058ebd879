"""Messages between the nodes that use a pool and the node that coordinates it.

The parts sent per pool make up most of the traffic between nodes. They are therefore
encoded as arrays without field names, which can be extended only at their end.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct

from persimmonlink_peers.message import Sender


class ServerProgress(Struct, frozen=True, array_like=True):
    """Successful completions of a server's calls as counted by one node.

    Parameters
    ----------
    incarnation : str
        Incarnation of the server.
    completed : int
        Completions since the node first saw that incarnation.
    """

    incarnation: str
    completed: int


class PoolRequest(Struct, frozen=True, array_like=True):
    """Usage and demand of a node in one pool.

    Parameters
    ----------
    service : str
        Service of the pool.
    domain : str
        Failure domain of the pool.
    applied : int
        Sequence number of the request whose grant is held; 0 if no grant is live.
    in_flight : Mapping of str to int
        Requests in flight by server, or the slots still held from another
        coordinator if there are more of them.
    demand : Mapping of str to int
        Slots wanted by account, including those in use.
    progress : Mapping of str to ServerProgress
        Completions by server, sent only if the coordinator asks for them and they
        have changed.
    """

    service: str
    domain: str
    applied: int = 0
    in_flight: Mapping[str, int] = {}
    demand: Mapping[str, int] = {}
    progress: Mapping[str, ServerProgress] = {}


@dataclass(frozen=True)
class SlotRequest:
    """Request for slots in all pools that the receiver coordinates.

    Parameters
    ----------
    sender : Sender
        Node that requests slots.
    sequence : int
        Sequence number of the request, which only increases within an incarnation.
    pools : tuple of PoolRequest
        Usage and demand in each pool.
    """

    sender: Sender
    sequence: int
    pools: tuple[PoolRequest, ...]


class PoolReply(Struct, frozen=True, array_like=True):
    """Slots granted in one pool.

    Parameters
    ----------
    service : str
        Service of the pool.
    domain : str
        Failure domain of the pool.
    slots : Mapping of str to int
        Requests that may be in flight, by server.
    accounts : Mapping of str to int
        Number of these slots reserved for each account.
    limit : int
        Sum of the limits of all servers of the pool.
    warming : bool
        Whether the coordinator asks for completions in the next request.
    """

    service: str
    domain: str
    slots: Mapping[str, int] = {}
    accounts: Mapping[str, int] = {}
    limit: int = 0
    warming: bool = False


@dataclass(frozen=True)
class SlotReply:
    """Reply to a request for slots.

    Parameters
    ----------
    ttl_s : float
        Lifetime of the grants, in seconds, which the receiver counts from the time
        before it sent the request.
    pools : tuple of PoolReply
        Grants in the pools that the replying node coordinates; others are omitted.
    """

    ttl_s: float
    pools: tuple[PoolReply, ...]


@dataclass(frozen=True)
class ServerNotice:
    """Notice to a coordinator that a server may have turned cold.

    Parameters
    ----------
    sender : Sender
        Node that observed the server.
    service : str
        Service of the pool.
    domain : str
        Failure domain of the pool.
    server_id : str
        Server in question.
    incarnation : str
        Incarnation named in the server's answer; empty for a fault without one.
    reason : str
        Human-readable description of the observation.
    """

    sender: Sender
    service: str
    domain: str
    server_id: str
    incarnation: str
    reason: str


@dataclass(frozen=True)
class ServerNoticeReply:
    """Reply to a notice.

    Parameters
    ----------
    taken : bool
        Whether the replying node coordinates the pool and thus applied the notice.
    """

    taken: bool


@dataclass(frozen=True)
class GrantRevocation:
    """Request of a coordinator that a node stop using its grants on some servers.

    Revocation only shortens the time until a lower limit is reached; safety does not
    depend on it.

    Parameters
    ----------
    sender : Sender
        Coordinator of the pool.
    sequence : int
        Sequence number of the node's latest request handled before the revocation.
    server_ids : tuple of str
        Servers whose grants are revoked.
    """

    sender: Sender
    sequence: int
    server_ids: tuple[str, ...]


@dataclass(frozen=True)
class GrantRevocationReply:
    """Reply to a revocation."""


__all__ = (
    "GrantRevocation",
    "GrantRevocationReply",
    "PoolReply",
    "PoolRequest",
    "ServerNotice",
    "ServerNoticeReply",
    "ServerProgress",
    "SlotReply",
    "SlotRequest",
)
