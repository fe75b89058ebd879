"""Relays plain requests: one server's complete response, or an error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from persimmonlink_router.configuration import RequestKind
from persimmonlink_router.http_client import ConnectionLostError
from persimmonlink_router.http_messages import strip_hop_by_hop_headers
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
    RequestRefusedError,
)

if TYPE_CHECKING:
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.response_completion import OpenResponse
    from persimmonlink_router.server_sender import ServerSender

MAX_RESPONSE_BYTES = 16777216  # Largest response that is buffered until it is complete.
# Multiple of the route's objective after which an idempotent request is retried.
RESPONSE_TIMEOUT_FACTOR = 2.0


async def relay_plain(state: RequestState, sender: ServerSender) -> None:
    """Send a request, retry it if it is idempotent, and forward the response.

    Raises `RequestRefusedError` or `RequestFailedError` if there is no response.
    """
    while True:
        is_last_attempt = not _may_retry(state, state.runs + 1)
        timeout_s = (
            None
            if is_last_attempt
            else RESPONSE_TIMEOUT_FACTOR * state.route.objective_s
        )
        try:
            response = await sender.send(state, head_timeout_s=timeout_s)
            body = await _read_body(state, sender, response)
        except NoReachError:
            raise
        except RequestRefusedError as error:
            if state.may_have_run:
                raise RequestFailedError(str(error)) from error
            raise
        except RequestFailedError:
            if not _may_retry(state, state.runs) or state.time_left_s <= 0:
                raise
            if not sender.allows_retry(state):
                raise
            continue
        if response.head.status >= 500 and _may_retry(state, state.runs):
            sender.responses.record_failure(response.server)
            if sender.allows_retry(state):
                continue
        sender.responses.record_start(state, response)
        headers = strip_hop_by_hop_headers(response.head.headers)
        with sender.body_budget.hold(body):
            await state.exchange.respond(response.head.status, headers, body)
        return


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


def _may_retry(state: RequestState, runs: int) -> bool:
    is_repeatable = state.route.kind is RequestKind.IDEMPOTENT
    return is_repeatable and runs < state.route.max_attempts


__all__ = ("relay_plain", "verify_success_response")
