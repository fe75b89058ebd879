"""How long clients use what a node has told them."""

from __future__ import annotations

from dataclasses import dataclass

DIRECTORY_TTL_S = 1.0  # Time to live of directory responses.
DIRECTORY_TTL_USE_FACTOR = 3  # Clients cache them up to so many times as long.
# Longest time from a client's decision to use an address or a connection until what it
# sends has arrived.
CLIENT_DELAY_S = 0.5
DIRECTORY_USE_S = DIRECTORY_TTL_USE_FACTOR * DIRECTORY_TTL_S
# Clients may still connect for so long after the last response that names a node.
DIRECTORY_EXPIRY_WAIT_S = DIRECTORY_USE_S + CLIENT_DELAY_S
# Longest idle time that clients are allowed on a connection: those of a node that stops
# expire with the directory responses that name it.
MAX_KEEP_ALIVE_S = int(DIRECTORY_USE_S)


def choose_keep_alive_s(idle_timeout_s: float) -> int:
    """Return the idle time that responses allow clients, in whole seconds.

    Parameters
    ----------
    idle_timeout_s : float
        Idle time after which the node closes a connection, in seconds.

    Returns
    -------
    int
        Less than the idle timeout, so that no request crosses the close; 0 to allow
        no time, since the timeout is too short for whole seconds.
    """
    return max(0, min(MAX_KEEP_ALIVE_S, int(idle_timeout_s - CLIENT_DELAY_S)))


@dataclass(slots=True)
class ConnectionUse:
    """What a client has been told on a connection, and when it last used it.

    Parameters
    ----------
    opened_at : float
        Boot time at which the connection was opened, in seconds.
    active_at : float
        Boot time of the client's last bytes or the last response, in seconds.
    answered_at : float or None
        Boot time at which the last response ended, in seconds; None if none has.
    responses : int
        Responses that have begun.
    has_said_close : bool
        Whether one of them carried `Connection: close`.
    announced_idle_s : float
        Idle time that the last response allowed the client, in seconds; 0 for none.
    """

    opened_at: float
    active_at: float
    answered_at: float | None = None
    responses: int = 0
    has_said_close: bool = False
    announced_idle_s: float = 0.0

    def record_begin(self, announced_idle_s: float, *, is_last: bool) -> None:
        """Record a response that begins, and what it tells the client."""
        self.responses += 1
        self.announced_idle_s = announced_idle_s
        self.has_said_close = self.has_said_close or is_last

    def choose_idle_timeout_s(self, idle_timeout_s: float) -> float:
        """Return the idle time after which the connection is closed, in seconds.

        Parameters
        ----------
        idle_timeout_s : float
            The configured one, in seconds; a longer one may have been announced when
            the last response began.
        """
        if not self.announced_idle_s:
            return idle_timeout_s
        return max(idle_timeout_s, self.announced_idle_s + CLIENT_DELAY_S)

    def record_end(self, now: float) -> None:
        """Record the end of a response at a boot time in seconds."""
        self.answered_at = self.active_at = now

    def is_over(self, now: float, unread_bytes: int, header_timeout_s: float) -> bool:
        """Whether the client sends nothing more, as long as it was told no close.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        unread_bytes : int
            Bytes of the client from which no request was read.
        header_timeout_s : float
            Time for the head of a request to arrive, in seconds.
        """
        if unread_bytes and now <= self.active_at + header_timeout_s:
            return False
        if self.answered_at is None:
            return now > self.opened_at + CLIENT_DELAY_S
        return now > self.answered_at + MAX_KEEP_ALIVE_S + CLIENT_DELAY_S


__all__ = (
    "CLIENT_DELAY_S",
    "ConnectionUse",
    "DIRECTORY_EXPIRY_WAIT_S",
    "DIRECTORY_TTL_S",
    "MAX_KEEP_ALIVE_S",
    "choose_keep_alive_s",
)
