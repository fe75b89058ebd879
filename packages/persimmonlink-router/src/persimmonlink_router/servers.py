"""Backend servers as their entries describe them, and which may receive work."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.rollouts.version_shares import VersionShares

if TYPE_CHECKING:
    from collections.abc import Iterable

ServerKey = tuple[str, int, str]  # Id, start time and address of an incarnation.
DISCARD_INTERVAL_S = 1.0  # Least time between two looks for state that is outdated.
WARM_UP_S = 5.0  # Time after a server's start in which it may be slow.
VERSION_MEMORY_S = 60.0  # Longer than a stream lasts, with all attempts of its client.


@dataclass(frozen=True, slots=True)
class Server:
    """One incarnation of a backend server.

    Parameters
    ----------
    server_id : str
        Id of the server.
    started_at_ms : int
        Unix time of its start, in milliseconds; 0 if unknown. It distinguishes
        incarnations with the same id.
    service : str
        Service that it belongs to.
    address : str
        `IP:PORT`.
    domain : str
        Failure domain.
    slots : int
        Number of requests that it runs concurrently.
    is_draining : bool
        Whether it is shutting down and accepts no new work.
    cold_left_s : float
        Time for which it stays cold after writing its entry, in seconds.
    software_version : str
        Version of the software that it runs, empty if unknown.
    """

    server_id: str
    started_at_ms: int
    service: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
    software_version: str = ""

    @property
    def software(self) -> str:
        """Service and software version, as `SERVICE/VERSION`."""
        return f"{self.service}/{self.software_version}"

    @property
    def key(self) -> ServerKey:
        """Identity of this incarnation: id, start time and address."""
        return self.server_id, self.started_at_ms, self.address


class ServerDirectory:
    """Known servers, and which of them are draining, drained or cold.

    It decides, whatever their load, which servers may receive a request at a moment.

    Attributes
    ----------
    version_shares : VersionShares
        What the versions of services may get that are moved to another one.
    """

    def __init__(self) -> None:
        self.server_by_id: dict[str, Server] = {}
        self.drained_domains: frozenset[str] = frozenset()
        self._cold_until_by_key: dict[ServerKey, float] = {}
        self._removal_at_by_id: dict[str, float] = {}
        self._leaving_since_by_key: dict[ServerKey, float] = {}
        self._known_since_by_key: dict[ServerKey, float] = {}
        self._paused_until_by_key: dict[ServerKey, float] = {}
        self._limited_until_by_key: dict[ServerKey, float] = {}
        self._left_at_by_version: dict[tuple[str, str], float] = {}
        self._discarded_at = -math.inf
        self._usable_by_service: dict[str, list[Server]] | None = None
        self.version_shares = VersionShares()
        self.version_shares.on_change = self._forget_usable

    def _forget_usable(self) -> None:
        self._usable_by_service = None

    def update(self, server: Server, now: float) -> bool:
        """Apply a server's entry; return whether it differs from the known one.

        An update cancels a scheduled removal.
        """
        current = self.server_by_id.get(server.server_id)
        self._removal_at_by_id.pop(server.server_id, None)
        if current == server:
            return False
        self.server_by_id[server.server_id] = server
        self._usable_by_service = None
        if current is not None and (
            current.software_version != server.software_version
        ):
            self._record_left(current, now)
        if current is not None and current.key != server.key:
            self._cold_until_by_key.pop(current.key, None)
        self._known_since_by_key.setdefault(server.key, now)
        if server.cold_left_s > 0:
            self.mark_cold(server, now + server.cold_left_s)
        return current is None or current.key != server.key or current != server

    def remove(self, server_id: str, now: float) -> Server | None:
        """Remove a server at once and return it, or None if it is unknown."""
        self._removal_at_by_id.pop(server_id, None)
        server = self.server_by_id.pop(server_id, None)
        self._usable_by_service = None
        if server is not None:
            self._record_left(server, now)
        return server

    def schedule_removal(self, server_id: str, removal_at: float) -> None:
        """Keep a server whose entry expired in a store outage until `removal_at`.

        The time is a boot time in seconds; an earlier schedule stays in force.
        """
        if server_id in self.server_by_id:
            self._removal_at_by_id.setdefault(server_id, removal_at)

    def hasten_removals(self, removal_at: float) -> None:
        """Let scheduled removals be due at a boot time, in seconds, at the latest."""
        for server_id, scheduled_at in self._removal_at_by_id.items():
            self._removal_at_by_id[server_id] = min(scheduled_at, removal_at)

    def remove_expired(self, now: float) -> list[str]:
        """Remove the servers whose removal is due; return their ids."""
        expired = [
            server_id
            for server_id, removal_at in self._removal_at_by_id.items()
            if removal_at <= now
        ]
        for server_id in expired:
            self.remove(server_id, now)
        return expired

    def list_recent_versions(self, service: str, now: float) -> list[str]:
        """Return the software versions of a service that may have begun live streams.

        These are the versions of its servers now, also of those that are draining, and
        of those that left in the last `VERSION_MEMORY_S`.
        """
        return sorted(self.list_version_ages(service, now))

    def list_version_ages(self, service: str, now: float) -> dict[str, float]:
        """Return the recent versions with the time since they left, in seconds.

        That time is 0 for the versions of servers that are present.
        """
        age_s_by_version = {
            version: max(0.0, now - left_at)
            for (left_service, version), left_at in self._left_at_by_version.items()
            if left_service == service and now - left_at < VERSION_MEMORY_S
        }
        for server in self.server_by_id.values():
            if server.service == service:
                age_s_by_version[server.software_version] = 0.0
        return age_s_by_version

    def record_served_until(self, service: str, version: str, until: float) -> None:
        """Record that a version served until a boot time, in seconds, or longer."""
        key = (service, version)
        known = self._left_at_by_version.get(key, until)
        self._left_at_by_version[key] = max(known, until)

    def _record_left(self, server: Server, now: float) -> None:
        """Record that a server of its version left, and forget older records."""
        self._left_at_by_version = {
            key: left_at
            for key, left_at in self._left_at_by_version.items()
            if now - left_at < VERSION_MEMORY_S
        }
        self._left_at_by_version[server.service, server.software_version] = now
        if now - self._discarded_at >= DISCARD_INTERVAL_S:
            self._discarded_at = now
            self._discard_absent_state(now)

    def _discard_absent_state(self, now: float) -> None:
        """Forget what servers said that are gone for longer than a request lasts."""
        present = {server.key for server in self.server_by_id.values()}
        for key, until in list(self._cold_until_by_key.items()):
            if key not in present and until < now:
                del self._cold_until_by_key[key]
        for state in (
            self._known_since_by_key,
            self._leaving_since_by_key,
            self._paused_until_by_key,
            self._limited_until_by_key,
        ):
            for key, since in list(state.items()):
                if key not in present and now - since > VERSION_MEMORY_S:
                    del state[key]

    def set_drained_domains(
        self, domains: Iterable[str], now: float, cold_s_by_service: dict[str, float]
    ) -> None:
        """Set the failure domains that receive no work.

        Servers of a domain that is no longer drained become cold for the time that
        `cold_s_by_service` gives their service, in seconds.
        """
        domains = frozenset(domains)
        restored = self.drained_domains - domains
        self.drained_domains = domains
        self._usable_by_service = None
        for server in self.server_by_id.values():
            if server.domain not in restored:
                continue
            cold_s = cold_s_by_service.get(server.service, 0.0)
            if cold_s > 0:
                self.mark_cold(server, now + cold_s)

    def mark_cold(self, server: Server, until: float) -> None:
        """Treat a server as cold until a boot time, in seconds; never shortens it."""
        current = self._cold_until_by_key.get(server.key, 0.0)
        self._cold_until_by_key[server.key] = max(current, until)

    def is_cold(self, server: Server, now: float) -> bool:
        """Whether a server is treated as cold."""
        return self._cold_until_by_key.get(server.key, 0.0) > now

    def is_warm(self, server: Server, now: float) -> bool:
        """Whether a server has been known for so long that it is as fast as it gets."""
        known_since = self._known_since_by_key.get(server.key, now)
        return now - known_since >= WARM_UP_S and not self.is_cold(server, now)

    def mark_leaving(self, server: Server, now: float) -> bool:
        """Record that an incarnation said that it leaves; return whether it is news."""
        if server.key in self._leaving_since_by_key:
            return False
        self._leaving_since_by_key[server.key] = now
        self._usable_by_service = None
        return True

    def pause(self, server: Server, until: float) -> None:
        """Send an incarnation nothing until a boot time, in seconds; never shortens."""
        current = self._paused_until_by_key.get(server.key, 0.0)
        self._paused_until_by_key[server.key] = max(current, until)

    def pause_left_s(self, server: Server, now: float) -> float:
        """Return the time in which a server is to get no requests, in seconds."""
        until = max(
            self._paused_until_by_key.get(server.key, 0.0),
            self._limited_until_by_key.get(server.key, 0.0),
        )
        return max(0.0, until - now)

    def is_paused(self, server: Server, now: float) -> bool:
        """Whether an incarnation is to get no requests, its limits apart."""
        return self._paused_until_by_key.get(server.key, 0.0) > now

    def pause_for_limit(self, server: Server, until: float) -> None:
        """Send an incarnation nothing until a boot time, as its limit is reached."""
        self._limited_until_by_key[server.key] = until

    def end_limit_pause(self, key: ServerKey) -> None:
        """End the pause of an incarnation whose limit has changed."""
        self._limited_until_by_key.pop(key, None)

    def is_usable(self, server: Server) -> bool:
        """Whether this incarnation may receive new work now, unless it is paused."""
        current = self.server_by_id.get(server.server_id)
        return (
            current is not None
            and current.key == server.key
            and self._accepts_work(current)
        )

    def list_usable(self, service: str) -> list[Server]:
        """Return the servers of a service that may receive new work, sorted by id.

        Servers that are paused are among them.
        """
        if self._usable_by_service is None:
            self._usable_by_service = self._list_all_usable()
        return list(self._usable_by_service.get(service, ()))

    def _list_all_usable(self) -> dict[str, list[Server]]:
        usable_by_service: dict[str, list[Server]] = {}
        for _, server in sorted(self.server_by_id.items()):
            if self._accepts_work(server):
                usable_by_service.setdefault(server.service, []).append(server)
        return usable_by_service

    def _accepts_work(self, server: Server) -> bool:
        return (
            not server.is_draining
            and server.key not in self._leaving_since_by_key
            and server.domain not in self.drained_domains
            and not self.version_shares.excludes(server)
        )


__all__ = ("Server", "ServerDirectory")
