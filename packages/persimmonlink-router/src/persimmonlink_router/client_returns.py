"""Tells clients that come back after a refusal from those that come first.

Answers for bursts above what the servers can run: a client that comes back has missed
its objective, so that it can wait for those that can still be on time, but must not be
refused once more.
"""

from __future__ import annotations

# Part of a route's longest deadline that a first try has at least left: clients differ
# by up to 15 %.
FIRST_TRY_SHARE = 0.84
# Part of the time that a client has left after which it is asked to return: long enough
# to be told from a first try, and below the third up to which clients comply.
RETURN_SHARE = 0.21
LONGEST_RETURN_SHARE = 0.235  # Most of it, as times to return are spread beyond that.
# Part of the time left within which a client that came back should have its answer.
RETURNED_OBJECTIVE_SHARE = 0.5
RETURNED_PRIORITY_STEP = 10  # Ranks that put it behind all that come first.


class ClientReturns:
    """The longest deadline that clients of each route have named."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, float] = {}

    def note(self, route: str, deadline_s: float | None) -> bool:
        """Take in a request; return whether its client has been refused before."""
        if deadline_s is None:
            return False
        longest_s = max(self._longest_by_route.get(route, 0.0), deadline_s)
        self._longest_by_route[route] = longest_s
        return deadline_s < FIRST_TRY_SHARE * longest_s

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget routes that are gone."""
        for route in list(self._longest_by_route):
            if route not in routes:
                del self._longest_by_route[route]


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
    "RETURNED_OBJECTIVE_SHARE",
    "RETURNED_PRIORITY_STEP",
    "ClientReturns",
    "choose_return_s",
)
