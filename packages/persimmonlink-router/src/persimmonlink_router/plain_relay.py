"""Relays plain requests: one server's complete response, or an error."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.configuration import RequestKind
from persimmonlink_router.http_client import ConnectionLostError
from persimmonlink_router.http_messages import strip_hop_by_hop_headers
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
    RequestRefusedError,
)
from persimmonlink_router.response_completion import OpenResponse

if TYPE_CHECKING:
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.server_sender import ServerSender

MAX_RESPONSE_BYTES = 16777216  # Largest response that is buffered until it is complete.


@dataclass(frozen=True, slots=True)
class _Answer:
    """A complete response of a server."""

    response: OpenResponse
    body: bytes

    @property
    def is_failure(self) -> bool:
        return self.response.head.status >= 500


async def relay_plain(state: RequestState, sender: ServerSender) -> None:
    """Send a request, repeat it if it is idempotent, and forward the response.

    Raises `RequestRefusedError` or `RequestFailedError` if there is no response.
    """
    attempts = PlainAttempts(state, sender)
    try:
        answer = await attempts.find_answer()
    finally:
        await attempts.end()
    sender.responses.record_start(state, answer.response)
    headers = strip_hop_by_hop_headers(answer.response.head.headers)
    with sender.body_budget.hold(answer.body):
        await state.exchange.respond(answer.response.head.status, headers, answer.body)


class PlainAttempts:
    """Attempts to have a request answered, of which the first answer counts.

    An attempt that may still be answered is waited for, also after another server was
    sent the request because the first one is late.

    Parameters
    ----------
    state : RequestState
        The request.
    sender : ServerSender
        Sends it to servers.
    """

    def __init__(self, state: RequestState, sender: ServerSender) -> None:
        self._state = state
        self._sender = sender
        self._tasks: set[asyncio.Task[_Answer]] = set()
        self._failed_answer: _Answer | None = None
        self._error: Exception | None = None
        self._may_overtake = True
        self._sends_before = 0

    async def find_answer(self) -> _Answer:
        """Return the first sound answer, or else the one with which a server failed.

        Raises `RequestRefusedError` or `RequestFailedError` if there is neither.
        """
        self._begin()
        while True:
            done, _ = await asyncio.wait(
                self._tasks,
                timeout=self._overtake_after_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._overtake()
                continue
            for task in done:
                self._tasks.discard(task)
                answer = self._take_answer(task)
                if answer is not None:
                    return answer
            if self._tasks:
                continue
            if not self._may_begin_again():
                return self._take_failed_answer()
            self._begin()

    async def end(self) -> None:
        """End the attempts whose answers are not needed any more."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for task in self._tasks:
            if not task.cancelled():
                # Its error, if it has one, is of no use any more.
                task.exception()

    def _overtake(self) -> None:
        """Ask another server beside the one that is late, if one was asked yet."""
        if self._state.sends == self._sends_before or self._overtake_after_s():
            return
        self._may_overtake = False
        if self._sender.allows_retry(self._state):
            self._begin()

    def _begin(self) -> None:
        self._sends_before = self._state.sends
        in_flight_ids = set(self._state.servers) if self._tasks else set()
        task = asyncio.create_task(
            _send_and_read(self._state, self._sender, in_flight_ids)
        )
        self._tasks.add(task)

    def _overtake_after_s(self) -> float | None:
        """Return when another server may be asked beside the one that is, in seconds.

        None if it may not. Each attempt that the route allows has an equal part of the
        time that is left, or less if the service is known to respond sooner. It begins
        as a server is sent the request.
        """
        state = self._state
        attempts_left = state.route.max_attempts - state.runs
        if not self._may_overtake or not _may_repeat(state, state.runs + 1):
            return None
        late_after_s = self._sender.responses.late_after_s(state.service)
        part_s = max(0.0, state.time_left_s) / attempts_left
        attempt_s = part_s if late_after_s is None else min(late_after_s, part_s)
        if state.sends == self._sends_before:
            return attempt_s
        return max(0.0, state.last_sent_at + attempt_s - boot_time())

    def _take_answer(self, task: asyncio.Task[_Answer]) -> _Answer | None:
        """Return the answer of an attempt that has ended, unless it failed."""
        error = task.exception()
        if error is None:
            answer = task.result()
            if not answer.is_failure:
                return answer
            self._failed_answer = answer
            if _may_repeat(self._state, self._state.runs):
                self._sender.responses.record_failure(answer.response.server)
            return None
        if not isinstance(error, RequestRefusedError | RequestFailedError):
            raise error
        if self._error is None or isinstance(error, RequestFailedError):
            self._error = _without_frames(error)
        return None

    def _may_begin_again(self) -> bool:
        """Whether the request may be sent again after all attempts have failed."""
        state = self._state
        if self._failed_answer is None and not isinstance(
            self._error, RequestFailedError
        ):
            return False
        if not _may_repeat(state, state.runs) or state.time_left_s <= 0:
            return False
        return self._sender.allows_retry(state)

    def _take_failed_answer(self) -> _Answer:
        """Return the answer with which a server failed, or raise what failed."""
        if self._failed_answer is not None:
            return self._failed_answer
        error, self._error = self._error, None
        is_refusal = isinstance(error, RequestRefusedError)
        may_another_node = isinstance(error, NoReachError)
        if is_refusal and self._state.may_have_run and not may_another_node:
            error = RequestFailedError(str(error))
        try:
            raise error or RequestFailedError("no attempt was made")
        finally:
            # The error refers to this frame.
            del error


