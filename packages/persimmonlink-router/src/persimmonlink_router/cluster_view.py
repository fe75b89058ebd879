"""A node's view of configuration, servers and drains, and how recent it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.change_origin import UNKNOWN_ORIGIN, ChangeOrigin
from persimmonlink_router.entry_numbers import EntryNumbers
from persimmonlink_router.rollouts.rollout_book import RolloutBook
from persimmonlink_router.rollouts.rollout_records import RolloutOrderEntry
from persimmonlink_router.send_basis import SendBasis
from persimmonlink_router.servers import Server, ServerDirectory
from persimmonlink_router.store_contact import OUTAGE_EXPIRY_GRACE_S, StoreContact
from persimmonlink_router.store_entries import DrainEntry, EntryReader, ServerEntry
from persimmonlink_router.wire_messages import WireFormatError

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.configuration import Configuration, Service
    from persimmonlink_router.store import StoredItem
    from persimmonlink_router.wire_messages import ResponseInfo

# Longest time from the start of a server, or its first answer, to its entry's write.
REGISTRATION_DELAY_S = 1.0
SUSPENSION_GAP_S = 0.8  # Gap between ticks that reveals a suspended VM.
# Longest wait for a refresh after a suspension; peers expect the node back in 3 s.
REFRESH_WAIT_S = 2.5


class ClusterView:
    """Configuration, servers and drains as last read from the store or a peer.

    Parameters
    ----------
    reader : EntryReader
        Translates the entries of the store.
    on_change : callable
        Called without arguments after each entry that the reader translates, and after
        the removal of a server whose entry expired in an outage.
    """

    def __init__(self, reader: EntryReader, on_change: Callable[[], None]) -> None:
        self._reader = reader
        self._on_change = on_change
        # Called with a server that is new, or has started again, and the boot time from
        # which it may have run, in seconds.
        self.on_start: Callable[[Server, float], None] = lambda server, since: None
        self.configuration: Configuration | None = None
        self.servers = ServerDirectory()
        self.rollouts = RolloutBook(self.servers)
        self._contact = StoreContact()
        self._entry_numbers = EntryNumbers()
        self._last_tick_at = boot_time()
        self._stale_until = 0.0
        self._drained_domains: set[str] = set()
        self._drain_end_at_by_domain: dict[str, float] = {}
        self._on_store_return: Callable[[], None] = lambda: None

    def apply(self, item: StoredItem, origin: ChangeOrigin = UNKNOWN_ORIGIN) -> None:
        """Apply a change of an item of the store; malformed items are logged."""
        try:
            entry = self._reader.read(item)
        except WireFormatError as error:
            logger.bind(key=item.key, revision=item.revision, error=str(error)).warning(
                "store.entry_invalid"
            )
            return
        if isinstance(entry, ServerEntry):
            self._apply_server(entry, item.revision, origin)
        elif isinstance(entry, DrainEntry):
            self._apply_drain(entry, item.revision, origin)
        elif isinstance(entry, RolloutOrderEntry):
            self.rollouts.apply_order(
                entry.service, entry.order, item.revision, boot_time()
            )
        elif entry is not None:
            self._apply_configuration(entry, item.revision, origin)
        else:
            return
        self._on_change()

    def record_contact(self, now: float) -> None:
        """Record that the store answered this node."""
        self._stale_until = 0.0
        if self._contact.record_contact(now):
            self._on_store_return()

    def record_store_return(self, at: float) -> bool:
        """Record that a peer had the store again at a boot time, after an outage.

        Return whether this node knows from it that the store was back earlier.
        """
        if not self._contact.record_return(at):
            return False
        self._end_grace_sooner()
        return True

    def record_served_peer(self, served_at: float, steady_since: float) -> None:
        """Record that the store served a peer, and since when without an outage."""
        if self._contact.record_served_peer(served_at, steady_since):
            self._end_grace_sooner()

    def _end_grace_sooner(self) -> None:
        returned_at = self._contact.find_return()
        if returned_at is None:
            return
        ends_at = returned_at + OUTAGE_EXPIRY_GRACE_S
        self.servers.hasten_removals(ends_at)
        for domain, drain_ends_at in self._drain_end_at_by_domain.items():
            self._drain_end_at_by_domain[domain] = min(drain_ends_at, ends_at)

    def find_store_return(self) -> float | None:
        """Return when the store was back after its last outage, None if unknown."""
        return self._contact.find_return()

    def subscribe_to_store_returns(self, on_return: Callable[[], None]) -> None:
        """Have a function called at the end of an outage that no peer told of."""
        self._on_store_return = on_return

    def record_restore(self, now: float) -> None:
        """Record that the store returned from an older copy."""
        self._contact.record_restore(now)

    def mark_refreshed_by_peer(self) -> None:
        """Record that a peer in contact with the store has refreshed the view."""
        self._stale_until = 0.0

    def record_contact_doubt(self, now: float, reason: str) -> None:
        """Record that the store may not answer this node."""
        self._contact.record_doubt(now, reason)

    def record_contact_loss(
        self, now: float, reason: str, since: float | None = None
    ) -> None:
        """Record that the store did not answer this node, since `since` if given."""
        self._contact.record_loss(now, reason, now if since is None else since)

    @property
    def is_in_contact(self) -> bool:
        """Whether the store answers this node."""
        return self._contact.is_in_contact

    def find_steady_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage, in seconds."""
        return self._contact.find_steady_s(now)

    @property
    def last_contact_at(self) -> float:
        """Boot time of the store's last answer, in seconds; 0 for none."""
        return self._contact.last_contact_at

    def tick(self, now: float) -> bool:
        """Remove expired servers; return whether the node was suspended meanwhile."""
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        was_suspended = gap_s > SUSPENSION_GAP_S
        if was_suspended:
            self._stale_until = now + REFRESH_WAIT_S
            logger.bind(gap_s=round(gap_s, 2)).warning("process.suspended")
        for server_id in self.servers.remove_expired(now):
            logger.bind(server=server_id, cause="lapsed").info("server.removed")
            self._on_change()
        self._end_lapsed_drains(now)
        return was_suspended

    def is_fresh(self) -> bool:
        """Whether the view is recent enough to act on, after a possible suspension."""
        now = boot_time()
        return now - self._last_tick_at < SUSPENSION_GAP_S and now >= self._stale_until

    def may_send(self, server: Server) -> bool:
        """Whether a server may get a request now that its limits have permitted.

        That another request was refused since then doesn't take the permit back.
        """
        if self.servers.is_paused(server, boot_time()):
            return False
        return self.is_fresh() and self.servers.is_usable(server)

    def describe_send(self, server: Server) -> SendBasis:
        """Return what this node knows of a server that it sends work to now."""
        now = boot_time()
        last = self._entry_numbers.find(server.key)
        return SendBasis(
            now,
            0 if last is None else last.revision,
            None if last is None else now - last.seen_at,
            now - self.last_contact_at,
        )

    def apply_response(self, server: Server, info: ResponseInfo) -> None:
        """Apply what a server says of itself in a response."""
        if info.is_other_server:
            return
        now = boot_time()
        if info.is_server_leaving and self.servers.mark_leaving(server, now):
            logger.bind(server=server.server_id, service=server.service).info(
                "server.leaving"
            )
        if info.pause_s > 0:
            self.servers.pause(server, now + info.pause_s)
            logger.bind(server=server.server_id, pause_s=info.pause_s).info(
                "server.paused"
            )

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force, or None."""
        if self.configuration is None:
            return None
        return self.configuration.service_by_name.get(name)

    def _apply_configuration(
        self, entry: Configuration, revision: int, origin: ChangeOrigin
    ) -> None:
        current = self.configuration
        if current is not None and entry.version <= current.version:
            return
        self.configuration = entry
        logger.bind(version=entry.version, revision=revision, **origin.describe()).info(
            "configuration.applied"
        )

    def _apply_server(
        self, entry: ServerEntry, revision: int, origin: ChangeOrigin
    ) -> None:
        if entry.server is None:
            self._apply_removal(entry.server_id, revision, origin)
        else:
            self._apply_update(entry.server, entry.number, revision, origin)

    def _apply_update(
        self, server: Server, number: int, revision: int, origin: ChangeOrigin
    ) -> None:
        now = boot_time()
        log = logger.bind(
            server=server.server_id, revision=revision, **origin.describe()
        )
        if self._entry_numbers.is_outdated(
            server.key, number, self._contact.restored_at
        ):
            log.info("server.outdated_entry_ignored")
            return
        self._entry_numbers.record(server.key, number, now, revision)
        known = self.servers.server_by_id.get(server.server_id)
        if not self.servers.update(server, now):
            return
        if known is None or known.key != server.key:
            delay_s = origin.max_delay_s
            if delay_s is None:
                delay_s = now - self.last_contact_at
            self.on_start(server, now - delay_s - REGISTRATION_DELAY_S)
        if (
            known is not None
            and known.key == server.key
            and known.is_draining == server.is_draining
        ):
            return
        log.bind(
            service=server.service,
            server_version=server.software_version,
            draining=server.is_draining,
            cold_left_s=server.cold_left_s,
        ).info("server.updated")

    def _apply_removal(
        self, server_id: str, revision: int, origin: ChangeOrigin
    ) -> None:
        known = self.servers.server_by_id.get(server_id)
        if known is None:
            return
        now = boot_time()
        log = logger.bind(server=server_id, revision=revision, **origin.describe())
        lapse_end_at = self._contact.find_lapse_end(now)
        is_final = known.is_draining or origin.is_settled
        if lapse_end_at is not None and not is_final:
            self.servers.schedule_removal(server_id, lapse_end_at)
            log.bind(for_s=round(lapse_end_at - now, 2)).info("server.removal_deferred")
            return
        self.servers.remove(server_id, now)
        self._entry_numbers.record_removal(known.key, now)
        log.bind(cause="removed").info("server.removed")

    def _apply_drain(
        self, entry: DrainEntry, revision: int, origin: ChangeOrigin
    ) -> None:
        now = boot_time()
        self._drain_end_at_by_domain.pop(entry.domain, None)
        grace_end_at = self._contact.find_grace_end(now)
        if entry.is_drained:
            self._drained_domains.add(entry.domain)
        elif grace_end_at is not None:
            self._drain_end_at_by_domain[entry.domain] = grace_end_at
            return
        else:
            self._drained_domains.discard(entry.domain)
        self._set_drained_domains()
        logger.bind(
            domain=entry.domain,
            drained=entry.is_drained,
            revision=revision,
            **origin.describe(),
        ).info("drain.changed")

    def _end_lapsed_drains(self, now: float) -> None:
        """End the drains that were not written again after the store returned."""
        for domain, ends_at in list(self._drain_end_at_by_domain.items()):
            if ends_at > now:
                continue
            del self._drain_end_at_by_domain[domain]
            self._drained_domains.discard(domain)
            self._set_drained_domains()
            logger.bind(domain=domain, drained=False, cause="lapsed").info(
                "drain.changed"
            )

    def _set_drained_domains(self) -> None:
        cold_s: dict[str, float] = {}
        if self.configuration is not None:
            for service in self.configuration.service_by_name.values():
                cold_s[service.name] = service.cold_start_s
        self.servers.set_drained_domains(self._drained_domains, boot_time(), cold_s)


__all__ = (
    "OUTAGE_EXPIRY_GRACE_S",
    "ClusterView",
    "DrainEntry",
    "EntryReader",
    "ServerEntry",
)
