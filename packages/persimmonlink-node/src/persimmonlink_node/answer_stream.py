"""Streams an answer as lines of JSON, in chunks coalesced over time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.request import Answer
    from persimmonlink_model.result_code import Failure
    from persimmonlink_node.http_exchange import Exchange


class AnswerStream:
    """Writes pieces of text with sequence numbers, then the final line.

    Parameters
    ----------
    exchange : Exchange
        HTTP exchange to answer.
    clock : Clock
        Source of monotonic time.
    coalesce_s : float
        Minimum time between two chunks after the first, in seconds.
    """

    def __init__(self, exchange: Exchange, clock: Clock, coalesce_s: float) -> None:
        self._exchange = exchange
        self._clock = clock
        self._coalesce_s = coalesce_s
        self._write: Callable[[bytes], None] | None = None
        self._buffered: list[str] = []
        self._sequence = 0
        self._written_at = float("-inf")
        self.is_broken = False

    @property
    def is_started(self) -> bool:
        """Whether anything was written."""
        return self._write is not None

    def add(self, piece: str) -> None:
        """Add a piece of text, written at once if the last chunk is old enough."""
        self._buffered.append(piece)
        if self._clock.monotonic() - self._written_at >= self._coalesce_s:
            self._flush()

    def finish(self, answer: Answer) -> None:
        """Write buffered text and a final line that marks the answer as complete."""
        self._flush()
        final = {"sequence": self._sequence, **msgspec.to_builtins(answer)}
        self._write_line(final)

    def fail(self, failure: Failure) -> None:
        """Write a final line that marks the answer as incomplete."""
        final = {
            "sequence": self._sequence,
            "complete": False,
            "problem": failure.to_problem(),
        }
        self._write_line(final)

    def _flush(self) -> None:
        if not self._buffered:
            return
        text = "".join(self._buffered)
        self._buffered.clear()
        self._write_line({"sequence": self._sequence, "text": text})
        self._sequence += 1
        self._written_at = self._clock.monotonic()

    def _write_line(self, value: object) -> None:
        if self.is_broken:
            return
        try:
            if self._write is None:
                self._write = self._exchange.start_stream()
            self._write(msgspec.json.encode(value) + b"\n")
        except OSError:
            # The caller has disconnected; `CallerApi` decides whether the request is
            # cancelled.
            self.is_broken = True


__all__ = ("AnswerStream",)
