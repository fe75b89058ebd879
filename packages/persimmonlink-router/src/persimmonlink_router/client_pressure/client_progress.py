"""How far a client is behind with what the router waits for."""

from __future__ import annotations

from enum import StrEnum

# Rate at which a client sends a request at least, in bytes a second, not to be
# evicted while there are too many connections.
LEAST_BYTES_PER_S = 4096


class WaitsFor(StrEnum):
    """What a connection waits for; the values appear in logs and metrics."""

    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"
    READ = "read"


class ClientProgress:
    """What a client has done of what the router waits for.

    Parameters
    ----------
    now : float
        Boot time at which its connection was accepted, in seconds.

    Attributes
    ----------
    waits_for : WaitsFor
        What the router waits for.
    bytes : int
        Bytes of it that the client has sent or taken.
    """

    def __init__(self, now: float) -> None:
        self.waits_for = WaitsFor.HEAD
        self._since = now
        self._moved_at = now
        self.bytes = 0

    def begin(self, waits_for: WaitsFor, now: float) -> None:
        """Wait for something else from now on."""
        self.waits_for = waits_for
        self._since = self._moved_at = now
        self.bytes = 0

    def record(self, size: int, now: float) -> None:
        """Record bytes that the client has sent, or taken."""
        self._moved_at = now
        self.bytes += size

    def stalled_s(self, now: float) -> float:
        """Return the time since its last byte, in seconds; 0 if it has nothing to do.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        """
        return 0.0 if self.waits_for is WaitsFor.NOTHING else now - self._moved_at

    def behind_s(self, now: float) -> float:
        """Return the time by which the client is behind, in seconds.

        The time without a byte, or by which its request would have arrived sooner at
        the least rate, whichever is longer.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        """
        if self.waits_for is WaitsFor.NOTHING:
            return 0.0
        late_s = now - self._since - self.bytes / LEAST_BYTES_PER_S
        return max(self.stalled_s(now), late_s)


__all__ = ("LEAST_BYTES_PER_S", "ClientProgress", "WaitsFor")
