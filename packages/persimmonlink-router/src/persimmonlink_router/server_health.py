"""Health of backend servers by their responses: latency, failures and load."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_router.response_times import ResponseTimes

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

LATENCY_WEIGHT = 0.25  # Weight of the newest response in the mean latency ratio.
# Weight of the time after which the newest response was given up in that ratio.
TIMEOUT_WEIGHT = 0.5
FAILURE_WEIGHT = 0.35  # Weight of the newest response in the failure share.
STALL_AFTER_S = 1.2  # Time without a response after which a request counts as stalled.
# Time from the start of a stall until the failure share of the server reaches 1.
STALL_RAMP_S = 2.0
# Time constant of the decay of a record: it loses almost two thirds in this time.
RECORD_DECAY_S = 4.0
# Time for which a server that rejected a request is asked after others.
REJECTION_BACKOFF_S = 0.1


@dataclass(slots=True)
class _HealthRecord:
    latency_ratio: float = 1.0
    failure_share: float = 0.0
    decayed_at: float = 0.0
    in_flight: int = 0
    unread_tokens: int = 0
    unanswered_sent_at: deque[float] = field(default_factory=deque)
    rejected_at: float = -math.inf


class ServerHealth:
    """Latency, failures and load of each server incarnation, as seen by this node.

    Attributes
    ----------
    response_times : ResponseTimes
        How long the servers of each service take.

    Notes
    -----
    Bad records decay, so that an avoided server receives an occasional request, which
    shows whether it has recovered.
    """

    def __init__(self) -> None:
        self._record_by_key: dict[Hashable, _HealthRecord] = {}
        self.response_times = ResponseTimes()

    def record_sent(
        self,
        key: Hashable,
        prompt_tokens: int = 0,
        sent_at: float | None = None,
    ) -> None:
        """Record a request sent to a server.

        With `sent_at`, a boot time in seconds, a missing response counts as a stall.
        """
        record = self._get_or_create(key)
        if sent_at is not None:
            record.unanswered_sent_at.append(sent_at)
        record.in_flight += 1
        record.unread_tokens += prompt_tokens

    def end_response_wait(self, key: Hashable, sent_at: float) -> None:
        """Stop counting a request as waiting for its response."""
        unanswered_sent_at = self._get_or_create(key).unanswered_sent_at
        if sent_at in unanswered_sent_at:
            unanswered_sent_at.remove(sent_at)

    def record_prompt_read(self, key: Hashable, prompt_tokens: int) -> None:
        """Remove a prompt from the tokens that a server has still to read."""
        record = self._get_or_create(key)
        record.unread_tokens = max(0, record.unread_tokens - prompt_tokens)

    def record_ended(self, key: Hashable) -> None:
        """Record that a request is no longer in flight, whatever its outcome."""
        record = self._get_or_create(key)
        record.in_flight = max(0, record.in_flight - 1)

    def record_success(self, key: Hashable, latency_ratio: float, now: float) -> None:
        """Record a response that took `latency_ratio` times the expected time."""
        record = self._decay(key, now)
        record.latency_ratio += LATENCY_WEIGHT * (latency_ratio - record.latency_ratio)
        record.failure_share *= 1 - FAILURE_WEIGHT

    def record_failure(self, key: Hashable, now: float) -> None:
        """Record a failed or missing response."""
        record = self._decay(key, now)
        record.failure_share += FAILURE_WEIGHT * (1 - record.failure_share)

    def record_rejection(self, key: Hashable, now: float) -> None:
        """Record that a server rejected a request without running it."""
        self._get_or_create(key).rejected_at = now

    def has_just_rejected(self, key: Hashable, now: float) -> bool:
        """Whether a server has rejected a request within `REJECTION_BACKOFF_S`."""
        return now - self._get_or_create(key).rejected_at < REJECTION_BACKOFF_S

    def record_timeout(self, key: Hashable, latency_ratio: float, now: float) -> None:
        """Record that a response takes over `latency_ratio` times the expected time."""
        record = self._decay(key, now)
        excess = max(0.0, latency_ratio - record.latency_ratio)
        record.latency_ratio += TIMEOUT_WEIGHT * excess

    def record_unreachable(self, key: Hashable, now: float) -> None:
        """Record that a server could not be reached: its failure share becomes 1."""
        self._decay(key, now).failure_share = 1.0

    def latency_ratio(self, key: Hashable, now: float) -> float:
        """Return the mean ratio of a server's response time to the expected time."""
        return self._decay(key, now).latency_ratio

    def failure_share(self, key: Hashable, now: float) -> float:
        """Return the share of requests that a server fails, raised while one stalls."""
        record = self._decay(key, now)
        if not record.unanswered_sent_at:
            return record.failure_share
        stalled_s = now - record.unanswered_sent_at[0] - STALL_AFTER_S
        return max(record.failure_share, min(1.0, stalled_s / STALL_RAMP_S))

    def in_flight(self, key: Hashable) -> int:
        """Return the number of requests that this node has in flight at a server."""
        return self._get_or_create(key).in_flight

    def unread_tokens(self, key: Hashable) -> int:
        """Return the prompt tokens of this node that a server has still to read."""
        return self._get_or_create(key).unread_tokens

    def retain_servers(self, keys: Collection[Hashable]) -> None:
        """Discard the records of all other servers, except those with load."""
        for key, record in list(self._record_by_key.items()):
            if key not in keys and record.in_flight == 0:
                del self._record_by_key[key]

    def _get_or_create(self, key: Hashable) -> _HealthRecord:
        record = self._record_by_key.get(key)
        if record is None:
            record = self._record_by_key[key] = _HealthRecord()
        return record

    def _decay(self, key: Hashable, now: float) -> _HealthRecord:
        record = self._get_or_create(key)
        if record.decayed_at == now:
            return record
        decay_factor = math.exp(-max(0.0, now - record.decayed_at) / RECORD_DECAY_S)
        record.latency_ratio = 1.0 + (record.latency_ratio - 1.0) * decay_factor
        record.failure_share *= decay_factor
        record.decayed_at = now
        return record


__all__ = ("ServerHealth",)
