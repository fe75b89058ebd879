"""Contents of the platform's HTTP messages, and the interface of their codec."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from persimmonlink_router.http_messages import Headers
from persimmonlink_router.server_load.load_report import LoadReport
from persimmonlink_router.servers import Server

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_router.http_messages import HttpRequest, HttpResponseHead


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share, with its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values of a client request's headers.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the client.
    deadline_s : float or None
        Time that the client waits, in seconds; None if not stated.
    key : str
        Key of the client account, empty if none was sent.
    model : str
        Requested model, empty for plain services.
    prompt_tokens : int
        Length of the prompt, in tokens.
    output_tokens : int
        Largest length of the output, in tokens.
    prompt_parts : tuple of PromptPart
        Parts of the prompt, in order; the last one is not shared.
    piece_counts : tuple of int
        Number of pieces of each stage of the route; 0 skips the stage.
    piece_key : str
        Key of the data from which the first stages compute their pieces.
    last_event_id : bytes
        Id of the last event that the client received; empty for a new stream.
    resumed_request_id : str
        Id of the client's attempt that brought the first event of the stream that
        this request resumes; empty if not stated.
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
    resumed_request_id: str = ""

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may share."""
        return tuple(part.part_id for part in self.prompt_parts[:-1])


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Values that the router adds to a request when it sends it to a server.

    Parameters
    ----------
    server : Server
        Server that must run it.
    time_left_s : float
        Time until the request's deadline, in seconds.
    account : str
        Client account, empty if none.
    priority : int
        Priority, 0 being the most urgent.
    inputs : tuple of str
        Handles of the stage results that the server reads.
    last_event_id : bytes
        Id of the event after which a stream resumes; empty to start it.
    """

    server: Server
    time_left_s: float
    account: str = ""
    priority: int = 5
    inputs: tuple[str, ...] = ()
    last_event_id: bytes = b""


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Values of the head of a server's response.

    Parameters
    ----------
    request_id : str
        Id of the request that it answers, empty if not stated.
    is_sealed : bool
        Whether it carries the seal of a server.
    was_not_run : bool
        Whether the server states that the request did not run.
    is_other_server : bool
        Whether a server other than the addressed one answered.
    is_encoded : bool
        Whether the body has a content encoding, which is never requested.
    is_server_leaving : bool
        Whether the server states that it is leaving.
    pause_s : float
        Time in which a server that rejected the request wants no others from this
        node, in seconds.
    rate_limit_per_s : float or None
        Requests a second that the server accepts from all nodes together; None if it
        names no limit.
    max_rejections_per_s : float or None
        Rejections a second for want of room over which the server ends; None if it
        names none.
    load : LoadReport or None
        What the server says of its load; None if it says nothing, or what is odd.
    """

    request_id: str
    is_sealed: bool
    was_not_run: bool
    is_other_server: bool
    is_encoded: bool
    is_server_leaving: bool = False
    pause_s: float = 0.0
    rate_limit_per_s: float | None = None
    max_rejections_per_s: float | None = None
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of a stage, as sent to a stage server.

    Parameters
    ----------
    request_id : str
        Request that it belongs to.
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage, from 0.
    time_left_s : float
        Time until its result is no longer needed, in seconds.
    key : str
        Key of the data it is computed from, for a stage without inputs.
    inputs : tuple of str
        Handles of the results that it reads.
    """

    request_id: str
    stage: int
    number: int
    time_left_s: float
    key: str = ""
    inputs: tuple[str, ...] = ()


class PieceFailure(StrEnum):
    """Reason for which a stage server returned no result for a piece."""

    TOO_LATE = "too_late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Result of a piece: the handle of its data, or the reason for its absence."""

    handle: str = ""
    failure: PieceFailure | None = None


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """An HTTP request of the router itself to a server or the store."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class WireFormatError(Exception):
    """A message from another program is malformed."""


class Wire(Protocol):
    """Codec of the platform's HTTP messages, implemented outside the router."""

    def parse_request(self, request: HttpRequest) -> RequestMetadata:
        """Parse a request's headers; raise `WireFormatError` if malformed."""
        ...

    def build_request_headers(
        self, request: HttpRequest, dispatch: Dispatch
    ) -> Headers:
        """Return the headers of a request to a server."""
        ...

    def build_local_reply_headers(self, request_id: str) -> Headers:
        """Return the headers of a response that the router generates itself."""
        ...

    def parse_response_head(self, head: HttpResponseHead) -> ResponseInfo:
        """Parse the head of a server's response."""
        ...

    def build_batch_request(
        self, server: Server, pieces: Sequence[Piece]
    ) -> OutboundRequest:
        """Return the request that runs pieces at a stage server."""
        ...

    def parse_batch_response(
        self, body: bytes, expected: int
    ) -> tuple[PieceResult, ...]:
        """Parse the results of a batch; raise `WireFormatError` if malformed.

        The response must hold one result for each of the `expected` pieces.
        """
        ...

    def build_release_request(
        self, server: Server, handles: Sequence[str]
    ) -> OutboundRequest:
        """Return the request that releases results at a stage server."""
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
