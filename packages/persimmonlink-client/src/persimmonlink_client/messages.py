"""Messages between callers and entry VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from persimmonlink_model.result_code import Failure, ResultCode, RunState


@dataclass(frozen=True)
class PipelineCall:
    """One request to a pipeline.

    Parameters
    ----------
    pipeline : str
        Name of the pipeline.
    account : str
        Client account that is charged for the request.
    input : str
        Input of the first stage.
    deadline_ms : int or None
        Time limit of the request, in milliseconds; the pipeline's default if None.
    repeatable : bool
        Whether the request is idempotent, so that it may be run twice.
    pinned : bool
        Whether a new id of a non-repeatable request is pinned to one entry VM.
    request_class : str
        Class by which the node groups its metrics; the node's default class if
        empty.
    request_id : str
        Id of the request, empty to create one.
    """

    pipeline: str
    account: str
    input: str
    deadline_ms: int | None = None
    repeatable: bool = True
    pinned: bool = True
    request_class: str = ""
    request_id: str = ""


@dataclass(frozen=True)
class StageReport:
    """Duration and cost of one stage of a request.

    Parameters
    ----------
    stage : str
        Name of the stage.
    server_id : str
        Backend server that ran it.
    seconds : float
        Duration, in seconds.
    cost : float
        Server time used, in seconds.
    attempts : int
        Number of calls sent to backend servers.
    """

    stage: str
    server_id: str = ""
    seconds: float = 0.0
    cost: float = 0.0
    attempts: int = 1


@dataclass(frozen=True)
class PipelineAnswer:
    """The complete answer to a request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    output : Any
        Output of the last stage.
    complete : bool
        Whether the answer is complete.
    stages : tuple of StageReport
        Duration and cost of each stage.
    """

    request_id: str
    output: Any
    complete: bool
    stages: tuple[StageReport, ...] = ()


@dataclass(frozen=True)
class StreamChunk:
    """One part of a streamed answer.

    Parameters
    ----------
    sequence : int
        Position of the part in the stream, from 0.
    text : str
        Text of the part.
    """

    sequence: int
    text: str


@dataclass(frozen=True)
class EntryAddress:
    """An entry VM that accepts requests.

    Parameters
    ----------
    address : str
        `IP:PORT` of the VM.
    domain : str
        Failure domain of the VM.
    """

    address: str
    domain: str = ""


@dataclass(frozen=True)
class EntryAnswer:
    """Response with the entry VMs to use and its time to live.

    Parameters
    ----------
    addresses : tuple of EntryAddress
        Entry VMs that accept requests, the preferred first.
    ttl_s : float
        Time for which the response may be cached, in seconds.
    id_prefix : str
        Prefix of the request ids that are pinned to the answering VM; empty if that
        VM accepts no new callers.
    """

    addresses: tuple[EntryAddress, ...]
    ttl_s: float
    id_prefix: str = ""


@dataclass(frozen=True)
class Problem:
    """An `application/problem+json` object.

    Parameters
    ----------
    code : int
        Numeric result code.
    title : str
        Fixed description of the result code.
    detail : str
        Description of this occurrence.
    run_state : RunState
        Whether any work was run.
    retry_after_s : float or None
        Seconds to wait before a retry.
    winner : dict or None
        Stored record that a refused change conflicts with.
    """

    code: int
    title: str = ""
    detail: str = ""
    run_state: RunState = RunState.UNKNOWN
    retry_after_s: float | None = None
    winner: dict[str, Any] | None = None

    def to_failure(self) -> Failure:
        """Convert to a failure; an unknown code becomes `INTERNAL_ERROR`."""
        detail = self.detail or self.title
        try:
            code = ResultCode(self.code)
        except ValueError:
            code = ResultCode.INTERNAL_ERROR
            detail = f"result code {self.code}: {detail}"
        return Failure(code, detail, self.run_state, self.retry_after_s)


__all__ = (
    "EntryAddress",
    "EntryAnswer",
    "PipelineAnswer",
    "PipelineCall",
    "Problem",
    "StageReport",
    "StreamChunk",
)
