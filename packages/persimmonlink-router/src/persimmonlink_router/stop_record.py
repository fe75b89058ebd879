"""What a stop of the node does to requests and connections, for the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any


class ClosedWith(StrEnum):
    """What a connection still had when it was closed."""

    REQUEST = "request"
    UNSENT_BYTES = "unsent_bytes"
    UNREAD_BYTES = "unread_bytes"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State of a client connection at its close.

    Parameters
    ----------
    peer : str
        Address of the client.
    responses : int
        Responses that were sent on it.
    has_said_close : bool
        Whether one of them carried `Connection: close`.
    is_serving : bool
        Whether a request was being read or served.
    unsent_bytes : int
        Bytes of responses that waited in the write buffer of the process.
    unread_bytes : int
        Bytes of the client that the process had not parsed.
    quiet_s : float
        Time since the last bytes of the client or the last response, in seconds.
    """

    peer: str
    responses: int
    has_said_close: bool
    is_serving: bool
    unsent_bytes: int
    unread_bytes: int
    quiet_s: float

    @property
    def closed_with(self) -> ClosedWith:
        """The gravest of what it still had."""
        if self.is_serving:
            return ClosedWith.REQUEST
        if self.unsent_bytes:
            return ClosedWith.UNSENT_BYTES
        if self.unread_bytes:
            return ClosedWith.UNREAD_BYTES
        return ClosedWith.NOTHING


@dataclass(slots=True)
class StopRecord:
    """Connections that a stop has closed, by what they still had.

    Parameters
    ----------
    count_by_kind : Counter of str
        Number of connections of each kind.
    first_by_kind : dict of str to ConnectionState
        The first of each kind.
    """

    count_by_kind: Counter[str] = field(default_factory=Counter)
    first_by_kind: dict[str, ConnectionState] = field(default_factory=dict)

    def add(self, state: ConnectionState) -> None:
        """Record the close of a connection."""
        kind = state.closed_with.value
        self.count_by_kind[kind] += 1
        self.first_by_kind.setdefault(kind, state)

    def to_log_fields(self) -> dict[str, Any]:
        """Return a count for each kind, and the first state of each one."""
        return {
            "closed": {kind.value: self.count_by_kind[kind] for kind in ClosedWith},
            "first_closed": {
                kind: asdict(state) for kind, state in self.first_by_kind.items()
            },
        }


__all__ = ("ClosedWith", "ConnectionState", "StopRecord")
