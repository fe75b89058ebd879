"""Client of plain services, which are called by `POST /v1/run`."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from persimmonlink_interfaces.bounded_response import read_body
from persimmonlink_interfaces.connection import (
    ConnectionPools,
    create_pool,
    create_timeout,
)
from persimmonlink_interfaces.stage_client import (
    INCARNATION_HEADER,
    NOT_RUN_HEADER,
    CallFailure,
    CallFault,
    StageCall,
    StageOutput,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.cancellation import Cancellation
    from persimmonlink_model.deadline import Deadline

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503


@dataclass(frozen=True)
class _RunResponse:
    request_id: str
    stage: str
    output: str
    cost: float = 0.0


class PlainClient:
    """Calls servers of plain services.

    A call that must not be repeated uses a new connection: if a pooled connection
    breaks, it is unknown whether the server has read the call.
    """

    def __init__(self) -> None:
        self._pools = ConnectionPools()

    def run(
        self,
        address: str,
        call: StageCall,
        deadline: Deadline,
        cancelled: Cancellation,
        on_text: Callable[[str], None],
    ) -> Result[StageOutput, CallFailure]:
        """Run a call; `on_text` receives the whole output at once."""
        pool = self._pools.get(address) if call.repeatable else create_pool(address)
        started_at = time.monotonic()
        left_s = deadline.remaining_s(started_at)
        try:
            response = pool.urlopen(
                "POST",
                "/v1/run",
                body=_encode_call(call),
                headers={"Content-Type": "application/json"},
                timeout=create_timeout(
                    max(0.001, min(left_s, call.first_byte_timeout_s))
                ),
                redirect=False,
                preload_content=False,
            )
            data = read_body(response, deadline.remaining_s(time.monotonic()))
        except (HTTPError, OSError) as error:
            self._pools.drop(address)
            return Err(failure_from_error(error, deadline))
        finally:
            if not call.repeatable:
                pool.close()
        if response.status != _HTTP_OK:
            # A rejection names no call: sent once more, it would be that of the next.
            self._pools.drop(address)
        elapsed_s = time.monotonic() - started_at
        return _parse_response(response, data, call, elapsed_s).map(
            lambda output: _emit_text(output, on_text)
        )


def _emit_text(output: StageOutput, on_text: Callable[[str], None]) -> StageOutput:
    on_text(output.text)
    return output


def _encode_call(call: StageCall) -> bytes:
    return msgspec.json.encode(
        {
            "request_id": call.call_id,
            "stage": call.stage,
            "account": call.account,
            "input": call.input,
        }
    )


def _parse_response(
    response: Any, data: bytes, call: StageCall, elapsed_s: float
) -> Result[StageOutput, CallFailure]:
    status_failure = failure_from_status(response)
    if status_failure is not None:
        return Err(status_failure)
    incarnation = response.headers.get(INCARNATION_HEADER, "")
    try:
        answer = msgspec.json.decode(data, type=_RunResponse)
    except msgspec.MsgspecError as error:
        return Err(
            CallFailure(CallFault.INVALID_RESPONSE, str(error), elapsed_s, incarnation)
        )
    if answer.request_id != call.call_id or answer.stage != call.stage:
        detail = f"the response is for {answer.request_id}, not {call.call_id}"
        return Err(
            CallFailure(CallFault.INVALID_RESPONSE, detail, elapsed_s, incarnation)
        )
    cost = answer.cost or elapsed_s
    return Success(StageOutput(answer.output, cost, incarnation, elapsed_s))


def failure_from_status(response: Any) -> CallFailure | None:
    """Return the failure that an HTTP status means, or None for 200."""
    if response.status == _HTTP_OK:
        return None
    not_run = response.headers.get(NOT_RUN_HEADER) == "1"
    is_refused = response.status == _HTTP_UNAVAILABLE and not_run
    fault = CallFault.NOT_RUN if is_refused else CallFault.BROKEN
    incarnation = response.headers.get(INCARNATION_HEADER, "")
    return CallFailure(fault, f"HTTP status {response.status}", 0.0, incarnation)


def failure_from_error(error: Exception, deadline: Deadline) -> CallFailure:
    """Return the failure that an exception of urllib3 means.

    Only a connection that was never established proves that nothing was run.
    """
    name = type(error).__name__
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return CallFailure(CallFault.NOT_RUN, name)
    if deadline.is_expired(time.monotonic()):
        return CallFailure(CallFault.DEADLINE_PASSED, name)
    if isinstance(error, ReadTimeoutError):
        return CallFailure(CallFault.READ_TIMEOUT, name)
    return CallFailure(CallFault.BROKEN, f"{name}: {error}")


__all__ = ("PlainClient", "failure_from_error", "failure_from_status")
