"""Client of model engines that serve the OpenAI completions protocol."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
from loguru import logger
from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3.exceptions import HTTPError

from persimmonlink_interfaces.bounded_response import (
    MAX_LINE_BYTES,
    iterate_lines,
    iterate_parts,
    read_body,
)
from persimmonlink_interfaces.connection import (
    ConnectionPools,
    create_pool,
    create_timeout,
)
from persimmonlink_interfaces.plain_client import (
    failure_from_error,
    failure_from_status,
)
from persimmonlink_interfaces.stage_client import (
    INCARNATION_HEADER,
    CallFailure,
    CallFault,
    StageCall,
    StageOutput,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from persimmonlink_interfaces.cancellation import Cancellation
    from persimmonlink_model.deadline import Deadline

DECODE_TOKEN_COST_S = 0.004  # Server time per generated token.
PREFILL_TOKEN_COST_S = 0.0002  # Server time per prompt token that is not cached.
CANCEL_TIMEOUT_S = 0.5
MAX_RESUMES = 2
_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"


@dataclass(frozen=True)
class _Choice:
    text: str
    finish_reason: str | None = None


@dataclass(frozen=True)
class _Usage:
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True)
class _Chunk:
    id: str
    index: int
    choices: tuple[_Choice, ...]
    usage: _Usage | None = None


@dataclass
class _Generation:
    """Tokens and usage received for one generation, over all its connections."""

    texts: list[str] = field(default_factory=list)
    usage: _Usage | None = None
    finished: bool = False
    incarnation: str = ""
    first_byte_s: float = 0.0

    @property
    def cost(self) -> float:
        """Estimated cost so far, in server seconds."""
        cost = len(self.texts) * DECODE_TOKEN_COST_S
        if self.usage is None:
            return cost
        prefill_tokens = self.usage.prompt_tokens - self.usage.cached_tokens
        return cost + prefill_tokens * PREFILL_TOKEN_COST_S


class EngineClient:
    """Calls model engines; a broken stream is resumed at the next token."""

    def __init__(self) -> None:
        self._pools = ConnectionPools(size=64)

    def run(
        self,
        address: str,
        call: StageCall,
        deadline: Deadline,
        cancelled: Cancellation,
        on_text: Callable[[str], None],
    ) -> Result[StageOutput, CallFailure]:
        """Run a generation; resume a broken stream up to `MAX_RESUMES` times."""
        generation = _Generation()
        resumes = 0
        while True:
            failure = self._stream_once(
                address, call, deadline, cancelled, on_text, generation
            )
            if failure is None:
                return Success(_build_output(generation))
            resumable = failure.fault in (CallFault.BROKEN, CallFault.READ_TIMEOUT)
            # Before the first token, the engine can't tell a resume from a new run.
            if not resumable or not generation.texts or resumes == MAX_RESUMES:
                break
            resumes += 1
            logger.info(
                "resuming generation {} at token {}",
                call.call_id,
                len(generation.texts),
            )
        if failure.fault is not CallFault.NOT_RUN:
            self._cancel(address, call.call_id)
        return Err(
            CallFailure(
                failure.fault, failure.detail, generation.cost, generation.incarnation
            )
        )

    def _stream_once(
        self,
        address: str,
        call: StageCall,
        deadline: Deadline,
        cancelled: Cancellation,
        on_text: Callable[[str], None],
        generation: _Generation,
    ) -> CallFailure | None:
        is_dedicated = bool(generation.texts) or not call.repeatable
        pool = create_pool(address) if is_dedicated else self._pools.get(address)
        started_at = time.monotonic()
        left_s = deadline.remaining_s(started_at)
        response: Any = None
        try:
            response = pool.urlopen(
                "POST",
                "/v1/completions",
                body=_encode_call(call, len(generation.texts)),
                headers={"Content-Type": "application/json"},
                timeout=create_timeout(
                    max(0.001, min(left_s, call.first_byte_timeout_s))
                ),
                preload_content=False,
                redirect=False,
            )
            status_failure = failure_from_status(response)
            if status_failure is not None:
                return (
                    _to_resume_failure(status_failure)
                    if generation.texts
                    else status_failure
                )
            incarnation = response.headers.get(INCARNATION_HEADER, "")
            if generation.texts and incarnation != generation.incarnation:
                return CallFailure(
                    CallFault.INVALID_RESPONSE,
                    f"incarnation {incarnation!r} of the engine resumed a generation "
                    f"of {generation.incarnation!r}",
                )
            generation.incarnation = incarnation
            if not generation.texts:
                generation.first_byte_s = time.monotonic() - started_at
            return _read_chunks(
                response, call, deadline, cancelled, on_text, generation
            )
        except (HTTPError, OSError) as error:
            failure = failure_from_error(error, deadline)
            if generation.texts and failure.fault is CallFault.NOT_RUN:
                # Only the resume was not sent, the generation has run.
                return replace(failure, fault=CallFault.BROKEN)
            return failure
        except msgspec.MsgspecError as error:
            return CallFailure(CallFault.INVALID_RESPONSE, str(error))
        finally:
            _release(response, pool, generation, is_dedicated=is_dedicated)

    def _cancel(self, address: str, call_id: str) -> None:
        pool = create_pool(address)
        try:
            pool.urlopen(
                "DELETE",
                f"/v1/completions/{quote(call_id, safe='')}",
                timeout=create_timeout(CANCEL_TIMEOUT_S),
                redirect=False,
                preload_content=False,
            ).close()
        except (HTTPError, OSError) as error:
            logger.info(
                "failed to cancel generation {}: {}", call_id, type(error).__name__
            )
        finally:
            pool.close()


def _release(
    response: Any, pool: Any, generation: _Generation, *, is_dedicated: bool
) -> None:
    if response is not None:
        if generation.finished:
            _drain(response)
        else:
            response.close()
    if is_dedicated:
        pool.close()


def _drain(response: Any) -> None:
    """Read what follows a whole generation, so that its connection can be kept."""
    try:
        read_body(response, CANCEL_TIMEOUT_S, MAX_LINE_BYTES)
    except (HTTPError, OSError) as error:
        # The generation stays valid; only the connection is lost.
        logger.info("closed a connection after a generation: {}", error)


def _to_resume_failure(status_failure: CallFailure) -> CallFailure:
    # Not `NOT_RUN`: the generation has started, only the resume was refused.
    return CallFailure(
        CallFault.INVALID_RESPONSE, f"resume refused: {status_failure.detail}"
    )


def _set_read_timeout(response: Any, call: StageCall, deadline: Deadline) -> None:
    connection = response.connection
    if connection is None or connection.sock is None:
        return
    left_s = deadline.remaining_s(time.monotonic())
    connection.sock.settimeout(max(0.001, min(left_s, call.chunk_timeout_s)))


def _read_chunks(
    response: Any,
    call: StageCall,
    deadline: Deadline,
    cancelled: Cancellation,
    on_text: Callable[[str], None],
    generation: _Generation,
) -> CallFailure | None:
    _set_read_timeout(response, call, deadline)
    for data in _iterate_events(response, deadline):
        _set_read_timeout(response, call, deadline)
        if cancelled.is_set():
            return CallFailure(CallFault.CANCELLED, "cancelled")
        if deadline.is_expired(time.monotonic()):
            return CallFailure(CallFault.DEADLINE_PASSED, "the deadline passed")
        if data == _DONE:
            break
        chunk = msgspec.json.decode(data, type=_Chunk)
        if chunk.id != call.call_id:
            return CallFailure(
                CallFault.INVALID_RESPONSE, f"chunk of another call: {chunk.id}"
            )
        if chunk.index < len(generation.texts):
            continue
        if chunk.index > len(generation.texts):
            return CallFailure(CallFault.BROKEN, "a chunk of the stream is missing")
        generation.texts.append(chunk.choices[0].text)
        on_text(chunk.choices[0].text)
        generation.usage = chunk.usage or generation.usage
        generation.finished = chunk.choices[0].finish_reason is not None
    if not generation.finished:
        return CallFailure(CallFault.BROKEN, "the stream ended before its last chunk")
    return None


def _iterate_events(response: Any, deadline: Deadline) -> Iterator[bytes]:
    """Yield the data of each event that a blank line has ended."""
    data = b""
    left_s = deadline.remaining_s(time.monotonic())
    for line in iterate_lines(iterate_parts(response, left_s)):
        if line.startswith(_DATA_PREFIX):
            data = line[len(_DATA_PREFIX) :].strip()
        elif data and not line.strip():
            yield data
            data = b""


def _encode_call(call: StageCall, offset: int) -> bytes:
    return msgspec.json.encode(
        {
            "model": call.stage,
            "prompt": call.input,
            "max_tokens": call.max_tokens,
            "stream": True,
            "priority": call.priority,
            "request_id": call.call_id,
            "stream_offset": offset,
            "user": call.account,
        }
    )


def _build_output(generation: _Generation) -> StageOutput:
    cached = generation.usage.cached_tokens if generation.usage else 0
    return StageOutput(
        "".join(generation.texts),
        generation.cost,
        generation.incarnation,
        generation.first_byte_s,
        cached,
    )


__all__ = ("DECODE_TOKEN_COST_S", "PREFILL_TOKEN_COST_S", "EngineClient")
