"""Which connection is evicted for a new one when there are too many."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

# Time after which a connection without a request may be evicted. Clients are promised
# more, but one that returns loses a round trip only.
MIN_IDLE_S = 1.0
# Time by which a client is behind with a request before it may be evicted: one that was
# sent at once arrives within a few round trips.
MIN_BEHIND_S = 0.1
# Time for which a client takes nothing of a response before it may be evicted, which
# loses the response. Lost packets are sent again before that.
MIN_UNREAD_S = 1.0

Holder = TypeVar("Holder")


@dataclass(frozen=True, slots=True)
class EvictionCandidate(Generic[Holder]):
    """A connection that is not needed for a request at a server.

    Parameters
    ----------
    holder : object
        The connection.
    address : str
        IP address of the client.
    idle_s : float
        Time since its last request, in seconds; 0 if one is under way.
    behind_s : float
        Time by which the client is behind with a request, in seconds.
    unread_s : float
        Time for which it has taken nothing of a response, in seconds.
    """

    holder: Holder
    address: str
    idle_s: float = 0.0
    behind_s: float = 0.0
    unread_s: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether it has had no request for a while."""
        return self.idle_s >= MIN_IDLE_S

    @property
    def is_behind(self) -> bool:
        """Whether the router has waited for the client for a while."""
        return self.behind_s >= MIN_BEHIND_S or self.unread_s >= MIN_UNREAD_S

    @property
    def is_evictable(self) -> bool:
        """Whether the connection may be closed for a new one."""
        return self.is_idle or self.is_behind

    @property
    def waited_s(self) -> float:
        """Time for which the router has waited for the client, in seconds."""
        return max(self.behind_s, self.unread_s)


def rank_candidates(
    candidates: Sequence[EvictionCandidate[Holder]],
) -> list[EvictionCandidate[Holder]]:
    """Return the connections that may be evicted, the first one first.

    Idle ones before all others; then those of the address that has most of them, and
    among these the one that is furthest behind. Callers may share an address, so that
    it decides on the order only.

    Parameters
    ----------
    candidates : sequence of EvictionCandidate
        Connections that are not needed for a request at a server.
    """
    idle = [each for each in candidates if each.is_idle]
    behind = [each for each in candidates if each.is_behind and not each.is_idle]
    count_by_address = Counter(each.address for each in behind)
    idle.sort(key=lambda each: -each.idle_s)
    behind.sort(key=lambda each: (-count_by_address[each.address], -each.waited_s))
    return idle + behind


__all__ = (
    "MIN_BEHIND_S",
    "MIN_IDLE_S",
    "MIN_UNREAD_S",
    "EvictionCandidate",
    "rank_candidates",
)
