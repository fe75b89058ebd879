"""What answers tell of the servers: speed, failures, work in flight."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

SPEED_WEIGHT = 0.25  # Weight of the newest answer in the mean speed.
FAILURE_WEIGHT = 0.35  # Weight of the newest answer in the share of failures.
STALL_S = 1.2  # Time without an answer after which a server is doubted.
STALL_RANGE_S = 2.0  # Time after that in which the doubt becomes full.
RECOVERY_S = 4.0  # Time in which an unused server's bad record loses two thirds.


@dataclass(slots=True)
class _Record:
    slowness: float = 1.0
    failure_share: float = 0.0
    seen_at: float = 0.0
    in_flight: int = 0
    unread_tokens: int = 0
    unanswered: deque[float] = field(default_factory=deque)


class ServerHealth:
    """Speed and failures of each server incarnation, as this node sees them.

    A bad record fades with time, so that a server that is avoided gets a request now
    and then, which shows whether it has recovered.
    """

    def __init__(self) -> None:
        self._record_by_key: dict[Hashable, _Record] = {}

    def start(
        self,
        key: Hashable,
        prompt_tokens: int = 0,
        sent_at: float | None = None,
    ) -> None:
        """Count a request that is sent to a server."""
        record = self._find(key)
        if sent_at is not None:
            record.unanswered.append(sent_at)
        record.in_flight += 1
        record.unread_tokens += prompt_tokens

    def note_answered(self, key: Hashable, sent_at: float) -> None:
        """Count a request as answered, or as no longer waited for."""
        unanswered = self._find(key).unanswered
        if sent_at in unanswered:
            unanswered.remove(sent_at)

    def read_prompt(self, key: Hashable, prompt_tokens: int) -> None:
        """Count a prompt as read."""
        record = self._find(key)
        record.unread_tokens = max(0, record.unread_tokens - prompt_tokens)

    def end(self, key: Hashable) -> None:
        """Count a request as ended, whatever became of it."""
        record = self._find(key)
        record.in_flight = max(0, record.in_flight - 1)

    def note_success(self, key: Hashable, slowness: float, now: float) -> None:
        """Count an answer that took `slowness` times the expected time."""
        record = self._fade(key, now)
        record.slowness += SPEED_WEIGHT * (slowness - record.slowness)
        record.failure_share *= 1 - FAILURE_WEIGHT

    def note_failure(self, key: Hashable, now: float) -> None:
        """Count an answer that failed or did not come."""
        record = self._fade(key, now)
        record.failure_share += FAILURE_WEIGHT * (1 - record.failure_share)

    def note_dead(self, key: Hashable, now: float) -> None:
        """Count a server that could not be reached."""
        self._fade(key, now).failure_share = 1.0

    def slowness(self, key: Hashable, now: float) -> float:
        """Return the time that a server takes against the expected time."""
        return self._fade(key, now).slowness

    def failure_share(self, key: Hashable, now: float) -> float:
        """Return the share of requests that a server fails, or seems to."""
        record = self._fade(key, now)
        if not record.unanswered:
            return record.failure_share
        stalled_s = now - record.unanswered[0] - STALL_S
        return max(record.failure_share, min(1.0, stalled_s / STALL_RANGE_S))

    def in_flight(self, key: Hashable) -> int:
        """Return the requests that this node has at a server."""
        return self._find(key).in_flight

    def unread_tokens(self, key: Hashable) -> int:
        """Return the prompt tokens at a server that it has still to read."""
        return self._find(key).unread_tokens

    def forget_other(self, keys: Collection[Hashable]) -> None:
        """Forget servers that are gone and have nothing in flight."""
        for key, record in list(self._record_by_key.items()):
            if key not in keys and record.in_flight == 0:
                del self._record_by_key[key]

    def _find(self, key: Hashable) -> _Record:
        return self._record_by_key.setdefault(key, _Record())

    def _fade(self, key: Hashable, now: float) -> _Record:
        record = self._find(key)
        share = math.exp(-max(0.0, now - record.seen_at) / RECOVERY_S)
        record.slowness = 1.0 + (record.slowness - 1.0) * share
        record.failure_share *= share
        record.seen_at = now
        return record


__all__ = ("ServerHealth",)
