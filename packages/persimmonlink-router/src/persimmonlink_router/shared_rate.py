"""Permits of a rate that all nodes share, granted by one node for each server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

# Permits that arise in this time are saved while nobody asks for them, but at least 1.
BUCKET_FILL_S = 0.25
ASKER_WINDOW_S = 2.0  # Nodes that asked in this time are expected to ask again.
MAX_WAIT_S = 5.0  # Longest time after which a refused node asks again.


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """Whether a request may be sent, or when to ask again.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent now.
    wait_s : float
        Time after which to ask again, in seconds; 0 if granted.
    """

    is_granted: bool
    wait_s: float = 0.0


@dataclass(slots=True)
class _Bucket:
    permits: float
    filled_at: float
    rate_per_s: float
    asked_at_by_node: dict[str, float] = field(default_factory=dict)


class SharedRate:
    """A token bucket for each server, from which all nodes ask for permits.

    A bucket starts empty, so that a node which takes over a server's bucket doesn't
    grant again what the node before it granted.
    """

    def __init__(self) -> None:
        self._bucket_by_key: dict[Hashable, _Bucket] = {}

    def ask(
        self, key: Hashable, rate_per_s: float, node_id: str, now: float
    ) -> PermitDecision:
        """Grant a permit for one request, or tell when to ask again.

        Refused nodes are told to come back spread over the time in which as many
        permits arise as there are nodes that ask, so that their number doesn't matter.

        Parameters
        ----------
        key : Hashable
            The server.
        rate_per_s : float
            Permits a second that may be granted, over 0.
        node_id : str
            Node that asks.
        now : float
            Boot time, in seconds.
        """
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = _Bucket(0.0, now, rate_per_s)
            self._bucket_by_key[key] = bucket
        filled = bucket.permits + (now - bucket.filled_at) * bucket.rate_per_s
        bucket.permits = min(compute_capacity(rate_per_s), filled)
        bucket.filled_at = now
        bucket.rate_per_s = rate_per_s
        bucket.asked_at_by_node[node_id] = now
        if bucket.permits >= 1:
            bucket.permits -= 1
            return PermitDecision(is_granted=True)
        window_s = max(ASKER_WINDOW_S, 2 / rate_per_s)
        bucket.asked_at_by_node = {
            asker_id: asked_at
            for asker_id, asked_at in bucket.asked_at_by_node.items()
            if now - asked_at <= window_s
        }
        missing = 1 - bucket.permits + (len(bucket.asked_at_by_node) - 1) / 2
        return PermitDecision(
            is_granted=False, wait_s=min(MAX_WAIT_S, missing / rate_per_s)
        )

    def retain(self, keys: Collection[Hashable]) -> None:
        """Discard the buckets of all other servers."""
        for key in list(self._bucket_by_key):
            if key not in keys:
                del self._bucket_by_key[key]


def compute_capacity(rate_per_s: float) -> float:
    """Return the number of permits that a bucket saves."""
    return max(1.0, BUCKET_FILL_S * rate_per_s)


__all__ = ("MAX_WAIT_S", "PermitDecision", "SharedRate", "compute_capacity")
