"""Deadlines, sent between processes as the remaining time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Deadline:
    """Point in time of this process's monotonic clock.

    Parameters
    ----------
    expires_at : float
        Monotonic time of expiry, in seconds.
    """

    expires_at: float

    @classmethod
    def after(cls, remaining_s: float, now: float) -> Deadline:
        """Return the deadline that expires in `remaining_s` seconds."""
        return cls(now + remaining_s)

    def remaining_s(self, now: float) -> float:
        """Return the remaining time, in seconds; 0 once the deadline has expired."""
        return max(0.0, self.expires_at - now)

    def is_expired(self, now: float) -> bool:
        """Whether the deadline has expired."""
        return now >= self.expires_at


__all__ = ("Deadline",)
