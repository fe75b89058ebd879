"""Saves the software versions of streams and services, to outlast all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec
from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.foreign_values import UNREADABLE_ERRORS
from persimmonlink_router.keepers import choose_keepers
from persimmonlink_router.store import LeaseExpiredError, StoreUnavailableError
from persimmonlink_router.store_intervals import (
    choose_echo_time_s,
    choose_watch_pause_s,
)
from persimmonlink_router.stream_versions import RECORD_LIFETIME_S

if TYPE_CHECKING:
    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.store import MetadataStore, StoredItem
    from persimmonlink_router.store_mirror import StoreMirror
    from persimmonlink_router.stream_versions import StreamVersions

STREAM_PREFIX = "persimmonlink/stream-versions/"  # Keys of the versions of streams.
SERVICE_PREFIX = "persimmonlink/service-versions/"  # Keys of those of services.
# Members that save: the first, and one that saves what the first leaves unsaved.
SAVERS = 2
MAX_SAVED_AT_ONCE = 8000  # Streams in one value of the store.
# Characters of their ids in one value of the store, which takes a megabyte; a character
# takes two bytes at most.
MAX_SAVED_CHARS = 400000
ID_OVERHEAD_CHARS = 3  # Quotes and comma.
# Streams that are saved at a time, which all nodes keep in memory.
MAX_SAVED_STREAMS = 20000
REFRESH_INTERVAL_S = 180.0  # Interval of saving unchanged versions of services.
LEASE_REUSE_S = 15.0  # Time in which values are written under the same lease.
# Values outlast the records by the time in which their lease is reused.
LEASE_TTL_S = RECORD_LIFETIME_S + REFRESH_INTERVAL_S + LEASE_REUSE_S
RETRY_INTERVAL_S = 1.0  # Pause after a failed write.


class MemberDirectory(Protocol):
    """Members of the cluster, and this node."""

    @property
    def own_member(self) -> Member:
        """Member record of this node."""
        ...

    def list_serving_members(self) -> list[Member]:
        """Return the members that serve, sorted by id."""
        ...

    def peak_node_count(self) -> int:
        """Return the recent peak of live nodes."""
        ...


class SavedStreamVersions(msgspec.Struct):
    """Requests by the software version to which they were sent."""

    request_ids_by_version: dict[str, list[str]]


class SavedServiceVersions(msgspec.Struct):
    """Software versions of each service, with the time since they left in seconds."""

    age_s_by_version_by_service: dict[str, dict[str, float]]


class StreamVersionSaver:
    """Writes to the store what a resumed stream needs after the loss of all nodes.

    That is which versions serve, and while a service has several, which of them began
    each stream. The values are read by all nodes that follow the store.

    Parameters
    ----------
    members : MemberDirectory
        Members of the cluster; a few of them save.
    cluster_view : ClusterView
        Known servers and their versions.
    versions : StreamVersions
        Versions of streams that this node keeps.
    mirror : StoreMirror
        Local copy of the store.
    store : MetadataStore
        Store that keeps them.
    metrics : RouterMetrics
        Counts the streams saved.
    """

    def __init__(
        self,
        members: MemberDirectory,
        cluster_view: ClusterView,
        versions: StreamVersions,
        mirror: StoreMirror,
        store: MetadataStore,
        metrics: RouterMetrics,
    ) -> None:
        self._members = members
        self._cluster_view = cluster_view
        self._versions = versions
        self._mirror = mirror
        self._store = store
        self._metrics = metrics
        self._task: asyncio.Task[None] | None = None
        self._next_check_at = 0.0
        self._lease = 0
        self._lease_granted_at = 0.0
        self._sequence = 0
        self._saved_services: dict[str, list[str]] = {}
        self._saved_services_at = 0.0
        self._changed_services: dict[str, list[str]] = {}
        self._services_changed_at = 0.0

    @property
    def rank(self) -> int | None:
        """Position of this node among the savers, or None if it is none of them.

        A node is none before it has read its own registration back: until then it may
        not know those that registered before it, and all nodes that start together
        would take themselves for the first saver.
        """
        seniority = getattr(self._members.own_member, "seniority", 0)
        if not seniority or self._mirror.revision < seniority:
            return None
        members = self._members.list_serving_members()
        savers = choose_keepers(members, 1, SAVERS)[:SAVERS]
        for position, member in enumerate(savers):
            if member.node_id == self._members.own_member.node_id:
                return position
        return None

    def tick(self) -> None:
        """Save what is not saved yet, unless that is being done."""
        now = boot_time()
        is_saving = self._task is not None and not self._task.done()
        if is_saving or now < self._next_check_at:
            return
        if not self._cluster_view.is_in_contact:
            # The follower alone tries until the store answers again.
            return
        # Each write ends the watches that wait, so there is one in their pause at most.
        nodes = self._members.peak_node_count()
        self._next_check_at = now + choose_watch_pause_s(nodes)
        rank = self.rank
        if rank is None:
            return
        delay_s = rank * choose_echo_time_s(nodes)
        ages = self._list_version_ages(now)
        if not ages:
            return
        unsaved: dict[str, str] = {}
        if any(len(age_s_by_version) > 1 for age_s_by_version in ages.values()):
            unsaved = self._list_unsaved(now - delay_s)
        names = _list_names(ages)
        are_services_due = self._are_services_due(names, delay_s, now)
        if not are_services_due and not unsaved:
            return
        if not are_services_due:
            ages = {}
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._save(ages, names, unsaved))

    def _list_unsaved(self, recorded_before: float) -> dict[str, str]:
        """Return the latest versions that the store lacks, as many as there is room."""
        room = MAX_SAVED_STREAMS - self._versions.count_saved()
        self._metrics.set_gauge("stream_versions_without_room", int(room <= 0))
        if room <= 0:
            return {}
        limit = min(room, MAX_SAVED_AT_ONCE)
        unsaved = self._versions.list_unsaved(recorded_before, limit)
        return _take_that_fit(unsaved)

    def _are_services_due(
        self, names: dict[str, list[str]], delay_s: float, now: float
    ) -> bool:
        """Whether this node is to save the versions of the services."""
        if names != self._changed_services:
            self._changed_services = names
            self._services_changed_at = now
        if names != self._saved_services:
            return now - self._services_changed_at >= delay_s
        return now - self._saved_services_at >= REFRESH_INTERVAL_S + delay_s

    def apply_store_item(self, item: StoredItem) -> None:
        """Apply what a node has saved."""
        if item.value is None:
            return
        now = boot_time()
        try:
            if item.key.startswith(STREAM_PREFIX):
                streams = msgspec.json.decode(item.value, type=SavedStreamVersions)
                self._apply_streams(streams, item.revision, now)
                return
            services = msgspec.json.decode(item.value, type=SavedServiceVersions)
        except UNREADABLE_ERRORS as error:
            logger.bind(key=item.key, error=str(error)).warning("store.entry_invalid")
            return
        ages = services.age_s_by_version_by_service
        if self._is_from_serving_member(item.key):
            # That member saves them again in time.
            self._saved_services = _list_names(ages)
            self._saved_services_at = now
        directory = self._cluster_view.servers
        for service, age_s_by_version in ages.items():
            for version, age_s in age_s_by_version.items():
                directory.record_served_until(service, version, now - max(0.0, age_s))

    def _is_from_serving_member(self, key: str) -> bool:
        node_id = key.removeprefix(SERVICE_PREFIX)
        serving = self._members.list_serving_members()
        return any(member.node_id == node_id for member in serving)

    def _apply_streams(
        self, streams: SavedStreamVersions, revision: int, now: float
    ) -> None:
        for version, request_ids in streams.request_ids_by_version.items():
            for request_id in request_ids:
                self._versions.record_saved(request_id, version, revision, now)

    def _list_version_ages(self, now: float) -> dict[str, dict[str, float]]:
        """Return the versions of services whose streams may be resumed."""
        configuration = self._cluster_view.configuration
        if configuration is None:
            return {}
        services = {
            target.service
            for route in configuration.routes
            if route.is_resumable
            for target in route.targets
        }
        ages = {}
        for service in sorted(services):
            age_s_by_version = self._cluster_view.servers.list_version_ages(
                service, now
            )
            if age_s_by_version:
                ages[service] = age_s_by_version
        return ages

    async def _save(
        self,
        ages: dict[str, dict[str, float]],
        names: dict[str, list[str]],
        unsaved: dict[str, str],
    ) -> None:
        node_id = self._members.own_member.node_id
        try:
            await self._renew_lease()
            if ages:
                services = SavedServiceVersions(ages)
                await self._write(f"{SERVICE_PREFIX}{node_id}", services)
                self._saved_services = names
                self._saved_services_at = boot_time()
                logger.bind(versions=names).info("service.versions_saved")
            if unsaved:
                self._sequence += 1
                streams = SavedStreamVersions(_group_by_version(unsaved))
                await self._write(f"{STREAM_PREFIX}{node_id}-{self._sequence}", streams)
                self._versions.mark_saved(unsaved)
                self._metrics.count("saved_stream_versions_total", amount=len(unsaved))
        except (StoreUnavailableError, LeaseExpiredError) as error:
            self._lease = 0
            self._next_check_at = boot_time() + RETRY_INTERVAL_S
            logger.bind(streams=len(unsaved), error=str(error)).info(
                "stream.versions_not_saved"
            )

    async def _renew_lease(self) -> None:
        """Take a new lease if the last one is too old to write under it."""
        now = boot_time()
        if self._lease and now - self._lease_granted_at < LEASE_REUSE_S:
            return
        self._lease = await self._store.grant_lease(LEASE_TTL_S)
        self._lease_granted_at = now

    async def _write(
        self, key: str, value: SavedStreamVersions | SavedServiceVersions
    ) -> None:
        await self._store.put_with_lease(key, msgspec.json.encode(value), self._lease)


def _list_names(ages: dict[str, dict[str, float]]) -> dict[str, list[str]]:
    """Return the versions of each service, sorted."""
    return {service: sorted(by_version) for service, by_version in ages.items()}


def _take_that_fit(version_by_request_id: dict[str, str]) -> dict[str, str]:
    """Return the first requests whose ids fit into a value; clients choose them."""
    fitting: dict[str, str] = {}
    chars_left = MAX_SAVED_CHARS
    for request_id, version in version_by_request_id.items():
        chars_left -= len(request_id) + ID_OVERHEAD_CHARS
        if chars_left < 0:
            break
        fitting[request_id] = version
    return fitting


def _group_by_version(version_by_request_id: dict[str, str]) -> dict[str, list[str]]:
    grouped: dict[str, list[str]] = {}
    for request_id, version in version_by_request_id.items():
        grouped.setdefault(version, []).append(request_id)
    return grouped


def is_saved_version(key: str) -> bool:
    """Whether a key of the store is one that `StreamVersionSaver` reads."""
    return key.startswith((STREAM_PREFIX, SERVICE_PREFIX))


__all__ = ("StreamVersionSaver", "is_saved_version")
