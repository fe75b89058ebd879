"""Numbered result codes, and failures that carry one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class RunState(StrEnum):
    """Whether a request's work was run, as far as this is known."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Numbered outcome of a request or of an operator's command."""

    MALFORMED_BODY = 1001
    INVALID_FIELD = 1002
    BODY_TOO_LARGE = 1003
    MISSING_ACCOUNT = 1004
    UNKNOWN_ACCOUNT = 1005
    UNKNOWN_PIPELINE = 1006
    DEADLINE_EXPIRED = 1007
    INVALID_REQUEST_ID = 1008
    REQUEST_ID_TOO_OLD = 1009
    DUPLICATE_ID_OTHER_BODY = 1010
    UNKNOWN_PATH = 1011
    REQUEST_ID_FROM_FUTURE = 1012
    OVERLOADED = 2001
    DEADLINE_UNREACHABLE = 2002
    NO_SERVER = 2003
    NODE_STOPPING = 2004
    CLAIM_UNAVAILABLE = 2005
    NOT_CONFIGURED = 2006
    ANSWER_NOT_HERE = 2007
    DEADLINE_EXCEEDED = 3001
    STAGE_FAILED = 3002
    OUTCOME_UNKNOWN = 3003
    CANCELLED = 3004
    ANSWER_EXPIRED = 3005
    STILL_RUNNING = 3006
    RECORD_CONFLICT = 4001
    RECORD_INVALID = 4002
    RECORD_SCHEMA_UNKNOWN = 4003
    RECORD_NOT_FOUND = 4004
    KEY_VALUE_UNAVAILABLE = 4005
    VM_LIST_INVALID = 4006
    KEY_VALUE_WENT_BACK = 4007
    PEER_MESSAGE_INVALID = 5001
    PEER_VERSION_UNKNOWN = 5002
    PEER_UNREACHABLE = 5003
    INTERNAL_ERROR = 9001


@dataclass(frozen=True)
class ResultCodeInfo:
    """HTTP status, title and run state of a result code.

    Parameters
    ----------
    http_status : int
        Status of HTTP answers with the code.
    title : str
        One-line description.
    run_state : RunState or None
        Run state that the code implies, or None if it depends on the failure.
    """

    http_status: int
    title: str
    run_state: RunState | None


_NOT_RUN = RunState.NOT_RUN
_INFO = ResultCodeInfo
INFO_BY_CODE: dict[ResultCode, ResultCodeInfo] = {
    ResultCode.MALFORMED_BODY: _INFO(400, "The body is not valid JSON", _NOT_RUN),
    ResultCode.INVALID_FIELD: _INFO(
        400, "A field is missing or has a wrong type", _NOT_RUN
    ),
    ResultCode.BODY_TOO_LARGE: _INFO(413, "The body is over the limit", _NOT_RUN),
    ResultCode.MISSING_ACCOUNT: _INFO(400, "No client account is named", _NOT_RUN),
    ResultCode.UNKNOWN_ACCOUNT: _INFO(403, "The client account is unknown", _NOT_RUN),
    ResultCode.UNKNOWN_PIPELINE: _INFO(404, "The pipeline is unknown", _NOT_RUN),
    ResultCode.DEADLINE_EXPIRED: _INFO(
        400, "The deadline is over before the request starts", _NOT_RUN
    ),
    ResultCode.INVALID_REQUEST_ID: _INFO(400, "The request id is malformed", _NOT_RUN),
    ResultCode.REQUEST_ID_TOO_OLD: _INFO(
        409,
        "The request id is older than the retry horizon and is not run now",
        RunState.UNKNOWN,
    ),
    ResultCode.DUPLICATE_ID_OTHER_BODY: _INFO(
        409, "The request id was used with another body", RunState.UNKNOWN
    ),
    ResultCode.UNKNOWN_PATH: _INFO(404, "There is nothing at this path", _NOT_RUN),
    ResultCode.REQUEST_ID_FROM_FUTURE: _INFO(
        400, "The request id's time is ahead of the clock", _NOT_RUN
    ),
    ResultCode.OVERLOADED: _INFO(503, "The queue is full", None),
    ResultCode.DEADLINE_UNREACHABLE: _INFO(
        503, "The request can't be finished within its deadline", None
    ),
    ResultCode.NO_SERVER: _INFO(503, "No backend server can take the stage", None),
    ResultCode.NODE_STOPPING: _INFO(503, "The node is stopping", _NOT_RUN),
    ResultCode.CLAIM_UNAVAILABLE: _INFO(
        503, "The request id can't be claimed now", None
    ),
    ResultCode.NOT_CONFIGURED: _INFO(
        503, "The node has no configuration yet", _NOT_RUN
    ),
    ResultCode.ANSWER_NOT_HERE: _INFO(
        404, "No answer is kept for this request id", RunState.UNKNOWN
    ),
    ResultCode.DEADLINE_EXCEEDED: _INFO(
        504, "The deadline passed while stages were run", None
    ),
    ResultCode.STAGE_FAILED: _INFO(502, "A stage failed", None),
    ResultCode.OUTCOME_UNKNOWN: _INFO(
        502,
        "The outcome is unknown; the request will not be run again",
        RunState.UNKNOWN,
    ),
    ResultCode.CANCELLED: _INFO(409, "The request was cancelled", None),
    ResultCode.ANSWER_EXPIRED: _INFO(
        410, "The request ran and its answer is no longer kept", RunState.RAN
    ),
    ResultCode.STILL_RUNNING: _INFO(
        409, "The request is still running", RunState.UNKNOWN
    ),
    ResultCode.RECORD_CONFLICT: _INFO(
        409, "Another change to the record came first", None
    ),
    ResultCode.RECORD_INVALID: _INFO(422, "The record is invalid", None),
    ResultCode.RECORD_SCHEMA_UNKNOWN: _INFO(
        422, "The record's schema version is unknown", None
    ),
    ResultCode.RECORD_NOT_FOUND: _INFO(404, "There is no such record", None),
    ResultCode.KEY_VALUE_UNAVAILABLE: _INFO(
        503, "The key-value service does not answer", None
    ),
    ResultCode.VM_LIST_INVALID: _INFO(503, "The VM list can't be used", None),
    ResultCode.KEY_VALUE_WENT_BACK: _INFO(
        503, "The key-value service shows an older state than before", None
    ),
    ResultCode.PEER_MESSAGE_INVALID: _INFO(400, "A peer message is malformed", None),
    ResultCode.PEER_VERSION_UNKNOWN: _INFO(
        400, "A peer message has an unknown version", None
    ),
    ResultCode.PEER_UNREACHABLE: _INFO(503, "A peer does not answer", None),
    ResultCode.INTERNAL_ERROR: _INFO(500, "The node met a bug", RunState.UNKNOWN),
}


@dataclass(frozen=True)
class Failure:
    """Anticipated failure with a result code.

    Parameters
    ----------
    code : ResultCode
        Result code.
    detail : str
        Human-readable description of this occurrence.
    run_state : RunState
        Whether any work of the request was run.
    retry_after_s : float or None
        Time after which a retry is worthwhile, in seconds, or None if unknown.
    """

    code: ResultCode
    detail: str = ""
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None

    def to_problem(self) -> dict[str, object]:
        """Return the failure as an `application/problem+json` object."""
        info = INFO_BY_CODE[self.code]
        # The state implied by the code replaces only NOT_RUN, so work that ran or may
        # have run is never reported as not run.
        run_state = self.run_state
        if run_state is RunState.NOT_RUN:
            run_state = info.run_state or run_state
        return {
            "type": f"urn:persimmonlink:result:{self.code.value}",
            "title": info.title,
            "status": info.http_status,
            "detail": self.detail,
            "code": self.code.value,
            "run_state": run_state.value,
            "retry_after_s": self.retry_after_s,
        }


__all__ = ("INFO_BY_CODE", "Failure", "ResultCode", "ResultCodeInfo", "RunState")
