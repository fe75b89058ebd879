"""Serves streams: events are passed on as they come, resumed where that is allowed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.client_returns import choose_return_s
from persimmonlink_router.event_stream import EventSplitter
from persimmonlink_router.http_client import ConnectionLostError
from persimmonlink_router.http_messages import strip_hop_headers
from persimmonlink_router.plain_relay import check_success
from persimmonlink_router.request_state import FailedError, RefusedError
from persimmonlink_router.server_chooser import (
    NO_INPUTS,
    StageInputs,
    expect_answer_s,
)
from persimmonlink_router.stage_job import StageJob, StageNeed
from persimmonlink_router.stage_outcome import StageState

if TYPE_CHECKING:
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.server_sender import OpenAnswer, ServerSender
    from persimmonlink_router.stage_link import StageLink

MIN_SILENCE_S = 1.2  # Shortest silence after which a resumable stream goes elsewhere.
SILENCE_FACTOR = 6.0  # Times the expected time that this may take for long prompts.
MAX_TRIES = 5  # Times that a stream is begun or resumed, refusals counted.
MIN_PAUSE_S = 0.2  # Shortest pause after a refusal on the way to a resumption.
FAILED_RETRY_AFTER_S = 0.5  # When to come back after stages failed.
MAX_ERROR_BYTES = 1048576  # Most bytes of a failure's body.


class StreamBrokenError(Exception):
    """A stream ended before its end."""


async def relay_stream(
    state: RequestState, sender: ServerSender, stages: StageLink
) -> None:
    """Run a request's stages, pass it on, and its events back as they come."""
    splitter = EventSplitter()
    tries = 0
    while True:
        tries += 1
        try:
            inputs = await _prepare(state, sender, stages)
            try:
                limit_s = _limit_first_event_s(state)
                answer = await sender.send(state, inputs, splitter.last_id, limit_s)
                is_done = await _pass_on(state, sender, stages, answer, splitter)
            finally:
                if inputs is not NO_INPUTS:
                    stages.release(state.call.request_id)
            if is_done:
                return
        except (StreamBrokenError, FailedError, RefusedError) as error:
            if tries >= MAX_TRIES or not _may_resume(state):
                raise _as_failure(state, error) from error
            if isinstance(error, RefusedError):
                pause_s = max(error.retry_after_s, MIN_PAUSE_S)
                await asyncio.sleep(min(pause_s, state.time_left_s))
            logger.bind(
                request=state.call.request_id,
                last_event=splitter.last_id.decode("latin-1"),
                reason=str(error),
            ).info("request.resumed")
            splitter.take_rest()


def _limit_first_event_s(state: RequestState) -> float | None:
    """Return how long a server may be silent before a stream goes elsewhere."""
    if not state.route.is_resumable or state.runs + 1 >= state.route.attempts:
        return None
    return max(MIN_SILENCE_S, SILENCE_FACTOR * expect_answer_s(state))


async def _prepare(
    state: RequestState, sender: ServerSender, stages: StageLink
) -> StageInputs:
    needs = make_needs(state)
    if not any(need.pieces for need in needs):
        return NO_INPUTS
    call = state.call
    job = StageJob(
        call.request_id,
        state.account_name,
        state.stage_priority,
        state.objective_left_s,
        state.event_left_s,
        expect_answer_s(state),
        sender.expect_domain(state),
        call.piece_key,
        needs,
    )
    outcome = await stages.run(job)
    state.prediction_s = outcome.predicted_s
    if outcome.state is StageState.DONE:
        return StageInputs(outcome.handles, outcome.bytes_by_domain)
    if outcome.state is StageState.REFUSED:
        return_s = choose_return_s(outcome.retry_after_s, state.time_left_s)
        raise RefusedError("the stages can't be run in time", return_s)
    raise RefusedError(f"the stages came to {outcome.state}", FAILED_RETRY_AFTER_S)


def make_needs(state: RequestState) -> tuple[StageNeed, ...]:
    """Return what a request needs of each stage of its route."""
    needs = []
    for index, plan in enumerate(state.route.stages):
        counts = state.call.piece_counts
        pieces = counts[index] if index < len(counts) else 0
        needs.append(StageNeed(plan.service, plan.after, plan.result_bytes, pieces))
    return tuple(needs)


async def _pass_on(
    state: RequestState,
    sender: ServerSender,
    stages: StageLink,
    answer: OpenAnswer,
    splitter: EventSplitter,
) -> bool:
    """Pass events on until the stream ends; return whether it was answered."""
    is_whole = False
    try:
        check_success(state, answer)
        if not 200 <= answer.head.status < 300:
            if state.exchange.has_started:
                raise StreamBrokenError(f"status {answer.head.status}")
            body = await answer.connection.read_body(MAX_ERROR_BYTES)
            is_whole = True
            if answer.head.status >= 500 and _may_resume(state):
                sender.note_failure(answer.server)
                raise StreamBrokenError(f"status {answer.head.status}")
            headers = strip_hop_headers(answer.head.headers)
            await state.exchange.answer(answer.head.status, headers, body)
            return True
        await _pass_events(state, sender, stages, answer, splitter)
        is_whole = True
        return True
    except ConnectionLostError as error:
        sender.note_failure(answer.server)
        raise StreamBrokenError(str(error)) from error
    except TimeoutError as error:
        raise FailedError("the request took too long", 504) from error
    finally:
        sender.end(state, answer, is_whole=is_whole)


async def _pass_events(
    state: RequestState,
    sender: ServerSender,
    stages: StageLink,
    answer: OpenAnswer,
    splitter: EventSplitter,
) -> None:
    exchange = state.exchange
    is_first = True
    async with asyncio.timeout(max(0.0, state.time_left_s)):
        while (data := await answer.connection.read_part()) is not None:
            whole = splitter.feed(data)
            if not whole:
                continue
            if is_first:
                is_first = False
                sender.note_first_event(state, answer)
                stages.release(state.call.request_id)
                if state.first_event_s is None:
                    state.first_event_s = boot_time() - state.arrived_at
            if not exchange.has_started:
                exchange.start_stream(
                    answer.head.status, strip_hop_headers(answer.head.headers)
                )
            await exchange.send(whole)
            state.silent_since = boot_time()
        rest = splitter.take_rest()
        if not exchange.has_started:
            exchange.start_stream(
                answer.head.status, strip_hop_headers(answer.head.headers)
            )
        if rest:
            await exchange.send(rest)
        await exchange.end()


def _may_resume(state: RequestState) -> bool:
    return (
        state.route.is_resumable
        and state.may_have_run
        and state.runs < state.route.attempts
        and state.time_left_s > state.route.objective_s / 4
    )


def _as_failure(state: RequestState, error: Exception) -> Exception:
    """Return what the client is told; "not run" only if that is certain."""
    if isinstance(error, RefusedError) and state.may_have_run:
        return FailedError(str(error))
    if isinstance(error, StreamBrokenError):
        return FailedError(str(error))
    return error


__all__ = ("make_needs", "relay_stream")
