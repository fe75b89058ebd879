"""What a request says of itself, and what the platform's wire must carry for it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from persimmonlink_router.http_messages import Headers
from persimmonlink_router.servers import Server

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_router.http_messages import HttpRequest, HttpResponseHead


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a request says of itself in its headers.

    Parameters
    ----------
    request_id : str
        Name of this try of the client.
    deadline_s : float or None
        How long the client waits, in seconds.
    key : str
        Key of the client account, empty if none was sent.
    model : str
        Model that is asked for, empty for plain services.
    prompt_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Most tokens of the output.
    prompt_parts : tuple of PromptPart
        Parts of the prompt, in order; the last is the request's own.
    piece_counts : tuple of int
        Pieces of each stage of the route; 0 leaves a stage out.
    piece_key : str
        What the pieces of the first stages are made from.
    last_event_id : bytes
        Last event that the client has of a stream; empty for a new one.
    """

    request_id: str
    deadline_s: float | None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    last_event_id: bytes = b""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What one send of a request to a server adds to it.

    Parameters
    ----------
    server : Server
        The incarnation that must take it.
    time_left_s : float
        Time until the request's deadline, in seconds.
    account : str
        Client account, empty if none.
    priority : int
        Rank, 0 being the most urgent.
    inputs : tuple of str
        Handles of the stage results that the server reads.
    last_event_id : bytes
        Event after which a stream goes on; empty from its start.
    """

    server: Server
    time_left_s: float
    account: str = ""
    priority: int = 5
    inputs: tuple[str, ...] = ()
    last_event_id: bytes = b""


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What the head of a server's answer says.

    Parameters
    ----------
    request_id : str
        Request that it answers, empty if it does not say.
    is_sealed : bool
        Whether it carries the signature of a server.
    was_not_run : bool
        Whether the server states that the request did not run.
    is_other_server : bool
        Whether another server than the expected one answered.
    is_encoded : bool
        Whether the body is in an encoding that nobody asked for.
    """

    request_id: str
    is_sealed: bool
    was_not_run: bool
    is_other_server: bool
    is_encoded: bool


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of a stage as it is sent to a stage server.

    Parameters
    ----------
    request_id : str
        Request that it belongs to.
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage, from 0.
    time_left_s : float
        Time until its work is of no use, in seconds.
    key : str
        What it is made from, for a stage without inputs.
    inputs : tuple of str
        Handles of the results that it needs.
    """

    request_id: str
    stage: int
    number: int
    time_left_s: float
    key: str = ""
    inputs: tuple[str, ...] = ()


class PieceFailure(StrEnum):
    """Why a stage server made no result of a piece."""

    TOO_LATE = "too_late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What a stage server says of a piece: a handle, or why there is none."""

    handle: str = ""
    failure: PieceFailure | None = None


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """An HTTP request to a server that is not a client's."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class WireFormatError(Exception):
    """A message of another program can't be read."""


class Wire(Protocol):
    """The names by which clients and servers say things; kept outside the router."""

    def parse_request(self, request: HttpRequest) -> RequestMetadata:
        """Read what a request says; raise `WireFormatError` if it is malformed."""
        ...

    def build_request_headers(
        self, request: HttpRequest, dispatch: Dispatch
    ) -> Headers:
        """Return the headers with which a request is sent to a server."""
        ...

    def build_local_reply_headers(self, request_id: str) -> Headers:
        """Return the headers of an answer that the router itself gives."""
        ...

    def parse_response_head(self, head: HttpResponseHead) -> ResponseInfo:
        """Read the head of a server's answer."""
        ...

    def build_batch_request(
        self, server: Server, pieces: Sequence[Piece]
    ) -> OutboundRequest:
        """Return the call that runs pieces at a stage server."""
        ...

    def parse_batch_response(
        self, body: bytes, expected: int
    ) -> tuple[PieceResult, ...]:
        """Read the results of a batch; raise `WireFormatError` if malformed."""
        ...

    def build_release_request(
        self, server: Server, handles: Sequence[str]
    ) -> OutboundRequest:
        """Return the call that frees results at a stage server."""
        ...


__all__ = (
    "Dispatch",
    "OutboundRequest",
    "Piece",
    "PieceFailure",
    "PieceResult",
    "PromptPart",
    "RequestMetadata",
    "ResponseInfo",
    "Wire",
    "WireFormatError",
)
