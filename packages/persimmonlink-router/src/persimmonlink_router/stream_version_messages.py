"""Messages on the software versions at which streams began."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_peers.message import Sender


@dataclass(frozen=True)
class RecordStreamVersions:
    """Asks a peer to keep the server software versions at which streams began."""

    sender: Sender
    version_by_request_id: dict[str, str]


@dataclass(frozen=True)
class FindStreamVersion:
    """Asks a peer at which software version of a service a stream began."""

    sender: Sender
    request_id: str
    service: str


@dataclass(frozen=True)
class FoundStreamVersion:
    """Reply to `FindStreamVersion`.

    Parameters
    ----------
    version : str or None
        Version at which the stream began; None if the peer has no record of it.
    recent_versions : tuple of str
        Versions of the service's servers that the peer has seen lately.
    """

    version: str | None
    recent_versions: tuple[str, ...] = ()


__all__ = (
    "FindStreamVersion",
    "FoundStreamVersion",
    "RecordStreamVersions",
)
