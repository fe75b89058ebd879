"""Exchange of stream versions between nodes, so that any node can resume a stream."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.keepers import choose_keepers
from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.stream_sends import StreamSend, StreamSends
from persimmonlink_router.stream_version_messages import (
    FindStreamVersion,
    FoundStreamVersion,
    RecordStreamVersions,
)
from persimmonlink_router.stream_versions import (
    UNCERTAIN_VERSION,
    FoundVersion,
    VersionSource,
)
from persimmonlink_router.version_search import VersionSearch

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.servers import Server
    from persimmonlink_router.store_mirror import StoreMirror
    from persimmonlink_router.stream_versions import StreamVersions
    from persimmonlink_router.view_confirmer import ViewConfirmer

RECORD_TIMEOUT_S = 0.5  # Timeout of a message that records versions at a peer.
RECORD_RETRY_PAUSE_S = 0.5  # Pause before records that a peer did not take go again.
FIND_TIMEOUT_S = 0.25  # Timeout of a message that asks a peer for a version.
# Members that keep the records at least, also where there is only one failure domain.
MIN_KEEPERS = 2
MAX_RECORDS_PER_MESSAGE = 2000
# Records that a member gets from all nodes together as it becomes a keeper.
MAX_RESENT = 32000
# Members of each failure domain that are asked if the first ones don't know a version:
# the first one may have changed since the stream began.
MAX_ASKED_PER_DOMAIN = 3
# Nodes up to which all are asked for a version while the store gives no answer.
MAX_ASKED_WITHOUT_STORE = 64


class StreamVersionExchange:
    """Records the version of each stream at several nodes, and finds it again.

    One member of each failure domain, the same for all streams, keeps a copy of each
    record, so that it outlives the node that served the stream and a failure domain.
    A choice by request id would open channels between all pairs of nodes.

    Parameters
    ----------
    membership : ClusterMembership
        Membership and channels to the peers.
    cluster_view : ClusterView
        Known servers and their versions.
    versions : StreamVersions
        Records that this node keeps.
    mirror : StoreMirror
        Local copy of the store.
    view_confirmer : ViewConfirmer
        Reads what the store has at a moment.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        cluster_view: ClusterView,
        versions: StreamVersions,
        mirror: StoreMirror,
        view_confirmer: ViewConfirmer,
    ) -> None:
        self._mirror = mirror
        self._view_confirmer = view_confirmer
        self._membership = membership
        self._cluster_view = cluster_view
        self._versions = versions
        self._sends = StreamSends()
        self._keeper_ids: set[str] = set()
        self._unsent_by_node_id: dict[str, dict[str, str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_unsent(self) -> bool:
        """Whether records are being sent to the members that keep them."""
        return bool(self._tasks)

    def record_send(self, request_id: str, server: Server) -> None:
        """Record the version to which a request is sent, here and at the keepers."""
        self._sends.record(StreamSend(request_id, server, boot_time()))
        self._record(request_id, server.software_version)

    def handle_restart(self, server: Server, since: float) -> None:
        """Doubt the versions of streams that were sent to a server before it was known.

        Parameters
        ----------
        server : Server
            The server as the store has it now.
        since : float
            Boot time from which it may have been so, in seconds.
        """
        for send in self._sends.list_doubtful(server, since):
            version = send.server.software_version
            if self._versions.find(send.request_id) == version:
                self._record(send.request_id, UNCERTAIN_VERSION)

    def is_uncertain(self, request_id: str) -> bool:
        """Whether a stream may have begun at another version than was recorded."""
        return self._versions.find(request_id) == UNCERTAIN_VERSION

    def _record(self, request_id: str, version: str) -> None:
        self._versions.record(request_id, version, boot_time())
        for member in self._list_keepers():
            self._queue(member, {request_id: version})

    def forget(self, request_id: str) -> None:
        """Leave the record of a request to the node that goes on with it.

        That may send it to another version.
        """
        self._versions.forget(request_id)
        for unsent in self._unsent_by_node_id.values():
            unsent.pop(request_id, None)

    def sweep(self) -> None:
        """Give members that have become keepers what the others may have had alone."""
        self._sends.discard_expired(boot_time())
        keepers = self._list_keepers()
        added = [m for m in keepers if m.node_id not in self._keeper_ids]
        self._keeper_ids = {member.node_id for member in keepers}
        if not added:
            return
        nodes = self._membership.peak_node_count()
        unsaved = self._versions.list_unsaved(boot_time(), MAX_RESENT // nodes)
        if not unsaved:
            return
        for member in added:
            self._queue(member, unsaved)

    def _list_keepers(self) -> list[Member]:
        """Return the other members that keep the records of this node."""
        serving = self._membership.list_serving_members()
        own_id = self._membership.own_member.node_id
        keepers = choose_keepers(serving, 1, MIN_KEEPERS)
        return [member for member in keepers if member.node_id != own_id]

    def _queue(self, member: Member, version_by_request_id: dict[str, str]) -> None:
        """Send records to a member soon, with others that wait for the last message."""
        if member.node_id in self._unsent_by_node_id:
            self._unsent_by_node_id[member.node_id].update(version_by_request_id)
            return
        self._unsent_by_node_id[member.node_id] = dict(version_by_request_id)
        task = asyncio.get_running_loop().create_task(self._send_records(member))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def find(self, request_id: str, service: str) -> FoundVersion:
        """Return the version at which a stream has to go on, and who knew it.

        What the nodes know goes before what the store has saved, which may be older.
        A stream that neither knows goes on if only one version can have begun it.

        Parameters
        ----------
        request_id : str
            Id of the client's attempt that began the stream, empty if not stated.
        service : str
            Service that runs the stream.
        """
        known = self._versions.find(request_id)
        if known is not None:
            found = FoundVersion(known, VersionSource.NODE)
        else:
            found = await self._search(request_id, service)
        if found.version == UNCERTAIN_VERSION:
            return FoundVersion(None, VersionSource.UNKNOWN, found.answered_by)
        return found

    async def confirm_servers(self) -> None:
        """Learn the servers' versions as the store has them now, if that answers.

        A server may have started again under its id with another version.
        """
        await self._view_confirmer.confirm()

    async def _search(self, request_id: str, service: str) -> FoundVersion:
        search = VersionSearch(
            FindStreamVersion(self._membership.sender, request_id, service)
        )
        live = self._membership.list_live_members()
        first = choose_keepers(live, 1, MIN_KEEPERS)
        asked = choose_keepers(live, MAX_ASKED_PER_DOMAIN)
        for members in (first, asked):
            await self._ask(members, search)
            if search.version is not None:
                return search.build_result(VersionSource.MEMBER)
        search.version = self._versions.find_saved(request_id)
        if search.version is not None:
            return search.build_result(VersionSource.STORE)
        return await self._find_only_version(search)

    async def _find_only_version(self, search: VersionSearch) -> FoundVersion:
        """Return the only version that can have begun a stream, if it is certain.

        It is the only one that the store, as it is now, and the nodes asked know of;
        without the store, all nodes that may run must have answered. A node that is
        out of step does not know the versions of the meantime.
        """
        request_id, service = search.message.request_id, search.message.service
        is_covered = await self._view_confirmer.confirm()
        if not is_covered and self._mirror.revision > 0:
            is_covered = await self._ask_all(search)
        servers = self._cluster_view.servers
        recent = search.recent_versions
        recent.update(servers.list_recent_versions(service, boot_time()))
        source = VersionSource.UNKNOWN
        if search.version is not None:
            source = VersionSource.MEMBER
        elif is_covered and len(recent) == 1:
            source = VersionSource.ONLY_RECENT
            search.version = next(iter(recent))
        logger.bind(
            resumes=request_id,
            service=service,
            version=search.version,
            recent_versions=sorted(recent),
            covered=is_covered,
            asked=search.asked_ids,
            answered=search.answered_ids,
            in_contact=self._cluster_view.is_in_contact,
            store_age_s=round(boot_time() - self._cluster_view.last_contact_at, 2),
        ).info("stream.origin_unknown")
        return search.build_result(source)

    async def _ask_all(self, search: VersionSearch) -> bool:
        """Ask all nodes that may run; return whether all have answered."""
        members = self._membership.list_possible_members()
        if len(members) > MAX_ASKED_WITHOUT_STORE:
            return False
        await self._ask(members, search)
        own_id = self._membership.own_member.node_id
        return {member.node_id for member in members} <= {own_id, *search.answered_ids}

    async def handle_record(self, message: RecordStreamVersions) -> Acknowledgement:
        """Keep the versions that a peer sends."""
        now = boot_time()
        for request_id, version in message.version_by_request_id.items():
            self._versions.record(request_id, version, now)
        return Acknowledgement()

    async def handle_find(self, message: FindStreamVersion) -> FoundStreamVersion:
        """Tell a peer what this node knows of a stream and of the versions."""
        servers = self._cluster_view.servers
        return FoundStreamVersion(
            self._versions.find(message.request_id),
            tuple(servers.list_recent_versions(message.service, boot_time())),
        )

    async def _ask(self, members: Sequence[Member], search: VersionSearch) -> None:
        """Ask members that have not answered yet, until one knows the version."""
        skipped = {self._membership.own_member.node_id, *search.answered_ids}
        calls = []
        for member in members:
            if member.node_id in skipped:
                continue
            search.asked_ids.append(member.node_id)
            calls.append(self._ask_member(member, search.message))
        for call in asyncio.as_completed(calls):
            node_id, reply = await call
            if reply is None:
                continue
            search.answered_ids.append(node_id)
            search.recent_versions.update(reply.recent_versions)
            if reply.version is not None:
                search.version = reply.version
                return

    async def _ask_member(
        self, member: Member, message: FindStreamVersion
    ) -> tuple[str, FoundStreamVersion | None]:
        channel = self._membership.channel(member.peer_address)
        reply = await channel.call(message, FoundStreamVersion, FIND_TIMEOUT_S)
        return member.node_id, None if isinstance(reply, Err) else reply.unwrap()

    async def _send_records(self, member: Member) -> None:
        """Send the records of a member, those of the meantime in further messages.

        What it did not take is sent again, with the records of the meantime, as long as
        it is to keep them.
        """
        node_id = member.node_id
        try:
            while unsent := self._unsent_by_node_id[node_id]:
                records = dict(islice(unsent.items(), MAX_RECORDS_PER_MESSAGE))
                for request_id in records:
                    del unsent[request_id]
                message = RecordStreamVersions(self._membership.sender, records)
                channel = self._membership.channel(member.peer_address)
                reply = await channel.call(message, Acknowledgement, RECORD_TIMEOUT_S)
                if not isinstance(reply, Err):
                    continue
                # The node itself and the keepers of other domains have the records.
                logger.bind(member=node_id, requests=len(records)).info(
                    "stream.record_failed"
                )
                await asyncio.sleep(RECORD_RETRY_PAUSE_S)
                if node_id not in {keeper.node_id for keeper in self._list_keepers()}:
                    break
                self._queue_again(node_id, records)
        finally:
            del self._unsent_by_node_id[node_id]

    def _queue_again(self, node_id: str, records: dict[str, str]) -> None:
        """Send records again that still hold; what was recorded since goes before."""
        unsent = {**records, **self._unsent_by_node_id[node_id]}
        self._unsent_by_node_id[node_id] = {
            request_id: version
            for request_id, version in unsent.items()
            if self._versions.find(request_id) == version
        }


__all__ = ("StreamVersionExchange",)
