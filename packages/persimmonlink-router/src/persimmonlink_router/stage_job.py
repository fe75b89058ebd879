"""What is asked of the stage servers for a request, and what they have made of it."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_router.servers import Server


@dataclass(frozen=True, slots=True)
class StageNeed:
    """What a request needs of one stage.

    Parameters
    ----------
    service : str
        Service that runs the stage.
    after : tuple of int
        Indexes of the stages whose results it needs.
    result_bytes : int
        Approximate size of the result of a piece.
    pieces : int
        Pieces; 0 leaves the stage out.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int
    pieces: int


@dataclass(frozen=True, slots=True)
class TransferredResult:
    """A result that one coordinator passes on to the next.

    Parameters
    ----------
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage.
    handle : str
        Handle of the result; empty if it was used up by the stages after it.
    server_id : str
        Server at which it lies.
    size : int
        Its size, in bytes.
    """

    stage: int
    number: int
    handle: str
    server_id: str
    size: int


@dataclass(frozen=True, slots=True)
class StageJob:
    """A request whose stages are to be run.

    Parameters
    ----------
    request_id : str
        Name of the request.
    account : str
        Client account.
    priority : int
        Rank, 0 being the most urgent.
    objective_left_s : float
        Time until the first event earns less, in seconds.
    deadline_left_s : float
        Time until the request is given up, in seconds.
    answer_s : float
        Time that the request itself takes to its first event, in seconds.
    answer_domain : str
        Failure domain of the server that is expected to run the request itself.
    piece_key : str
        What the pieces of the first stages are made from.
    stages : tuple of StageNeed
        The stages, by index.
    made : tuple of TransferredResult
        Results that a former coordinator had of it.
    """

    request_id: str
    account: str
    priority: int
    objective_left_s: float
    deadline_left_s: float
    answer_s: float
    answer_domain: str
    piece_key: str
    stages: tuple[StageNeed, ...]
    made: tuple[TransferredResult, ...] = ()


@dataclass(frozen=True, slots=True)
class StageResult:
    """A result that lies at the server which made it."""

    handle: str
    server: Server
    size: int


__all__ = ("StageJob", "StageNeed", "StageResult", "TransferredResult")
