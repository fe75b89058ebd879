"""Rates that servers name in their answers, as this node or its peers read them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.peer_messages import LimitNotice

if TYPE_CHECKING:
    from collections.abc import Collection

    from persimmonlink_router.servers import ServerKey

# An answer without a limit counts only so long after one with a limit, as answers of
# different connections overtake each other.
MIN_DROP_AGE_S = 0.1
# Readings of two nodes within this time can't be ordered; the one with a limit counts.
READING_ORDER_GAP_S = 0.1
# Older readings are not taken from peers, and dropped limits are not passed on longer.
MAX_NOTICE_AGE_S = 10.0
# A server that names a rate of 0 gets so many requests, as without any no node would
# learn when it takes some again.
MIN_RATE_PER_S = 0.1
MIN_REFRESH_S = 1.0  # Least time between readings for which a server is asked.
MAX_NOTICES = 128  # Readings that are passed on, the newest.


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What a server said of its limit.

    Parameters
    ----------
    rate_per_s : float or None
        Requests a second that it accepts from all nodes; None if it named none.
    read_at : float
        Boot time at which this was read, in seconds.
    """

    rate_per_s: float | None
    read_at: float


class NamedLimits:
    """The newest reading of each server that has named a limit lately."""

    def __init__(self) -> None:
        self._limit_by_key: dict[ServerKey, NamedLimit] = {}

    def __len__(self) -> int:
        return len(self._limit_by_key)

    def find_rate(self, key: ServerKey) -> float | None:
        """Return the rate for all nodes together, in requests a second.

        It is the rate that a server names, but at least `MIN_RATE_PER_S`; None if it
        names none.
        """
        limit = self._limit_by_key.get(key)
        if limit is None or limit.rate_per_s is None:
            return None
        return max(limit.rate_per_s, MIN_RATE_PER_S)

    def is_due(self, key: ServerKey, now: float) -> bool:
        """Whether a server is to be asked again, as its limit was read long ago.

        Servers that are never chosen, beside others without limits, would otherwise
        keep a limit that they no longer name.
        """
        limit = self._limit_by_key.get(key)
        if limit is None or limit.rate_per_s is None:
            return False
        rate_per_s = max(limit.rate_per_s, MIN_RATE_PER_S)
        return now - limit.read_at > max(MIN_REFRESH_S, 1 / rate_per_s)

    def read_age_s(self, key: ServerKey, now: float) -> float:
        """Return the age of what is known of a server's limit, in seconds."""
        limit = self._limit_by_key.get(key)
        return 0.0 if limit is None else now - limit.read_at

    def record(self, key: ServerKey, rate_per_s: float | None, now: float) -> bool:
        """Record what an answer says; return whether it differs from before."""
        known = self._limit_by_key.get(key)
        if known is None and rate_per_s is None:
            return False
        if (
            known is not None
            and rate_per_s is None
            and known.rate_per_s is not None
            and now - known.read_at < MIN_DROP_AGE_S
        ):
            return False
        if known is not None and rate_per_s is None and known.rate_per_s is None:
            return False
        self._limit_by_key.pop(key, None)
        self._limit_by_key[key] = NamedLimit(rate_per_s, now)
        return known is None or known.rate_per_s != rate_per_s

    def apply_notice(self, notice: LimitNotice, now: float) -> bool:
        """Apply a peer's reading; return whether it changes what is known."""
        if notice.age_s > MAX_NOTICE_AGE_S:
            return False
        known = self._limit_by_key.get(notice.server)
        read_at = now - max(0.0, notice.age_s)
        if known is None and notice.rate_per_s is None:
            return False
        if known is not None and not _is_newer(notice.rate_per_s, read_at, known):
            return False
        self._limit_by_key.pop(notice.server, None)
        self._limit_by_key[notice.server] = NamedLimit(notice.rate_per_s, read_at)
        return known is None or known.rate_per_s != notice.rate_per_s

    def build_notices(self, now: float) -> tuple[LimitNotice, ...]:
        """Return the newest readings as messages to peers."""
        notices = [
            LimitNotice(key, limit.rate_per_s, now - limit.read_at)
            for key, limit in self._limit_by_key.items()
            if now - limit.read_at <= MAX_NOTICE_AGE_S
        ]
        return tuple(notices[-MAX_NOTICES:])

    def list_limited(self) -> list[tuple[ServerKey, float]]:
        """Return the servers that name a limit, with it."""
        return [
            (key, limit.rate_per_s)
            for key, limit in self._limit_by_key.items()
            if limit.rate_per_s is not None
        ]

    def count_limited(self) -> int:
        """Return the number of servers that name a limit."""
        limits = self._limit_by_key.values()
        return sum(1 for limit in limits if limit.rate_per_s is not None)

    def retain(self, keys: Collection[ServerKey], now: float) -> None:
        """Discard old readings of other servers, and limits dropped long ago.

        A peer may still repeat newer ones.
        """
        for key, limit in list(self._limit_by_key.items()):
            if now - limit.read_at <= MAX_NOTICE_AGE_S:
                continue
            if key not in keys or limit.rate_per_s is None:
                del self._limit_by_key[key]


def _is_newer(rate_per_s: float | None, read_at: float, known: NamedLimit) -> bool:
    """Whether a peer's reading replaces the known one."""
    gap_s = read_at - known.read_at
    if rate_per_s is not None and known.rate_per_s is None:
        return gap_s > -READING_ORDER_GAP_S
    return gap_s > READING_ORDER_GAP_S


__all__ = ("MIN_RATE_PER_S", "NamedLimit", "NamedLimits")
