"""Relays event streams, and resumes interrupted ones at another server."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.byte_budget import BudgetExhaustedError
from persimmonlink_router.event_stream import EventSplitter, EventTooLongError
from persimmonlink_router.http_client import ConnectionLostError
from persimmonlink_router.http_messages import (
    ResponseFraming,
    strip_hop_by_hop_headers,
)
from persimmonlink_router.plain_relay import verify_success_response
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
    RequestHeldError,
    RequestRefusedError,
)
from persimmonlink_router.retry_after import bound_retry_after_s
from persimmonlink_router.server_chooser import (
    NO_INPUTS,
    StageInputs,
)
from persimmonlink_router.stage_job import StageJob, StageNeed, make_attempt
from persimmonlink_router.stage_outcome import StageState
from persimmonlink_router.stream_rest import NotTheRestError, expect_rest

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.response_completion import OpenResponse
    from persimmonlink_router.server_sender import ServerSender
    from persimmonlink_router.stage_coordinator_client import StageCoordinatorClient
    from persimmonlink_router.stream_rest import StreamRest

# Shortest wait for the head of a resumable stream's response before another server is
# tried: a sound server may fall silent for a second or so and go on.
MIN_FIRST_EVENT_TIMEOUT_S = 1.2
MAX_ATTEMPTS = 5  # Attempts to start or resume a stream, including refused ones.
MIN_RESUME_PAUSE_S = 0.2  # Shortest pause after a refusal before the stream is resumed.
STAGES_FAILED_RETRY_AFTER_S = 0.5  # Retry-After if the stages failed.
MAX_ERROR_BODY_BYTES = 1048576  # Largest body of an error response.


class StreamInterruptedError(Exception):
    """A stream broke off before its last event."""


async def relay_stream(
    state: RequestState, sender: ServerSender, stages: StageCoordinatorClient
) -> None:
    """Run the stages of a request, send it, and forward its events.

    A resumable stream that is interrupted goes on after the last event that the client
    received. Raises `RequestRefusedError` or `RequestFailedError` if that is not
    possible.
    """
    with sender.body_budget.open_reservation() as reservation:
        splitter = EventSplitter(state.last_forwarded_id, reservation)
        await _relay_in_attempts(state, sender, stages, splitter)


async def _relay_in_attempts(
    state: RequestState,
    sender: ServerSender,
    stages: StageCoordinatorClient,
    splitter: EventSplitter,
) -> None:
    """Send a request until a server's stream has been forwarded to its end."""
    attempt_count = 0
    while True:
        attempt_count += 1
        try:
            sender.held_requests.require_allowed(state)
            sender.require_reach(state)
            await sender.version_pinning.pin_resumed(state)
            await sender.version_pinning.require_server(state)
            inputs = await _run_stages(state, sender, stages)
            try:
                if inputs is not NO_INPUTS:
                    # Servers may have changed while the stages ran.
                    await sender.version_pinning.require_server(state)
                timeout_s = _first_event_timeout_s(state, sender)
                response = await sender.send(state, inputs, splitter.last_id, timeout_s)
                release_inputs = partial(stages.release, inputs.attempt)
                is_done = await _forward_response(
                    state, sender, release_inputs, response, splitter
                )
            finally:
                stages.release(inputs.attempt)
            if is_done:
                return
        except (
            StreamInterruptedError,
            RequestFailedError,
            RequestRefusedError,
        ) as error:
            if isinstance(error, NoReachError):
                state.last_forwarded_id = splitter.last_id
                raise
            if state.exchange.has_started or splitter.last_id:
                state.failures_after_start.append(str(error))
            is_final = isinstance(error, RequestHeldError) or not _may_resume(
                state, sender
            )
            if is_final or attempt_count >= MAX_ATTEMPTS:
                raise _to_client_error(state, error) from error
            if isinstance(error, RequestRefusedError):
                pause_s = max(error.retry_after_s, MIN_RESUME_PAUSE_S)
                await asyncio.sleep(min(pause_s, state.time_left_s))
            logger.bind(
                request=state.metadata.request_id,
                last_event=splitter.last_id.decode("latin-1"),
                reason=str(error),
            ).info("request.resumed")
            splitter.discard_partial()


def _first_event_timeout_s(state: RequestState, sender: ServerSender) -> float | None:
    """Return the time after which another server is asked for a stream, in seconds.

    Each attempt that the route allows has an equal part of the time until the client
    leaves, or less if the service is known to begin streams sooner. None means that no
    other server may be tried.
    """
    attempts_left = state.route.max_attempts - state.runs
    if not state.route.is_resumable or attempts_left <= 1:
        return None
    part_s = max(0.0, state.event_time_left_s) / attempts_left
    late_after_s = sender.responses.late_after_s(state.service)
    if late_after_s is None:
        return part_s
    return min(part_s, max(MIN_FIRST_EVENT_TIMEOUT_S, late_after_s))


async def _run_stages(
    state: RequestState, sender: ServerSender, stages: StageCoordinatorClient
) -> StageInputs:
    """Run the stages of a request and return the inputs for its server."""
    needs = list_stage_needs(state)
    if not any(need.pieces for need in needs):
        return NO_INPUTS
    metadata = state.metadata
    job = StageJob(
        metadata.request_id,
        state.account_name,
        state.stage_priority,
        state.objective_left_s,
        state.event_time_left_s,
        sender.responses.estimate_s(state) or 0.0,
        sender.predict_domain(state),
        metadata.piece_key,
        needs,
        fingerprint=state.fingerprint,
        path=state.exchange.request.path,
        attempt=make_attempt(),
        exact_fingerprint=state.exact_fingerprint,
    )
    asked_at = boot_time()
    outcome = await stages.run(job)
    state.stages_s = boot_time() - asked_at
    state.predicted_first_event_s = outcome.predicted_s
    if outcome.state is StageState.DONE:
        return StageInputs(outcome.handles, outcome.bytes_by_domain, job.attempt)
    if outcome.state is StageState.REFUSED:
        retry_after_s = bound_retry_after_s(
            outcome.retry_after_s, state.time_left_s, is_exact=outcome.has_turn
        )
        raise RequestRefusedError(
            "the stages cannot be completed in time",
            retry_after_s,
            has_turn=outcome.has_turn,
        )
    raise RequestRefusedError(
        f"the stages ended with {outcome.state}", STAGES_FAILED_RETRY_AFTER_S
    )


