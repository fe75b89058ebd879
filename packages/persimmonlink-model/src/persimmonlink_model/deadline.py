"""Deadlines, carried between processes as the time left."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Deadline:
    """A point of this process's monotonic clock.

    Parameters
    ----------
    expires_at : float
        Monotonic time, in seconds.
    """

    expires_at: float

    @classmethod
    def after(cls, remaining_s: float, now: float) -> Deadline:
        """Return the deadline that is `remaining_s` seconds away."""
        return cls(now + remaining_s)

    def remaining_s(self, now: float) -> float:
        """Return the seconds left, 0 when it is over."""
        return max(0.0, self.expires_at - now)

    def is_expired(self, now: float) -> bool:
        """Whether no time is left."""
        return now >= self.expires_at


__all__ = ("Deadline",)
