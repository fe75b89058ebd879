"""Exchange of store changes between nodes, for those that the store doesn't answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.change_origin import ChangeOrigin, ChangeSource
from persimmonlink_router.peer_messages import (
    MirroredItem,
    MirrorPull,
    MirrorUpdate,
)
from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_contact import OUTAGE_EXPIRY_GRACE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_peers.message import Sender
    from persimmonlink_peers.peer_channel import PeerChannel
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.peer_messages import RouterHeartbeat
    from persimmonlink_router.store_mirror import StoreMirror

PULL_TIMEOUT_S = 1.0  # Deadline of a pull of store changes from a peer.


class MirrorExchange:
    """Serves this node's copy of the store to peers, and updates it from theirs.

    Parameters
    ----------
    cluster_view : ClusterView
        Says whether the store is reachable and records refreshes by peers.
    mirror : StoreMirror
        Local copy of the store.
    get_sender : callable
        Returns the identity of this node in its messages.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        mirror: StoreMirror,
        get_sender: Callable[[], Sender],
    ) -> None:
        self._cluster_view = cluster_view
        self._mirror = mirror
        self._get_sender = get_sender

    async def handle_pull(self, message: MirrorPull) -> MirrorUpdate:
        """Return the store changes after the revision that a peer has.

        These are all items if the deletions after it are not known.
        """
        is_whole = not self._mirror.knows_deletions_since(message.revision)
        items = tuple(
            MirroredItem(i.key, i.value, i.revision)
            for i in self._mirror.list_since(0 if is_whole else message.revision)
        )
        return MirrorUpdate(
            items,
            self._mirror.revision,
            self._cluster_view.is_in_contact,
            self._cluster_view.find_steady_s(boot_time()),
            is_whole,
        )

    async def pull_if_behind(
        self, channel: PeerChannel, heartbeat: RouterHeartbeat
    ) -> None:
        """Get what a peer has of the store and this node lacks, without the store."""
        if self._cluster_view.is_in_contact and self._cluster_view.is_fresh():
            return
        # A peer that lost the store during its first read has a partial copy at
        # revision 0, which may still hold the configuration that this node lacks.
        lacks_configuration = (
            self._cluster_view.configuration is None and heartbeat.member.revision
        )
        is_peer_ahead = heartbeat.revision > self._mirror.revision or bool(
            lacks_configuration
        )
        if not is_peer_ahead and not heartbeat.is_in_contact:
            return
        if not is_peer_ahead:
            self._cluster_view.mark_refreshed_by_peer()
            return
        pull = MirrorPull(self._get_sender(), self._mirror.revision)
        reply = await channel.call(pull, MirrorUpdate, PULL_TIMEOUT_S)
        if isinstance(reply, Err):
            return
        update = reply.unwrap()
        origin = ChangeOrigin(
            ChangeSource.PEER,
            member=heartbeat.member.node_id,
            is_settled=update.steady_s >= OUTAGE_EXPIRY_GRACE_S,
        )
        items = [StoredItem(i.key, i.value, i.revision) for i in update.items]
        count = await self._mirror.apply_in_turns(items, origin)
        if update.is_whole:
            self._mirror.apply_listing("", items, update.revision, origin)
        self._mirror.advance(update.revision)
        if update.is_in_contact:
            self._cluster_view.mark_refreshed_by_peer()
        logger.bind(
            member=heartbeat.member.node_id, revision=update.revision, changes=count
        ).info("store.synced_from_peer")


__all__ = ("MirrorExchange",)
