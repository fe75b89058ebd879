"""Recent call times of the servers of a service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

EWMA_WEIGHT = 0.3  # Weight of the latest call in the moving average.
SLOW_FACTOR = 2.0  # Multiple of the lowest mean above which a server counts as slow.
VALIDITY_S = 5.0  # Age at which a mean expires.


@dataclass(frozen=True)
class _Latency:
    seconds: float
    observed_at: float


class ServerLatencies:
    """Moving average of the call times of each server.

    A server's mean expires `VALIDITY_S` after its last call, so that a slow server is
    tried again.

    Not thread-safe; the owner serializes access.
    """

    def __init__(self) -> None:
        self._latency_by_server: dict[str, _Latency] = {}

    def observe(self, server_id: str, seconds: float, now: float) -> None:
        """Record the time of one call, in seconds."""
        known = self._latency_by_server.get(server_id)
        if known is not None and now - known.observed_at < VALIDITY_S:
            seconds = known.seconds + EWMA_WEIGHT * (seconds - known.seconds)
        self._latency_by_server[server_id] = _Latency(seconds, now)

    def list_fast(self, server_ids: Iterable[str], now: float) -> set[str]:
        """Return the servers within `SLOW_FACTOR` of the fastest one.

        Servers without a valid mean are included.
        """
        seconds_by_server = {}
        for server_id in server_ids:
            latency = self._latency_by_server.get(server_id)
            is_valid = latency is not None and now - latency.observed_at < VALIDITY_S
            seconds_by_server[server_id] = (
                latency.seconds if latency and is_valid else 0.0
            )
        known = [seconds for seconds in seconds_by_server.values() if seconds]
        limit = SLOW_FACTOR * min(known, default=0.0)
        return {s for s, seconds in seconds_by_server.items() if seconds <= limit}


__all__ = ("ServerLatencies",)
