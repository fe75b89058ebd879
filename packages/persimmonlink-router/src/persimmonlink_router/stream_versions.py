"""Software versions of the servers that began streams, by the client's request."""

from __future__ import annotations

# Longer than any client waits for a stream, with all its attempts.
RECORD_LIFETIME_S = 60.0


class StreamVersions:
    """Remembers for a time at which server software version each stream began."""

    def __init__(self) -> None:
        self._version_by_request_id: dict[str, str] = {}
        self._recorded_at_by_request_id: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._version_by_request_id)

    def record(self, request_id: str, version: str, now: float) -> None:
        """Record the version to which a request was sent; the last send counts.

        Parameters
        ----------
        request_id : str
            Id of the client's attempt that may begin the stream.
        version : str
            Software version of the server.
        now : float
            Boot time, in seconds.
        """
        self._version_by_request_id[request_id] = version
        # Inserted anew, so that the order is that of the times.
        self._recorded_at_by_request_id.pop(request_id, None)
        self._recorded_at_by_request_id[request_id] = now

    def find(self, request_id: str) -> str | None:
        """Return the version at which a stream began, or None if it is unknown."""
        return self._version_by_request_id.get(request_id)

    def discard_expired(self, now: float) -> None:
        """Discard the records older than `RECORD_LIFETIME_S`."""
        expired = []
        for request_id, recorded_at in self._recorded_at_by_request_id.items():
            if now - recorded_at < RECORD_LIFETIME_S:
                break
            expired.append(request_id)
        for request_id in expired:
            del self._recorded_at_by_request_id[request_id]
            del self._version_by_request_id[request_id]


__all__ = ("RECORD_LIFETIME_S", "StreamVersions")
