"""Pipeline requests, their answers and the reports of their stages."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class RequestBody:
    """The body of a caller's request.

    Parameters
    ----------
    account : str
        Client account that the request is charged to.
    input : str
        Input of the first stage.
    request_id : str
        Id under which the caller may retry; made by the node when empty.
    deadline_ms : int or None
        Time left to the caller, in milliseconds; the pipeline's when None.
    repeatable : bool
        Whether running the request twice does no harm.
    request_class : str
        Class that metrics are kept by, such as `lookup`.
    priority : int or None
        Priority within the account, smaller first; the pipeline's when None.
    stream : bool
        Whether the answer is sent chunk by chunk.
    """

    input: str
    account: str = ""
    request_id: str = ""
    deadline_ms: int | None = None
    repeatable: bool = True
    request_class: str = "default"
    priority: int | None = None
    stream: bool = False


@dataclass(frozen=True)
class StageReport:
    """What one stage of a request took.

    Parameters
    ----------
    stage : str
        Name of the stage.
    server_id : str
        Backend server that ran it.
    seconds : float
        Time from the stage's start to its result, in seconds.
    cost : float
        Measured cost, in server seconds.
    attempts : int
        Calls sent, the last one included.
    wasted_cost : float
        Cost of calls whose result was not used, in server seconds.
    waited_s : float
        Time spent waiting for a slot, in seconds.
    """

    stage: str
    server_id: str
    seconds: float
    cost: float
    attempts: int = 1
    wasted_cost: float = 0.0
    waited_s: float = 0.0


@dataclass(frozen=True)
class Answer:
    """The whole answer to one request.

    Parameters
    ----------
    request_id : str
        The request that it answers.
    output : str
        Output of the last stage.
    stages : tuple of StageReport
        What each stage took.
    complete : bool
        Always true: an answer that isn't whole is a failure.
    """

    request_id: str
    output: str
    stages: tuple[StageReport, ...] = field(default_factory=tuple)
    complete: bool = True


__all__ = ("Answer", "RequestBody", "StageReport")
