"""How long the servers of each service have taken to respond lately."""

from __future__ import annotations

from collections import deque
from statistics import fmean, median, quantiles
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

LATEST_RESPONSES = 100  # Responses of a service that are kept.
# Requests are repeated once they take longer than this part of the responses, in
# twentieths: few are, and most of them are late for a cause of their server.
TAIL_TWENTIETHS = 19
MIN_RESPONSES = 20  # With fewer, the tail is unknown.


class ResponseTimes:
    """Latest response times of each service, in seconds, as this node saw them."""

    def __init__(self) -> None:
        self._times_by_service: dict[str, deque[float]] = {}
        self._tokens_by_service: dict[str, deque[int]] = {}

    def record(self, service: str, time_s: float, prompt_tokens: int = 0) -> None:
        """Record a time in which a server responded, or in which it had not yet."""
        times = self._times_by_service.setdefault(
            service, deque(maxlen=LATEST_RESPONSES)
        )
        tokens = self._tokens_by_service.setdefault(
            service, deque(maxlen=LATEST_RESPONSES)
        )
        times.append(time_s)
        tokens.append(prompt_tokens)

    def estimate_s(self, service: str, prompt_tokens: int) -> float | None:
        """Return the time that a response takes, in seconds, or None if unknown.

        For a model server it grows with the prompt, as its responses showed.
        """
        times = self._times_by_service.get(service)
        if not times:
            return None
        mean_tokens = fmean(self._tokens_by_service[service])
        token_s = self.token_s(service) or 0.0
        estimate_s = fmean(times) + token_s * (prompt_tokens - mean_tokens)
        return max(estimate_s, min(times))

    def token_s(self, service: str) -> float | None:
        """Return the time that a prompt token takes, in seconds, or None if unknown.

        It is the slope of the line that fits the responses best.
        """
        times = self._times_by_service.get(service)
        if times is None or len(times) < MIN_RESPONSES:
            return None
        tokens = self._tokens_by_service[service]
        mean_tokens, mean_s = fmean(tokens), fmean(times)
        variance = sum((count - mean_tokens) ** 2 for count in tokens)
        if not variance:
            return None
        covariance = sum(
            (count - mean_tokens) * (time_s - mean_s)
            for count, time_s in zip(tokens, times, strict=True)
        )
        return covariance / variance if covariance > 0 else None

    def median_s(self, service: str) -> float | None:
        """Return the median time in seconds, or None without any response."""
        times = self._times_by_service.get(service)
        return median(times) if times else None

    def late_after_s(self, service: str) -> float | None:
        """Return the time after which a repeat is likely to end sooner, in seconds.

        That is the tail of the responses, and as much again as a repeat takes. None if
        too few responses were seen.
        """
        times = self._times_by_service.get(service)
        if times is None or len(times) < MIN_RESPONSES:
            return None
        tail_s = quantiles(times, n=20, method="inclusive")[TAIL_TWENTIETHS - 1]
        return tail_s + median(times)

    def retain_only(self, services: Collection[str]) -> None:
        """Discard the times of all other services."""
        for service in list(self._times_by_service):
            if service not in services:
                del self._times_by_service[service]
                del self._tokens_by_service[service]


__all__ = ("MIN_RESPONSES", "ResponseTimes")
