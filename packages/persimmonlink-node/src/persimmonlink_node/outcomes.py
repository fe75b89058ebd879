"""Outcomes of requests, and failures that several modules return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.request import Answer
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Callable

STILL_RUNNING_RETRY_AFTER_S = 0.2

Outcome = Result[Answer, Failure]


def wrap_outcome(value: Answer | Failure) -> Outcome:
    """Return a kept answer or failure as an outcome."""
    if isinstance(value, Failure):
        return Err(value)
    return Success(value)


def replay_output(outcome: Outcome, on_text: Callable[[str], None]) -> Outcome:
    """Pass the whole text of an answer that was not streamed here to `on_text`."""
    if not isinstance(outcome, Err):
        on_text(outcome.unwrap().output)
    return outcome


def create_still_running_failure(request_id: str, node_id: str) -> Failure:
    """Return the failure that asks a caller to retry while the first run goes on."""
    return Failure(
        ResultCode.STILL_RUNNING,
        f"{request_id} is running at {node_id}",
        RunState.UNKNOWN,
        STILL_RUNNING_RETRY_AFTER_S,
    )


def create_other_body_failure(request_id: str) -> Failure:
    """Return the failure for an id that is used again with another body."""
    detail = f"{request_id} was first used with another body; this body was not run"
    return Failure(ResultCode.DUPLICATE_ID_OTHER_BODY, detail, RunState.UNKNOWN)


__all__ = (
    "Outcome",
    "create_other_body_failure",
    "create_still_running_failure",
    "replay_output",
    "wrap_outcome",
)
