"""Which servers this node reaches, judged by connections and answers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from persimmonlink_router.servers import Server, ServerKey

# A server that has sent nothing for this time, though a request waits, is checked.
STALL_S = 0.8
STALL_CHECK_INTERVAL_S = 2.0  # Least time between such checks of a server.


@dataclass(slots=True)
class _Contact:
    answered_at: float = 0.0
    checked_at: float = 0.0
    waiting_since: deque[float] = field(default_factory=deque)


class ServerReach:
    """Tells a service of which no server is reached from one with some servers down.

    A server is unreached from a refused or unanswered connection until the next
    connection or answer. A service is unreached while all its servers are; from then on
    only a new connection counts, since answers on old connections may go on where new
    ones are refused.
    """

    def __init__(self) -> None:
        self._contact_by_key: dict[ServerKey, _Contact] = {}
        self._unreached_keys: set[ServerKey] = set()
        self.unreached_services: frozenset[str] = frozenset()

    def record_connected(self, key: ServerKey) -> None:
        """Record a new connection to a server."""
        self._unreached_keys.discard(key)

    def record_unreachable(self, key: ServerKey) -> None:
        """Record that a connection to a server could not be opened."""
        self._unreached_keys.add(key)

    def record_answer(self, server: Server, now: float) -> None:
        """Record that a server sent something."""
        contact = self._find(server.key)
        contact.answered_at = now
        if server.service not in self.unreached_services:
            self._unreached_keys.discard(server.key)

    def record_sent(self, key: ServerKey, now: float) -> None:
        """Record a request that now waits for its response."""
        self._find(key).waiting_since.append(now)

    def record_done(self, key: ServerKey, sent_at: float) -> None:
        """Record that a request no longer waits, whatever its outcome."""
        waiting_since = self._find(key).waiting_since
        if sent_at in waiting_since:
            waiting_since.remove(sent_at)

    def is_unreached(self, key: ServerKey) -> bool:
        """Whether the last connection to a server failed."""
        return key in self._unreached_keys

    @property
    def has_unreached(self) -> bool:
        """Whether any server or service is unreached."""
        return bool(self._unreached_keys or self.unreached_services)

    def update(self, servers_by_service: Mapping[str, Sequence[Server]]) -> None:
        """Decide which services are unreached, given the usable servers of each."""
        self.unreached_services = frozenset(
            service
            for service, servers in servers_by_service.items()
            if servers and all(self.is_unreached(server.key) for server in servers)
        )

    def list_silent(self, now: float) -> list[ServerKey]:
        """Return the servers to check, as requests wait and nothing was sent."""
        silent = []
        for key, contact in self._contact_by_key.items():
            if not contact.waiting_since:
                continue
            quiet_since = max(contact.waiting_since[0], contact.answered_at)
            is_checked = now - contact.checked_at < STALL_CHECK_INTERVAL_S
            if now - quiet_since < STALL_S or is_checked:
                continue
            contact.checked_at = now
            silent.append(key)
        return silent

    def answered_since(self, key: ServerKey, since: float) -> bool:
        """Whether a server has sent something after a boot time, in seconds."""
        contact = self._contact_by_key.get(key)
        return contact is not None and contact.answered_at > since

    def any_answered_since(self, since: float) -> bool:
        """Whether any server has sent something after a boot time, in seconds."""
        contacts = self._contact_by_key.values()
        return any(contact.answered_at > since for contact in contacts)

    def retain_servers(self, keys: Collection[ServerKey]) -> None:
        """Discard what is known of all other servers."""
        for key, contact in list(self._contact_by_key.items()):
            if key not in keys and not contact.waiting_since:
                del self._contact_by_key[key]
        self._unreached_keys &= set(keys)

    def _find(self, key: ServerKey) -> _Contact:
        return self._contact_by_key.setdefault(key, _Contact())


__all__ = ("ServerReach",)
