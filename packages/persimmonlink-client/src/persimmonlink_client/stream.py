"""Parsing of streamed answers: parts in order, each once, then the result."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_client.messages import PipelineAnswer, Problem, StreamChunk
from persimmonlink_client.transport import decode
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True)
class _Line:
    """One line of a streamed answer; `complete` is None except in the last line."""

    sequence: int
    text: str = ""
    complete: bool | None = None
    request_id: str = ""
    output: Any = None
    stages: tuple[Any, ...] = ()
    problem: Problem | None = None


def read_stream(
    lines: Iterator[Result[bytes, Failure]], request_id: str
) -> Iterator[Result[StreamChunk | PipelineAnswer, Failure]]:
    """Yield the parts of a stream and its result.

    Parameters
    ----------
    lines : iterator of Result
        Lines as they arrive.
    request_id : str
        Id of the request that the stream must answer.

    Yields
    ------
    Result
        Parts, then the complete answer or a failure: `PEER_UNREACHABLE` if the stream
        breaks, lacks a part or ends without its last line.
    """
    expected_sequence = 0
    for line in lines:
        decoded = line.bind(lambda data: decode(data, _Line))
        if not isinstance(decoded, Success):
            yield Failed(decoded.failure())
            return
        item = decoded.unwrap()
        if item.sequence < expected_sequence:
            continue
        if item.sequence > expected_sequence:
            yield _unknown_outcome(f"part {expected_sequence} of the stream is missing")
            return
        expected_sequence += 1
        if item.complete is None:
            yield Success(StreamChunk(item.sequence, item.text))
            continue
        yield _parse_last_line(line.unwrap(), item, request_id)
        return
    yield _unknown_outcome("the stream ended before its last line")


def check_answer(
    answer: PipelineAnswer, request_id: str
) -> Result[PipelineAnswer, Failure]:
    """Check that an answer is complete and for the right request.

    Parameters
    ----------
    answer : PipelineAnswer
        The received answer.
    request_id : str
        Id of the request.

    Returns
    -------
    Result
        The answer, or `PEER_UNREACHABLE` with run state `UNKNOWN`.
    """
    if answer.request_id != request_id:
        return _unknown_outcome(f"the answer is for request {answer.request_id!r}")
    if not answer.complete:
        return _unknown_outcome("the answer is incomplete")
    return Success(answer)


def _parse_last_line(
    data: bytes, item: _Line, request_id: str
) -> Result[StreamChunk | PipelineAnswer, Failure]:
    """Return the answer or failure in the last line of a stream."""
    if item.problem is not None:
        return Failed(item.problem.to_failure())
    return decode(data, PipelineAnswer).bind(
        lambda answer: check_answer(answer, request_id)
    )


def _unknown_outcome(detail: str) -> Result[Any, Failure]:
    """Return the failure of a request whose outcome is unknown."""
    return Failed(Failure(ResultCode.PEER_UNREACHABLE, detail, RunState.UNKNOWN))


__all__ = ("check_answer", "read_stream")
