"""When a client that was refused may come back."""

from __future__ import annotations

# Largest random increase of Retry-After, as a fraction, so that clients which were
# refused together do not retry together.
RETRY_AFTER_JITTER = 0.4
# Clients honour a Retry-After up to this part of the time that they have left.
HONOURED_PART = 1 / 3


def bound_retry_after_s(
    available_in_s: float, time_left_s: float, *, is_exact: bool = False
) -> float:
    """Return the Retry-After of a refused request before jitter, in seconds.

    It is the time after which the request can be served. The time that the client has
    left only bounds it from above, with room for the jitter: clients that are told more
    than they honour would all come at that bound.

    Parameters
    ----------
    available_in_s : float
        Time after which capacity is expected, in seconds.
    time_left_s : float
        Time until the client's deadline, in seconds.
    is_exact : bool
        Whether room is kept at that time, so that no jitter is added.
    """
    longest_s = HONOURED_PART * max(0.0, time_left_s)
    if not is_exact:
        longest_s /= 1 + RETRY_AFTER_JITTER
    return min(available_in_s, longest_s)


__all__ = ("HONOURED_PART", "RETRY_AFTER_JITTER", "bound_retry_after_s")