def list_stage_needs(state: RequestState) -> tuple[StageNeed, ...]:
    """Return the pieces that a request needs of each stage of its route."""
    needs = []
    for index, plan in enumerate(state.route.stages):
        counts = state.metadata.piece_counts
        pieces = counts[index] if index < len(counts) else 0
        needs.append(StageNeed(plan.service, plan.after, plan.result_bytes, pieces))
    return tuple(needs)


async def _forward_response(
    state: RequestState,
    sender: ServerSender,
    release_inputs: Callable[[], None],
    response: OpenResponse,
    splitter: EventSplitter,
) -> bool:
    """Forward a response or its events; return whether the client has it all."""
    is_complete = False
    try:
        verify_success_response(state, response)
        if not 200 <= response.head.status < 300:
            if state.exchange.has_started:
                raise StreamInterruptedError(f"status {response.head.status}")
            async with asyncio.timeout(max(0.0, state.time_left_s)):
                body = await response.connection.read_body(
                    MAX_ERROR_BODY_BYTES, sender.body_budget
                )
                await sender.responses.require_whole(response)
            is_complete = True
            if response.head.status >= 500 and _may_resume(state, sender):
                sender.responses.record_failure(response.server)
                raise StreamInterruptedError(f"status {response.head.status}")
            headers = strip_hop_by_hop_headers(response.head.headers)
            with sender.body_budget.hold(body):
                await state.exchange.respond(response.head.status, headers, body)
            return True
        await _forward_events(state, sender, release_inputs, response, splitter)
        is_complete = True
        return True
    except (
        ConnectionLostError,
        EventTooLongError,
        NotTheRestError,
        BudgetExhaustedError,
    ) as error:
        state.partial_event_bytes = splitter.partial_bytes
        sender.responses.record_interruption(state, response)
        raise StreamInterruptedError(str(error)) from error
    except TimeoutError as error:
        raise RequestFailedError("the request timed out", 504) from error
    finally:
        sender.responses.finish(state, response, is_complete=is_complete)


async def _forward_events(
    state: RequestState,
    sender: ServerSender,
    release_inputs: Callable[[], None],
    response: OpenResponse,
    splitter: EventSplitter,
) -> None:
    """Forward each event as soon as it is complete, and end the response.

    The first event releases the stage results, which the server has read by then.
    """
    exchange = state.exchange
    is_first = True
    last_id = splitter.last_id or state.metadata.last_event_id
    rest = expect_rest(last_id, response.head.headers, has_begun=exchange.has_started)
    async with asyncio.timeout(max(0.0, state.time_left_s)):
        while (data := await response.connection.read_body_part()) is not None:
            sender.responses.record_events(response)
            events = splitter.feed(data)
            if not events:
                continue
            if rest is not None:
                _check_rest(rest, events, splitter)
            if is_first:
                is_first = False
                response.first_event_at = boot_time()
                state.stream_version = response.server.software_version
                sender.responses.record_start(state, response)
                release_inputs()
                if state.first_event_s is None:
                    state.first_event_s = boot_time() - state.arrived_at
            if not exchange.has_started:
                exchange.start_stream(
                    response.head.status,
                    strip_hop_by_hop_headers(response.head.headers),
                )
            with sender.body_budget.hold(events):
                await exchange.send(events)
            state.silent_since = boot_time()
        if splitter.is_inside_event:
            raise ConnectionLostError("the stream ended inside an event")
        _require_event(response, is_first=is_first)
        await sender.responses.require_whole(response)
        if not exchange.has_started:
            exchange.start_stream(
                response.head.status, strip_hop_by_hop_headers(response.head.headers)
            )
        await exchange.end()


def _check_rest(rest: StreamRest, events: bytes, splitter: EventSplitter) -> None:
    """Check events before the client gets them.

    Raises `NotTheRestError`; the stream then goes on after the last one forwarded.
    """
    try:
        rest.check_events(events)
    except NotTheRestError:
        splitter.last_id = rest.last_id
        raise


def _require_event(response: OpenResponse, *, is_first: bool) -> None:
    """Raise `ConnectionLostError` for a stream without length and without events.

    Nothing tells it from one that was broken off before its first event.
    """
    if is_first and response.head.framing is ResponseFraming.CONNECTION_CLOSE:
        raise ConnectionLostError("the stream ended without an event")


def _may_resume(state: RequestState, sender: ServerSender) -> bool:
    """Whether a stream can go on before its client leaves."""
    return (
        state.route.is_resumable
        and state.may_have_run
        and state.runs < state.route.max_attempts
        and state.time_left_s > sender.responses.typical_time_s(state.service)
    )


def _to_client_error(state: RequestState, error: Exception) -> Exception:
    """Return the client's error: a refusal only if the request cannot have run."""
    if isinstance(error, RequestRefusedError) and state.may_have_run:
        return RequestFailedError(str(error))
    if isinstance(error, StreamInterruptedError):
        return RequestFailedError(str(error))
    return error


__all__ = ("list_stage_needs", "relay_stream")
