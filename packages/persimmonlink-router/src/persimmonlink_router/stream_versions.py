"""Software versions of the servers that began streams, by the client's request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# Longer than any client waits for a stream, with all its attempts.
RECORD_LIFETIME_S = 60.0
# In place of the version of a stream whose server may have been one of two versions;
# nodes of older builds refuse to go on with it, as no server has this version.
UNCERTAIN_VERSION = "(uncertain)"


class VersionSource(StrEnum):
    """Who knew the version at which a stream goes on; the values appear in logs."""

    NODE = "node"
    MEMBER = "member"
    STORE = "store"
    ONLY_RECENT = "only_recent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """Answer to the question at which version a stream has to go on.

    Parameters
    ----------
    version : str or None
        The version; None if it is unknown.
    source : VersionSource
        Who knew it.
    answered_by : tuple of str
        Members that answered, in order; the last one knew it if a member did.
    """

    version: str | None
    source: VersionSource
    answered_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _SavedVersion:
    version: str
    revision: int
    read_at: float


class StreamVersions:
    """Remembers for a time at which server software version each stream began.

    What the nodes record themselves is kept apart from what the store has saved: a
    request may have been sent to another version since.
    """

    def __init__(self) -> None:
        self._version_by_request_id: dict[str, str] = {}
        self._recorded_at_by_request_id: dict[str, float] = {}
        self._unsaved_ids: dict[str, None] = {}
        self._saved_by_request_id: dict[str, _SavedVersion] = {}

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
        if self._version_by_request_id.get(request_id) != version:
            self._unsaved_ids[request_id] = None
        self._version_by_request_id[request_id] = version
        # Inserted anew, so that the order is that of the times.
        self._recorded_at_by_request_id.pop(request_id, None)
        self._recorded_at_by_request_id[request_id] = now

    def forget(self, request_id: str) -> None:
        """Discard the record of a request that another node goes on with."""
        self._version_by_request_id.pop(request_id, None)
        self._recorded_at_by_request_id.pop(request_id, None)
        self._unsaved_ids.pop(request_id, None)

    def find(self, request_id: str) -> str | None:
        """Return the version at which a stream began, or None if it is unknown."""
        return self._version_by_request_id.get(request_id)

    def find_saved(self, request_id: str) -> str | None:
        """Return the version of a stream as the store has it, or None."""
        saved = self._saved_by_request_id.get(request_id)
        return None if saved is None else saved.version

    def count_saved(self) -> int:
        """Return the number of versions that the store is known to have."""
        return len(self._saved_by_request_id)

    def record_saved(
        self, request_id: str, version: str, revision: int, now: float
    ) -> None:
        """Record what the store has; the value of the latest revision counts."""
        known = self._saved_by_request_id.pop(request_id, None)
        saved = _SavedVersion(version, revision, now)
        if known is not None and known.revision > revision:
            saved = known
        self._saved_by_request_id[request_id] = saved
        if self._version_by_request_id.get(request_id) == saved.version:
            self._unsaved_ids.pop(request_id, None)

    def list_unsaved(self, recorded_before: float, limit: int) -> dict[str, str]:
        """Return the versions that the store lacks, by request, the latest ones.

        Their clients have the most time left to take a stream up.

        Parameters
        ----------
        recorded_before : float
            Boot time until which they were recorded, in seconds.
        limit : int
            Largest number of versions.
        """
        unsaved: dict[str, str] = {}
        for request_id in reversed(self._unsaved_ids):
            if len(unsaved) >= limit:
                break
            if self._recorded_at_by_request_id[request_id] <= recorded_before:
                unsaved[request_id] = self._version_by_request_id[request_id]
        return unsaved

    def mark_saved(self, version_by_request_id: dict[str, str]) -> None:
        """Record that the store has these versions."""
        for request_id, version in version_by_request_id.items():
            if self._version_by_request_id.get(request_id) == version:
                self._unsaved_ids.pop(request_id, None)

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
            self._unsaved_ids.pop(request_id, None)
        outdated = []
        for request_id, saved in self._saved_by_request_id.items():
            if now - saved.read_at < RECORD_LIFETIME_S:
                break
            outdated.append(request_id)
        for request_id in outdated:
            del self._saved_by_request_id[request_id]


__all__ = (
    "RECORD_LIFETIME_S",
    "UNCERTAIN_VERSION",
    "FoundVersion",
    "StreamVersions",
    "VersionSource",
)
