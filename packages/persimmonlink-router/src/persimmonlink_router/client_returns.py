"""Tells clients that come back after a refusal from those that come first.

Answers for bursts above what the servers can run: a client that comes back has missed
its objective, so that it can wait for those that can still be on time, but must not be
refused once more.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Part of a route's usual deadline that a first try has at least left: clients differ by
# up to 15 %.
FIRST_TRY_SHARE = 0.84
KEPT = 64  # Deadlines kept for a route.
LEAST_KEPT = 8  # Fewer say nothing of what is usual.
USUAL_QUANTILE = 0.9  # Most requests are first tries, also in a burst.
# Part of the time that a client has left after which it is asked to return: long enough
# to be told from a first try, and below the third up to which clients comply.
RETURN_SHARE = 0.21
LONGEST_RETURN_SHARE = 0.235  # Most of it, as times to return are spread beyond that.
# Part of the time left within which a client that came back should have its answer.
RETURNED_OBJECTIVE_SHARE = 0.5
RETURNED_PRIORITY_STEP = 10  # Ranks that put it behind all that come first.


class ClientReturns:
    """The deadlines that clients of each route have named lately."""

    def __init__(self) -> None:
        self._deadlines_by_route: dict[str, deque[float]] = {}

    def note(self, route: str, deadline_s: float | None) -> bool:
        """Take in a request; return whether its client has been refused before."""
        if deadline_s is None:
            return False
        deadlines = self._deadlines_by_route.setdefault(route, deque(maxlen=KEPT))
        deadlines.append(deadline_s)
        if len(deadlines) < LEAST_KEPT:
            return False
        # Not the longest of all: one client's may be out of all proportion.
        usual_s = sorted(deadlines)[int(USUAL_QUANTILE * (len(deadlines) - 1))]
        return deadline_s < FIRST_TRY_SHARE * usual_s

    def forget_other(self, routes: Collection[str]) -> None:
        """Forget routes that are gone."""
        for route in list(self._deadlines_by_route):
            if route not in routes:
                del self._deadlines_by_route[route]


def choose_return_s(room_in_s: float, time_left_s: float) -> float:
    """Return when a refused client should come back, in seconds.

    Parameters
    ----------
    room_in_s : float
        When there is expected to be room, in seconds.
    time_left_s : float
        Time until the client gives up, in seconds.
    """
    least_s = RETURN_SHARE * time_left_s
    return min(max(room_in_s, least_s), LONGEST_RETURN_SHARE * time_left_s)


__all__ = (
    "LEAST_KEPT",
    "RETURNED_OBJECTIVE_SHARE",
    "RETURNED_PRIORITY_STEP",
    "ClientReturns",
    "choose_return_s",
)
