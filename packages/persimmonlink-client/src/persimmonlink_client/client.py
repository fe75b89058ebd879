"""Client that sends requests to entry VMs and retries only where that is safe."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import quote

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_client.attempt import (
    Attempt,
    is_retryable,
    needs_lookup,
    new_attempt,
    next_attempt,
)
from persimmonlink_client.entry import EntryDirectory
from persimmonlink_client.lookup import RequestLookup, parse_answer
from persimmonlink_client.stream import read_stream
from persimmonlink_client.transport import HttpTransport, Reply
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from persimmonlink_client.messages import PipelineAnswer, PipelineCall, StreamChunk

DEFAULT_TIMEOUT_S = 30.0
ANSWER_GRACE_S = 0.5
MIN_READ_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.1
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.02

# Failures of a lookup that don't settle the outcome of the request.
_INCONCLUSIVE_CODES = frozenset(
    {ResultCode.ANSWER_NOT_HERE, ResultCode.PEER_UNREACHABLE}
)


class EntryClient:
    """Sends requests to entry VMs, retries refusals and looks up lost answers.

    Parameters
    ----------
    addresses : sequence of str
        `IP:PORT` of the entry VMs to query for the entry VMs to use.
    domain : str
        Failure domain of the caller; entry VMs in it are preferred.
    transport : HttpTransport or None
        Transport to use, or None for a new one.
    clock : callable
        Returns the monotonic time, in seconds.
    sleep : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        domain: str = "",
        transport: HttpTransport | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._transport = transport or HttpTransport()
        self._clock = clock
        self._sleep = sleep
        self._directory = EntryDirectory(addresses, domain, self._transport, clock)
        self._lookup = RequestLookup(self._transport, self._directory)

    def call(self, call: PipelineCall) -> Result[PipelineAnswer, Failure]:
        """Send a request and wait for its complete answer.

        Parameters
        ----------
        call : PipelineCall
            The request.

        Returns
        -------
        Result
            The answer to this request, or a failure whose `run_state` is `NOT_RUN`
            only if no send of the request can have been run.
        """
        first = self._first_attempt(call)
        if not isinstance(first, Success):
            return Failed(first.failure())
        attempt = first.unwrap()
        for _ in range(MAX_ATTEMPTS):
            outcome = self._send(attempt)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            next_step = self._handle_failure(attempt, failure)
            if not isinstance(next_step, Attempt):
                return next_step
            attempt = next_step
        return Failed(attempt.adjust_run_state(failure))

    def stream(
        self, call: PipelineCall
    ) -> Iterator[Result[StreamChunk | PipelineAnswer, Failure]]:
        """Send a request and yield its answer in parts.

        Parameters
        ----------
        call : PipelineCall
            The request.

        Yields
        ------
        Result
            Parts in order, each once, then the complete answer or a failure. If the
            stream breaks, the kept answer is fetched; no part is repeated.
        """
        first = self._first_attempt(call)
        if not isinstance(first, Success):
            yield Failed(first.failure())
            return
        attempt = first.unwrap()
        for _ in range(MAX_ATTEMPTS):
            opened = self._open_stream(attempt)
            if isinstance(opened, Success):
                yield from self._forward_stream(attempt, opened.unwrap())
                return
            failure = opened.failure()
            next_step = self._handle_failure(attempt, failure)
            if not isinstance(next_step, Attempt):
                yield next_step
                return
            attempt = next_step
        yield Failed(attempt.adjust_run_state(failure))

    def fetch(self, request_id: str) -> Result[PipelineAnswer, Failure]:
        """Fetch the kept answer of a request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        Result
            The answer, or the failure that the entry VMs report.
        """
        return self._lookup.fetch(request_id)

    def cancel(self, request_id: str) -> Result[None, Failure]:
        """Cancel a request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        Result
            None once an entry VM has accepted the cancellation, or the failure.
        """
        return self._lookup.cancel(request_id)

    def _first_attempt(self, call: PipelineCall) -> Result[Attempt, Failure]:
        """Choose an entry VM and a request id."""
        timeout_s = (
            DEFAULT_TIMEOUT_S if call.deadline_ms is None else call.deadline_ms / 1000
        )
        expires_at = self._clock() + timeout_s
        chosen = self._directory.choose()
        return chosen.map(lambda choice: new_attempt(call, choice, expires_at))

    def _read_timeout_s(self, attempt: Attempt) -> float:
        """Return the read timeout of an attempt.

        A dead connection can't be told from a request that takes long. The timeout is
        therefore half of the remaining time, which leaves the other half to look up
        the answer over another connection.
        """
        left_s = max(0.0, attempt.expires_at - self._clock())
        return min(left_s + ANSWER_GRACE_S, max(MIN_READ_TIMEOUT_S, left_s / 2))

    def _send(self, attempt: Attempt) -> Result[PipelineAnswer, Failure]:
        """Send a request once and read its complete answer."""
        replied = self._transport.exchange(
            "POST",
            attempt.address,
            _requests_path(attempt.call),
            self._read_timeout_s(attempt),
            attempt.to_body(stream=False),
        )
        return replied.bind(lambda reply: parse_answer(reply, attempt.request_id))

    def _open_stream(
        self, attempt: Attempt
    ) -> Result[Iterator[Result[bytes, Failure]], Failure]:
        """Send a request once and return the lines of its streamed answer."""
        opened = self._transport.open_stream(
            attempt.address,
            _requests_path(attempt.call),
            self._read_timeout_s(attempt),
            attempt.to_body(stream=True),
        )
        if not isinstance(opened, Success):
            return Failed(opened.failure())
        found = opened.unwrap()
        if isinstance(found, Reply):
            return Failed(found.to_problem().to_failure())
        return Success(found)

    def _handle_failure(
        self, attempt: Attempt, failure: Failure
    ) -> Attempt | Result[PipelineAnswer, Failure]:
        """Return the next attempt, or the final result if there is none."""
        if needs_lookup(failure):
            return self._resolve_outcome(replace(attempt, may_have_run=True), failure)
        delay_s = failure.retry_after_s
        if delay_s is None or delay_s < 0:
            delay_s = RETRY_DELAY_S * 2**attempt.refusal_count
        has_time_left = self._clock() + delay_s < attempt.expires_at
        if not is_retryable(failure) or not has_time_left:
            return Failed(attempt.adjust_run_state(failure))
        self._sleep(delay_s)
        chosen = self._directory.choose(avoid=attempt.address)
        if not isinstance(chosen, Success):
            return Failed(attempt.adjust_run_state(failure))
        return next_attempt(attempt, chosen.unwrap())

    def _resolve_outcome(
        self, attempt: Attempt, failure: Failure
    ) -> Attempt | Result[PipelineAnswer, Failure]:
        """Look up the outcome of a request; return an attempt if it must be resent."""
        candidates = (attempt.address, attempt.pinned_address or attempt.address)
        has_time_left = True
        while has_time_left:
            # One more round after the deadline finds an answer kept since the last.
            has_time_left = self._clock() < attempt.expires_at
            codes = set()
            for address in dict.fromkeys(candidates):
                found = self._lookup.fetch_from(address, attempt.request_id)
                if isinstance(found, Success):
                    return found
                lookup_failure = found.failure()
                if (
                    not needs_lookup(lookup_failure)
                    and lookup_failure.code not in _INCONCLUSIVE_CODES
                ):
                    return Failed(attempt.adjust_run_state(lookup_failure))
                codes.add(lookup_failure.code)
            is_answer_missing = ResultCode.ANSWER_NOT_HERE in codes
            can_resend = has_time_left and (
                is_answer_missing or attempt.call.repeatable
            )
            if can_resend and ResultCode.STILL_RUNNING not in codes:
                return self._resend(attempt)
            if has_time_left:
                self._sleep(POLL_INTERVAL_S)
        return Failed(attempt.adjust_run_state(failure))

    def _resend(self, attempt: Attempt) -> Attempt:
        """Return the attempt with the same id, for the VM that the id is pinned to."""
        if attempt.pinned_address:
            return replace(attempt, address=attempt.pinned_address)
        chosen = self._directory.choose(avoid=attempt.address)
        if not isinstance(chosen, Success):
            return attempt
        return replace(attempt, address=chosen.unwrap().addresses[0])

    def _forward_stream(
        self, attempt: Attempt, lines: Iterator[Result[bytes, Failure]]
    ) -> Iterator[Result[StreamChunk | PipelineAnswer, Failure]]:
        """Yield the parts of a stream; fetch the kept answer if it breaks."""
        for item in read_stream(lines, attempt.request_id):
            if isinstance(item, Success):
                yield item
                continue
            failure = item.failure()
            if needs_lookup(failure):
                yield self._recover_answer(replace(attempt, may_have_run=True), failure)
                return
            yield Failed(attempt.adjust_run_state(failure))
            return

    def _recover_answer(
        self, attempt: Attempt, failure: Failure
    ) -> Result[PipelineAnswer, Failure]:
        """Return the complete answer of a request whose stream broke."""
        found = self._resolve_outcome(attempt, failure)
        if not isinstance(found, Attempt):
            return found
        # The resend asks for the complete answer, so that no part is yielded twice.
        return self._send(found).alt(attempt.adjust_run_state)


def _requests_path(call: PipelineCall) -> str:
    """Return the path to which requests to a pipeline are sent."""
    return f"/v1/pipelines/{quote(call.pipeline, safe='')}/requests"


__all__ = ("EntryClient",)
