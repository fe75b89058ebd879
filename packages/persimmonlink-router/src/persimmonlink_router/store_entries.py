"""Entries of the store that operators and servers write, and who reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from persimmonlink_router.servers import Server

if TYPE_CHECKING:
    from persimmonlink_router.configuration import Configuration
    from persimmonlink_router.rollouts.rollout_records import RolloutOrderEntry
    from persimmonlink_router.store import StoredItem


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Entry of the store that describes a server.

    Parameters
    ----------
    server_id : str
        Id of the server.
    server : Server or None
        The server; None if its entry was deleted or is malformed.
    number : int
        Number that the server gave the entry; later entries have higher ones.
    """

    server_id: str
    server: Server | None
    number: int = 0


@dataclass(frozen=True, slots=True)
class DrainEntry:
    """Entry of the store that drains a failure domain, or ends its drain."""

    domain: str
    is_drained: bool


class EntryReader(Protocol):
    """Translates the store entries that operators and servers write."""

    prefixes: tuple[str, ...]

    def read(
        self, item: StoredItem
    ) -> Configuration | ServerEntry | DrainEntry | RolloutOrderEntry | None:
        """Translate an item; raise `WireFormatError` if it is malformed.

        Returns None for an item that the router does not use.
        """
        ...


__all__ = ("DrainEntry", "EntryReader", "ServerEntry")
