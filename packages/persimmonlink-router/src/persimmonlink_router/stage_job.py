"""Stages that a request needs, and the results of their pieces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated
from uuid import uuid4

from msgspec import Meta

from persimmonlink_router.foreign_values import Count, Integer, PieceCount, Seconds
from persimmonlink_router.servers import Server
from persimmonlink_router.stage_order import MAX_STAGES, find_impossible_stage


@dataclass(frozen=True, slots=True)
class StageNeed:
    """Requirements of a request for one of its stages.

    Parameters
    ----------
    service : str
        Service whose servers run the stage.
    after : tuple of int
        Indexes of the stages whose results are the inputs of this one.
    result_bytes : int
        Approximate size of the result of a piece, in bytes.
    pieces : int
        Number of pieces; 0 skips the stage.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: Count
    pieces: PieceCount


@dataclass(frozen=True, slots=True)
class TransferredResult:
    """A stage result that one coordinator transfers to the next.

    Parameters
    ----------
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage.
    handle : str
        Handle of the result; empty if the stages after it have consumed the result.
    server_id : str
        Server that stores the result.
    size : int
        Size of the result, in bytes.
    """

    stage: Count
    number: Count
    handle: str
    server_id: str
    size: Count


@dataclass(frozen=True, slots=True)
class StageJob:
    """A request whose stages are to be run.

    Parameters
    ----------
    request_id : str
        Id of the request.
    account : str
        Client account.
    priority : int
        Priority; 0 is the most urgent.
    objective_left_s : float
        Time left to the route's objective, for reports and older builds, in seconds.
    deadline_left_s : float
        Time left until the client leaves without a first event, in seconds.
    answer_s : float
        Time from the end of the stages to the first event, in seconds.
    answer_domain : str
        Failure domain of the server that is expected to run the request itself.
    piece_key : str
        Key of the data from which the pieces of the first stages are computed.
    stages : tuple of StageNeed
        The stages, by index.
    made : tuple of TransferredResult
        Results that the previous coordinator transferred.
    fingerprint : str
        Digest by which the request is recognized if it comes again; empty if unknown.
    path : str
        Path of the request.
    attempt : str
        Tells this run of the stages from others of the same request; empty from nodes
        of older builds.
    exact_fingerprint : str
        Digest that tells methods and queries apart too; empty if unknown.
    """

    request_id: str
    account: str
    priority: Integer
    objective_left_s: Seconds
    deadline_left_s: Seconds
    answer_s: Seconds
    answer_domain: str
    piece_key: str
    stages: Annotated[tuple[StageNeed, ...], Meta(max_length=MAX_STAGES)]
    made: tuple[TransferredResult, ...] = ()
    fingerprint: str = ""
    path: str = ""
    attempt: str = ""
    exact_fingerprint: str = ""

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """The digests of the request that are known."""
        both = (self.fingerprint, self.exact_fingerprint)
        return tuple(fingerprint for fingerprint in both if fingerprint)

    @property
    def return_key(self) -> str:
        """By what the request is recognized as it comes again; empty if unknown."""
        return f"{self.fingerprint}\0{self.piece_key}" if self.fingerprint else ""

    @property
    def can_run(self) -> bool:
        """Whether its stages can be run in some order, and have the results it says."""
        if find_impossible_stage([need.after for need in self.stages]) is not None:
            return False
        return all(
            result.stage < len(self.stages)
            and result.number < self.stages[result.stage].pieces
            for result in self.made
        )


@dataclass(frozen=True, slots=True)
class StageResult:
    """A result, stored on the server that computed it."""

    handle: str
    server: Server
    size: int


def make_attempt() -> str:
    """Return a name for a run of stages that no run of any node has."""
    return uuid4().hex


__all__ = ("StageJob", "StageNeed", "StageResult", "TransferredResult", "make_attempt")
