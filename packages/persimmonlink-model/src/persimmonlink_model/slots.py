"""Slots that limit the requests of this node in flight on each backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True)
class SlotGrant:
    """Permission to have a number of requests in flight on a server until it expires.

    Parameters
    ----------
    server_id : str
        Backend server that the slots are on.
    slots : int
        Requests that this node may have in flight at once.
    expires_at : float
        Monotonic time of expiry, in seconds.
    """

    server_id: str
    slots: int
    expires_at: float


class SlotTable:
    """Grants held by this node and the slots in use under them.

    Not thread-safe; the owner serializes access.
    """

    def __init__(self) -> None:
        self.grant_by_server: dict[str, SlotGrant] = {}
        self.in_flight_by_server: dict[str, int] = {}
        self.slots_by_account: dict[str, int] = {}
        self.in_flight_by_account: dict[str, int] = {}

    def set_grant(self, grant: SlotGrant) -> None:
        """Set a server's grant, in place of its previous one."""
        self.grant_by_server[grant.server_id] = grant

    def replace_grants(
        self,
        grant_by_server: Mapping[str, SlotGrant],
        slots_by_account: Mapping[str, int],
    ) -> None:
        """Replace all grants; a server without an entry has no grant afterwards."""
        self.grant_by_server = dict(grant_by_server)
        self.slots_by_account = dict(slots_by_account)

    def discard_grant(self, server_id: str) -> None:
        """Discard a server's grant, so that no further slots are acquired under it."""
        self.grant_by_server.pop(server_id, None)

    def count_free(self, server_id: str, now: float) -> int:
        """Return the number of slots of a server that can be acquired now."""
        grant = self.grant_by_server.get(server_id)
        if grant is None or grant.expires_at <= now:
            return 0
        return max(0, grant.slots - self.in_flight_by_server.get(server_id, 0))

    def list_free(self, now: float) -> dict[str, int]:
        """Return the number of free slots of each server that has any."""
        free_by_server = {}
        for server_id in self.grant_by_server:
            free = self.count_free(server_id, now)
            if free:
                free_by_server[server_id] = free
        return free_by_server

    def list_granted(self, now: float) -> list[str]:
        """Return the servers for which this node holds a live grant."""
        return [s for s in self.grant_by_server if self.has_live_grant(s, now)]

    def has_live_grant(self, server_id: str, now: float) -> bool:
        """Whether requests may be sent to the server now."""
        grant = self.grant_by_server.get(server_id)
        return grant is not None and grant.expires_at > now and grant.slots > 0

    def has_unused_share(self, account: str) -> bool:
        """Whether an account uses fewer slots than are reserved for it."""
        used = self.in_flight_by_account.get(account, 0)
        return used < self.slots_by_account.get(account, 0)

    def acquire_slot(self, server_id: str, account: str, now: float) -> bool:
        """Acquire a slot for an account; return False if none is free."""
        if not self.count_free(server_id, now):
            return False
        _adjust_count(self.in_flight_by_server, server_id, 1)
        _adjust_count(self.in_flight_by_account, account, 1)
        return True

    def release_slot(self, server_id: str, account: str) -> None:
        """Release a slot of an account."""
        _adjust_count(self.in_flight_by_server, server_id, -1)
        _adjust_count(self.in_flight_by_account, account, -1)


def _adjust_count(count_by_key: dict[str, int], key: str, amount: int) -> None:
    count = count_by_key.get(key, 0) + amount
    if count > 0:
        count_by_key[key] = count
        return
    count_by_key.pop(key, None)


__all__ = ("SlotGrant", "SlotTable")
