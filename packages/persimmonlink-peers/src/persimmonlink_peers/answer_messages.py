"""Messages by which nodes fetch answers, forward requests and hand results over."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from persimmonlink_model.request import Answer, RequestBody
from persimmonlink_model.result_code import Failure
from persimmonlink_peers.message import Sender


class AnswerState(StrEnum):
    """What a node knows of a request."""

    FINISHED = "finished"
    RUNNING = "running"
    NOTHING = "nothing"
    OTHER_INCARNATION = "other_incarnation"


@dataclass(frozen=True)
class FetchAnswer:
    """A question for the outcome of a request.

    Parameters
    ----------
    sender : Sender
        The node that asks.
    request_id : str
        The request.
    incarnation : str
        Incarnation that is asked; empty if any may answer.
    body_digest : str
        Digest of the caller's body; empty for a caller that only asks.
    """

    sender: Sender
    request_id: str
    incarnation: str = ""
    body_digest: str = ""


@dataclass(frozen=True)
class FetchedAnswer:
    """What a node knows of a request, or how a forwarded one ended.

    Parameters
    ----------
    state : AnswerState
        How far the request has come.
    answer : Answer or None
        The answer of one that succeeded.
    failure : Failure or None
        The failure of one that failed.
    """

    state: AnswerState
    answer: Answer | None = None
    failure: Failure | None = None


@dataclass(frozen=True)
class ForwardRequest:
    """A request that only the node asked may run.

    Parameters
    ----------
    sender : Sender
        The node that the caller asked.
    incarnation : str
        Incarnation that alone may run it.
    pipeline_name : str
        Pipeline to run.
    body : RequestBody
        What the caller sent, with its id and the time left.
    """

    sender: Sender
    incarnation: str
    pipeline_name: str
    body: RequestBody


@dataclass(frozen=True)
class TransferredResult:
    """One kept result.

    Parameters
    ----------
    request_id : str
        The request.
    body_digest : str
        Digest of its body.
    age_s : float
        Seconds since the request came in.
    answer : Answer or None
        The answer of one that succeeded.
    failure : Failure or None
        The failure of one that failed; without either the outcome was evicted.
    """

    request_id: str
    body_digest: str
    age_s: float
    answer: Answer | None = None
    failure: Failure | None = None


@dataclass(frozen=True)
class HandOverResults:
    """Kept results of a node that stops.

    Parameters
    ----------
    sender : Sender
        The node that stops.
    results : tuple of TransferredResult
        Its results.
    """

    sender: Sender
    results: tuple[TransferredResult, ...]


@dataclass(frozen=True)
class HandOverResultsReply:
    """How many results were taken.

    Parameters
    ----------
    taken : int
        Results that are kept now.
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
