"""Messages by which a node has a request served by a node that reaches its service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from persimmonlink_peers.message import Sender
from persimmonlink_router.foreign_values import Count, Seconds, Status
from persimmonlink_router.http_messages import Headers


class RelayRefusal(StrEnum):
    """Why a node does not take a request from a peer; it has not run it."""

    NONE = ""
    NO_REACH = "no_reach"
    BUSY = "busy"
    LEAVING = "leaving"
    OLDER_CONFIGURATION = "older_configuration"


@dataclass(frozen=True)
class RelayRequest:
    """A client's request, for a peer that sends it to a server.

    Parameters
    ----------
    sender : Sender
        Node that the client is connected to.
    method : bytes
        HTTP method.
    target : bytes
        Path and query as the client sent them.
    headers : Headers
        Headers as the client sent them.
    body : bytes
        The complete body.
    configuration_version : int
        Version of the configuration by which the sender routed it.
    service : str
        Service that the sender chose.
    account : str or None
        Client account that the sender found; None if the request needs no key.
    elapsed_s : float
        Time since the request arrived at the sender, in seconds.
    sends : int
        Times that the sender sent it to a server.
    runs : int
        Sends after which a server may have run it.
    last_event_id : bytes
        Event after which a stream goes on that the sender has begun; empty for none.
    stream_version : str or None
        Software version of the servers at which that stream has to go on.
    """

    sender: Sender
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    configuration_version: Count
    service: str
    account: str | None
    elapsed_s: Seconds
    sends: Count = 0
    runs: Count = 0
    last_event_id: bytes = b""
    stream_version: str | None = None


@dataclass(frozen=True)
class RelayPart:
    """A part of the reply to a relayed request: its head, a part of its body, or both.

    Parameters
    ----------
    refusal : RelayRefusal
        Why the request is not taken; then there are no other parts.
    status : int
        HTTP status in the first part, 0 in the others.
    headers : Headers
        Headers, in the first part.
    body : bytes
        The body, or a part of it.
    is_stream : bool
        Whether the response is a stream, whose parts follow.
    is_last : bool
        Whether the response is complete with this part.
    """

    refusal: RelayRefusal = RelayRefusal.NONE
    status: Status = 0
    headers: Headers = ()
    body: bytes = b""
    is_stream: bool = False
    is_last: bool = False


__all__ = ("RelayPart", "RelayRefusal", "RelayRequest")
