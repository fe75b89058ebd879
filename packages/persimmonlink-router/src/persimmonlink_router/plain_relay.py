"""Serves requests of plain services: one server's whole answer, or an honest error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from persimmonlink_router.configuration import RequestKind
from persimmonlink_router.http_client import ConnectionLostError
from persimmonlink_router.http_messages import strip_hop_headers
from persimmonlink_router.request_state import FailedError

if TYPE_CHECKING:
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.server_sender import OpenAnswer, ServerSender

MAX_ANSWER_BYTES = 33554432  # Most bytes of an answer that is kept until it is whole.
SILENCE_FACTOR = 2.0  # Objectives after which an idempotent request goes elsewhere.


async def relay_plain(state: RequestState, sender: ServerSender) -> None:
    """Pass a request on and its whole answer back."""
    while True:
        is_last = not _may_repeat(state, state.runs + 1)
        limit_s = None if is_last else SILENCE_FACTOR * state.route.objective_s
        try:
            answer = await sender.send(state, answer_limit_s=limit_s)
            body = await _read_body(state, sender, answer)
        except FailedError:
            if not _may_repeat(state, state.runs) or state.time_left_s <= 0:
                raise
            continue
        if answer.head.status >= 500 and _may_repeat(state, state.runs):
            sender.note_failure(answer.server)
            if sender.has_retry(state):
                continue
        sender.note_first_event(state, answer)
        headers = strip_hop_headers(answer.head.headers)
        await state.exchange.answer(answer.head.status, headers, body)
        return


async def _read_body(
    state: RequestState, sender: ServerSender, answer: OpenAnswer
) -> bytes:
    is_whole = False
    try:
        async with asyncio.timeout(state.time_left_s):
            body = await answer.connection.read_body(MAX_ANSWER_BYTES)
        is_whole = True
    except (ConnectionLostError, TimeoutError) as error:
        sender.note_failure(answer.server)
        raise FailedError(f"{answer.server.server_id}: {error!r}") from error
    finally:
        sender.end(state, answer, is_whole=is_whole)
    check_success(state, answer)
    return body


def check_success(state: RequestState, answer: OpenAnswer) -> None:
    """Raise `FailedError` for a success that no server signed for this request."""
    info = answer.info
    if not 200 <= answer.head.status < 300:
        return
    is_own = info.request_id == state.call.request_id
    if info.is_signed and is_own and not info.is_encoded:
        return
    raise FailedError(f"{answer.server.server_id}: the answer is not the server's")


def _may_repeat(state: RequestState, runs: int) -> bool:
    is_repeatable = state.route.kind is RequestKind.IDEMPOTENT
    return is_repeatable and runs < state.route.attempts


__all__ = ("check_success", "relay_plain")
