"""What a node believes: configuration, servers, and how fresh that is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.servers import Server, ServerDirectory
from persimmonlink_router.wire_messages import WireFormatError

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.configuration import Configuration, Service
    from persimmonlink_router.store import StoredItem

SUSPENSION_GAP_S = 0.8  # A gap between ticks that shows that the VM stood still.
REFRESH_WAIT_S = 2.5  # Longest wait for news after that; peers expect us back in 3 s.
OUTAGE_EXPIRY_GRACE_S = (
    2.0  # Servers whose entries ended in an outage are back within this.
)
MIN_OUTAGE_S = 0.8  # Silence of the store that may have ended leases.


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of the store that describes a server.

    Parameters
    ----------
    server_id : str
        Name of the server.
    server : Server or None
        What it says of itself; None if it is gone or can't be read.
    """

    server_id: str
    server: Server | None


@dataclass(frozen=True, slots=True)
class DrainEntry:
    """An entry of the store that takes a failure domain out, or back."""

    domain: str
    is_drained: bool


class EntryReader(Protocol):
    """Reads the entries that operators and servers write to the store."""

    prefixes: tuple[str, ...]

    def read(self, item: StoredItem) -> Configuration | ServerEntry | DrainEntry | None:
        """Read an item; raise `WireFormatError` if it is malformed."""
        ...


class ClusterView:
    """Configuration and servers, as the store and peers tell them.

    Parameters
    ----------
    reader : EntryReader
        Reads the entries.
    on_change : callable
        Called after each change.
    """

    def __init__(self, reader: EntryReader, on_change: Callable[[], None]) -> None:
        self._reader = reader
        self._on_change = on_change
        self.configuration: Configuration | None = None
        self.servers = ServerDirectory()
        self.last_contact_at = 0.0
        self._contact_lost_at: float | None = None
        self._contact_recovered_at = 0.0
        self._last_tick_at = boot_time()
        self._stale_until = 0.0
        self._drained_domains: set[str] = set()

    def apply(self, item: StoredItem) -> None:
        """Take in an item of the store."""
        try:
            entry = self._reader.read(item)
        except WireFormatError as error:
            logger.bind(key=item.key, revision=item.revision, error=str(error)).warning(
                "belief.unreadable"
            )
            return
        if isinstance(entry, ServerEntry):
            self._apply_server(entry, item.revision)
        elif isinstance(entry, DrainEntry):
            self._apply_drain(entry, item.revision)
        elif entry is not None:
            self._apply_configuration(entry, item.revision)
        else:
            return
        self._on_change()

    def record_contact(self, now: float) -> None:
        """Note that the store answered this node."""
        self.last_contact_at = now
        self._stale_until = 0.0
        if self._contact_lost_at is None:
            return
        if now - self._contact_lost_at > MIN_OUTAGE_S:
            self._contact_recovered_at = now
        logger.bind(
            dependency="store", silent_s=round(now - self._contact_lost_at, 2)
        ).info("dependency.regained")
        self._contact_lost_at = None

    def mark_refreshed_by_peer(self) -> None:
        """Note that a peer in touch with the store passed its knowledge on."""
        self._stale_until = 0.0

    def record_contact_loss(self, now: float, reason: str) -> None:
        """Note that the store did not answer this node."""
        if self._contact_lost_at is not None:
            return
        self._contact_lost_at = max(self.last_contact_at, 0.0) or now
        logger.bind(dependency="store", reason=reason).warning("dependency.lost")

    @property
    def is_in_contact(self) -> bool:
        """Whether the store answers this node."""
        return self._contact_lost_at is None and self.last_contact_at > 0

    def tick(self, now: float) -> None:
        """Note that the process runs, and drop what has lapsed."""
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s > SUSPENSION_GAP_S:
            self._stale_until = now + REFRESH_WAIT_S
            logger.bind(gap_s=round(gap_s, 2)).warning("process.stood_still")
        for server_id in self.servers.remove_expired(now):
            logger.bind(server=server_id, cause="lapsed").info("belief.server_gone")
            self._on_change()

    def is_fresh(self) -> bool:
        """Whether beliefs are recent enough to act on, after a suspension."""
        now = boot_time()
        return now - self._last_tick_at < SUSPENSION_GAP_S and now >= self._stale_until

    def may_send(self, server: Server) -> bool:
        """Whether a server may get new work at this moment."""
        return self.is_fresh() and self.servers.is_usable(server)

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        if self.configuration is None:
            return None
        return self.configuration.service_by_name.get(name)

    def _apply_configuration(self, entry: Configuration, revision: int) -> None:
        current = self.configuration
        if current is not None and entry.version <= current.version:
            return
        self.configuration = entry
        logger.bind(version=entry.version, revision=revision).info(
            "belief.configuration"
        )

    def _apply_server(self, entry: ServerEntry, revision: int) -> None:
        now = boot_time()
        if entry.server is not None:
            known = self.servers.server_by_id.get(entry.server_id)
            if not self.servers.update(entry.server, now):
                return
            if (
                known is not None
                and known.key == entry.server.key
                and known.is_draining == entry.server.is_draining
            ):
                return
            logger.bind(
                server=entry.server_id,
                service=entry.server.service,
                draining=entry.server.is_draining,
                cold_left_s=entry.server.cold_left_s,
                revision=revision,
            ).info("belief.server")
            return
        known = self.servers.server_by_id.get(entry.server_id)
        if known is None:
            return
        is_outage = self._contact_lost_at is not None
        is_after_outage = now - self._contact_recovered_at < OUTAGE_EXPIRY_GRACE_S
        if (is_outage or is_after_outage) and not known.is_draining:
            until = (
                now if is_outage else self._contact_recovered_at
            ) + OUTAGE_EXPIRY_GRACE_S
            self.servers.schedule_removal(entry.server_id, until)
            return
        self.servers.remove(entry.server_id)
        logger.bind(server=entry.server_id, revision=revision, cause="removed").info(
            "belief.server_gone"
        )

    def _apply_drain(self, entry: DrainEntry, revision: int) -> None:
        if entry.is_drained:
            self._drained_domains.add(entry.domain)
        else:
            self._drained_domains.discard(entry.domain)
        cold_s: dict[str, float] = {}
        if self.configuration is not None:
            for service in self.configuration.service_by_name.values():
                cold_s[service.name] = service.cold_start_s
        self.servers.set_drained_domains(self._drained_domains, boot_time(), cold_s)
        logger.bind(
            domain=entry.domain, drained=entry.is_drained, revision=revision
        ).info("belief.drain")


__all__ = ("ClusterView", "DrainEntry", "EntryReader", "ServerEntry")
