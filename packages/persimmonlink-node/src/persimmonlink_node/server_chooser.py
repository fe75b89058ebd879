"""Policies that choose a server among those with a free slot."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Protocol

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from persimmonlink_model.request_queue import QueueEntry
    from persimmonlink_node.latency_tracker import LatencyTracker


PREFIX_CHARACTERS = 256
MAX_SEEN_PREFIXES = 4096
# Minimum free slots of a preferred server, as a fraction of those on the fast server
# that has the most.
MIN_FREE_RATIO = 0.5


class ServerChooser(Protocol):
    """Chooses the server that a queued request is sent to."""

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return one of the given servers, each of which has a free slot."""
        ...


class MostFreeChooser:
    """Chooses the server with the most free slots; ties are broken at random.

    Parameters
    ----------
    rng : random.Random
        Generator that breaks ties.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return the server with the most free slots."""
        max_free_slots = max(free_by_server.values())
        best = [
            s for s, free in sorted(free_by_server.items()) if free == max_free_slots
        ]
        return self._rng.choice(best)


class AffinityChooser:
    """Prefers the server that caches a prompt prefix, then the own failure domain.

    A prompt prefix that was seen before goes to the server with the highest
    rendezvous hash, so that all nodes choose the same one without coordination,
    unless that server has far fewer free slots than another. Any other request goes
    to a random server weighted by free slots, in the node's own failure domain unless
    servers outside of it have far more free slots. The weighting still sends a cold
    server, which has few slots, the requests that it needs to warm up.

    Parameters
    ----------
    rng : random.Random
        Generator that chooses among the weighted servers.
    is_in_own_domain : callable
        Returns whether a server is in the node's own failure domain.
    latencies : LatencyTracker
        Measured latencies, by which much slower servers are excluded.
    """

    def __init__(
        self,
        rng: random.Random,
        is_in_own_domain: Callable[[str], bool],
        latencies: LatencyTracker,
    ) -> None:
        self._rng = rng
        self._is_in_own_domain = is_in_own_domain
        self._latencies = latencies
        self._seen_prefixes: OrderedDict[int, None] = OrderedDict()

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return the preferred server for the request."""
        fast = self._latencies.list_fast(free_by_server)
        fast_free = {s: f for s, f in free_by_server.items() if s in fast}
        min_free_slots = max(fast_free.values()) * MIN_FREE_RATIO
        candidates = {s: f for s, f in fast_free.items() if f >= min_free_slots}
        prefix = self._find_seen_prefix(queue_entry.affinity)
        if prefix is not None:
            return max(
                candidates, key=lambda s: xxh3_64_intdigest(s.encode(), seed=prefix)
            )
        weights = {s: f for s, f in fast_free.items() if self._is_in_own_domain(s)}
        if max(weights.values(), default=0) < min_free_slots:
            weights = fast_free
        return self._rng.choices(list(weights), list(weights.values()))[0]

    def _find_seen_prefix(self, text: str) -> int | None:
        """Record the text's prefix; return its hash if it was seen before."""
        if len(text) < PREFIX_CHARACTERS:
            return None
        prefix = xxh3_64_intdigest(text[:PREFIX_CHARACTERS].encode())
        was_seen = prefix in self._seen_prefixes
        self._seen_prefixes[prefix] = None
        self._seen_prefixes.move_to_end(prefix)
        if len(self._seen_prefixes) > MAX_SEEN_PREFIXES:
            self._seen_prefixes.popitem(last=False)
        return prefix if was_seen else None


class RandomChooser:
    """Chooses a server at random; a baseline.

    Parameters
    ----------
    rng : random.Random
        Generator that chooses servers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return a random server."""
        return self._rng.choice(sorted(free_by_server))


class RoundRobinChooser:
    """Chooses each server in turn; a baseline."""

    def __init__(self) -> None:
        self._last_chosen = ""

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return the server after the last one chosen."""
        names = sorted(free_by_server)
        later = [name for name in names if name > self._last_chosen]
        self._last_chosen = later[0] if later else names[0]
        return self._last_chosen


__all__ = (
    "AffinityChooser",
    "MostFreeChooser",
    "RandomChooser",
    "RoundRobinChooser",
    "ServerChooser",
)
