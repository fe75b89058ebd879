"""Messages to fetch answers, forward requests and transfer results between nodes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from persimmonlink_model.request import Answer, RequestBody
from persimmonlink_model.result_code import Failure
from persimmonlink_peers.message import Sender


class AnswerState(StrEnum):
    """State of a request at the node that replies."""

    FINISHED = "finished"
    RUNNING = "running"
    NOTHING = "nothing"
    OTHER_INCARNATION = "other_incarnation"


@dataclass(frozen=True)
class FetchAnswer:
    """Query for the outcome of a request.

    Parameters
    ----------
    sender : Sender
        Node that sends the query.
    request_id : str
        Id of the request.
    incarnation : str
        Incarnation that must reply; empty if any may.
    body_digest : str
        Digest of the caller's body; empty if the caller sent only the id.
    """

    sender: Sender
    request_id: str
    incarnation: str = ""
    body_digest: str = ""


@dataclass(frozen=True)
class FetchedAnswer:
    """State of a queried request, or outcome of a forwarded one.

    Parameters
    ----------
    state : AnswerState
        State of the request.
    answer : Answer or None
        Answer of a successful request.
    failure : Failure or None
        Failure of a failed request.
    """

    state: AnswerState
    answer: Answer | None = None
    failure: Failure | None = None


@dataclass(frozen=True)
class ForwardRequest:
    """Request forwarded to the only node that may run it.

    Parameters
    ----------
    sender : Sender
        Node that received the request from the caller.
    incarnation : str
        The only incarnation that may run the request.
    pipeline_name : str
        Pipeline to run.
    body : RequestBody
        Body sent by the caller, with the request id and the remaining time.
    """

    sender: Sender
    incarnation: str
    pipeline_name: str
    body: RequestBody


@dataclass(frozen=True)
class TransferredResult:
    """One kept result of a node that stops.

    Parameters
    ----------
    request_id : str
        Id of the request.
    body_digest : str
        Digest of the request's body.
    age_s : float
        Time since the request was registered, in seconds.
    answer : Answer or None
        Answer of a successful request.
    failure : Failure or None
        Failure of a failed request; if answer and failure are None, the outcome was
        evicted.
    """

    request_id: str
    body_digest: str
    age_s: float
    answer: Answer | None = None
    failure: Failure | None = None


@dataclass(frozen=True)
class HandOverResults:
    """Kept results transferred by a node that stops.

    Parameters
    ----------
    sender : Sender
        Node that stops.
    results : tuple of TransferredResult
        Results to keep.
    """

    sender: Sender
    results: tuple[TransferredResult, ...]


@dataclass(frozen=True)
class HandOverResultsReply:
    """Reply to a transfer of kept results.

    Parameters
    ----------
    taken : int
        Number of results that the receiver keeps.
    """

    taken: int


__all__ = (
    "AnswerState",
    "FetchAnswer",
    "FetchedAnswer",
    "ForwardRequest",
    "HandOverResults",
    "HandOverResultsReply",
    "TransferredResult",
)