def _without_frames(error: Exception) -> Exception:
    """Return an error without the frames, and their bodies, that it passed."""
    error.__cause__ = error.__context__ = None
    return error.with_traceback(None)


async def _send_and_read(
    state: RequestState, sender: ServerSender, avoided_ids: set[str]
) -> _Answer:
    """Send a request and read the whole response."""
    began_at = boot_time()
    try:
        response = await sender.send(state, avoided_ids=avoided_ids)
        body = await _read_body(state, sender, response)
    except asyncio.CancelledError:
        # It had no answer until now, whatever would have come.
        sender.responses.record_time(state.service, boot_time() - began_at)
        raise
    return _Answer(response, body)


async def _read_body(
    state: RequestState, sender: ServerSender, response: OpenResponse
) -> bytes:
    is_complete = False
    try:
        async with asyncio.timeout(state.time_left_s):
            body = await response.connection.read_body(
                MAX_RESPONSE_BYTES, sender.body_budget
            )
            await sender.responses.require_whole(response)
        is_complete = True
    except ConnectionLostError as error:
        sender.responses.record_interruption(state, response)
        raise RequestFailedError(f"{response.server.server_id}: {error!r}") from error
    except TimeoutError as error:
        sender.responses.record_failure(response.server)
        raise RequestFailedError(f"{response.server.server_id}: {error!r}") from error
    finally:
        sender.responses.finish(state, response, is_complete=is_complete)
    verify_success_response(state, response)
    return body


def verify_success_response(state: RequestState, response: OpenResponse) -> None:
    """Raise `RequestFailedError` for a 2xx response without a seal for the request.

    A body in an encoding that nobody requested is not accepted either.
    """
    info = response.info
    if not 200 <= response.head.status < 300:
        return
    answers_this_request = info.request_id == state.metadata.request_id
    if info.is_sealed and answers_this_request and not info.is_encoded:
        return
    raise RequestFailedError(
        f"{response.server.server_id}: the response has no seal, another request id, "
        "or an unrequested encoding"
    )


def _may_repeat(state: RequestState, runs: int) -> bool:
    is_repeatable = state.route.kind is RequestKind.IDEMPOTENT
    return is_repeatable and runs < state.route.max_attempts


__all__ = ("relay_plain", "verify_success_response")
