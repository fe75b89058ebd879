"""Traces of recent requests, which show operators why each ended as it did."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from threading import Lock

MAX_TRACES = 2000


@dataclass(frozen=True)
class TraceEvent:
    """One decision about a request.

    Parameters
    ----------
    at_s : float
        Monotonic time, in seconds.
    what : str
        The decision and its reason.
    """

    at_s: float
    what: str


class TraceStore:
    """Keeps the decisions about the most recent requests, by request id.

    Parameters
    ----------
    max_traces : int
        Number of requests whose traces are kept.
    """

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self._max_traces = max_traces
        self._lock = Lock()
        self._events_by_id: OrderedDict[str, list[TraceEvent]] = OrderedDict()

    def add(self, request_id: str, at_s: float, what: str) -> None:
        """Add a decision to a request's trace; if full, evict the oldest trace."""
        with self._lock:
            events = self._events_by_id.setdefault(request_id, [])
            events.append(TraceEvent(at_s, what))
            if len(self._events_by_id) > self._max_traces:
                self._events_by_id.popitem(last=False)

    def list_events(self, request_id: str) -> list[dict[str, object]] | None:
        """Return a request's decisions with seconds since the first, or None."""
        with self._lock:
            events = list(self._events_by_id.get(request_id, ()))
        if not events:
            return None
        start = events[0].at_s
        return [
            {"seconds": round(event.at_s - start, 6), "what": event.what}
            for event in events
        ]


__all__ = ("TraceEvent", "TraceStore")
