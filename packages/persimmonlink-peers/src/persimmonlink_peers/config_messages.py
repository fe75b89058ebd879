"""Messages that relay configuration records between nodes."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_peers.message import Sender


@dataclass(frozen=True)
class ConfigEntry:
    """Configuration record as stored.

    Parameters
    ----------
    path : str
        `KIND/NAME` of the record.
    value : bytes
        Stored value.
    revision : int
        Key-value revision of the write.
    """

    path: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class ConfigPush:
    """Records that were new to the sender.

    Parameters
    ----------
    sender : Sender
        Node that relays the records.
    entries : tuple of ConfigEntry
        Relayed records.
    """

    sender: Sender
    entries: tuple[ConfigEntry, ...]


@dataclass(frozen=True)
class ConfigFetch:
    """Anti-entropy request: compares configurations and fetches newer records.

    Parameters
    ----------
    sender : Sender
        Node that sends the request.
    revision : int
        Revision of the sender's newest record.
    digest : int
        Digest of the revisions of all its records, or a value that no configuration
        has, to fetch records in any case.
    after : int
        Revision after which records are fetched if revision or digest differ.
    """

    sender: Sender
    revision: int
    digest: int
    after: int


@dataclass(frozen=True)
class ConfigReply:
    """State of the replying node after it applied any records of the message.

    Parameters
    ----------
    revision : int
        Revision of the node's newest record.
    digest : int
        Digest of the revisions of all its records.
    key_value_age_s : float or None
        Seconds since the node itself reached the key-value service; None if never.
    confirmed_age_s : float or None
        Seconds since its configuration was confirmed as the newest; None if never.
    entries : tuple of ConfigEntry
        Fetched records, oldest first; there may be more.
    """

    revision: int
    digest: int
    key_value_age_s: float | None
    confirmed_age_s: float | None
    entries: tuple[ConfigEntry, ...] = ()


__all__ = ("ConfigEntry", "ConfigFetch", "ConfigPush", "ConfigReply")
