"""The other nodes: heartbeats, who lives, and what they know of the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.heartbeat_ring import list_successors
from persimmonlink_model.membership import Member, MemberReport, Membership
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.member_registry import MemberRegistry
from persimmonlink_router.peer_loads import PeerLoads
from persimmonlink_router.peer_messages import (
    EngineLoad,
    MirroredItem,
    MirrorPull,
    MirrorUpdate,
    RouterHeartbeat,
    RouterMember,
)
from persimmonlink_router.store import StoredItem

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.store_mirror import StoreMirror

UNKNOWN_SENIORITY = 1 << 62  # A member that has not named itself in the store yet.
MEMBER_PREFIX = "persimmonlink/nodes/"  # Keys under which nodes name themselves.
HEARTBEAT_INTERVAL_S = 0.4  # Two missed ones show a dead node within a second.
HEARTBEAT_TIMEOUT_S = 0.6  # Longest wait for a reply.
FAN_OUT = 6  # Successors in a small fleet: all of 13 nodes hear each other.
LARGE_CLUSTER_FAN_OUT = 4  # Successors in a large fleet.
PULL_TIMEOUT_S = 1.0  # Longest wait for a peer's knowledge of the store.
STARTUP_PERIOD_S = 10.0  # Time after the start in which peers may not be known yet.
MIN_NODES_AT_STARTUP = 6  # Nodes that bounds are split over in that time.
LOAD_VALIDITY_MARGIN_S = (
    0.5  # On top of two heartbeats, for which reported load is counted.
)
NODE_COUNT_WINDOW_S = 15.0  # Bounds are split over the most nodes seen in this time.


class ClusterMembership:
    """The members of the deployment as this node sees them.

    Parameters
    ----------
    own_member : RouterMember
        This node.
    seeds : tuple of str
        Addresses of peers to ask before any is known.
    cluster_view : ClusterView
        Whether the store answers.
    mirror : StoreMirror
        What is known of the store.
    collect_engine_loads : callable
        Returns what this node has at each server.
    """

    def __init__(
        self,
        own_member: RouterMember,
        seeds: tuple[str, ...],
        cluster_view: ClusterView,
        mirror: StoreMirror,
        collect_engine_loads: Callable[[], dict[str, EngineLoad]],
    ) -> None:
        self.own_member = own_member
        self._seeds = seeds
        self._cluster_view = cluster_view
        self._mirror = mirror
        self._collect_engine_loads = collect_engine_loads
        self.members = Membership(own_member.node_id)
        self.members.apply_direct_update(own_member, boot_time())
        self._channel_by_address: dict[str, PeerChannel] = {}
        self._missed_heartbeats_by_id: dict[str, int] = {}
        self._suspected_until_by_id: dict[str, float] = {}
        self._registry = MemberRegistry()
        self._loads = PeerLoads(2 * HEARTBEAT_INTERVAL_S + LOAD_VALIDITY_MARGIN_S)
        self._started_at = boot_time()
        self._node_counts: list[tuple[float, int]] = []

    @property
    def sender(self) -> Sender:
        """What this node's messages carry."""
        return Sender(self.own_member.node_id, self.own_member.incarnation)

    def mark_configured(self, version: int) -> None:
        """Tell peers from now on that this node can serve."""
        self.own_member = replace(self.own_member, revision=version)
        self.members.apply_direct_update(self.own_member, boot_time())

    def mark_registered(self, revision: int) -> None:
        """Tell peers since when this node has been a member."""
        if not self.own_member.seniority:
            self.own_member = replace(self.own_member, seniority=revision)
            self.members.apply_direct_update(self.own_member, boot_time())

    def mark_leaving(self) -> None:
        """Tell peers from now on that this node is leaving."""
        self.own_member = replace(self.own_member, leaving=True)
        self.members.apply_direct_update(self.own_member, boot_time())

    def channel(self, address: str) -> PeerChannel:
        """Return the channel to a peer's address."""
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = PeerChannel(address)
            self._channel_by_address[address] = channel
        return channel

    def apply_store_item(self, item: StoredItem) -> None:
        """Take in a member's entry of the store."""
        node_id = item.key.removeprefix(MEMBER_PREFIX)
        if node_id == self.own_member.node_id:
            return
        now = boot_time()
        if item.value is None:
            self._registry.remove(node_id)
            # A lease also ends where a node can't reach the store but is well.
            is_known = self.members.find(node_id) is not None
            if is_known and not self.members.is_neighbour(node_id, now):
                self.members.mark_unresponsive(node_id, now)
            return
        try:
            member = msgspec.json.decode(item.value, type=RouterMember)
        except msgspec.MsgspecError as error:
            logger.bind(key=item.key, error=str(error)).warning("belief.unreadable")
            return
        if member.peer_address == self.own_member.peer_address:
            # This node's former self, whose lease has not ended yet.
            return
        if not member.seniority:
            # It wrote this before it knew the revision.
            member = replace(member, seniority=item.revision)
        if self.members.find(node_id) is None:
            logger.bind(member=node_id, peer=member.peer_address).info("belief.member")
        self._registry.add(member)
        self.members.apply_relayed_report(MemberReport(member, 0.0), now)
        self._merge_registered_fields(node_id)
        if not self._registry.is_superseded(member):
            self._remove_superseded(member)

    def list_serving_members(self) -> list[Member]:
        """Return the live, configured members that are not leaving, by name."""
        return [
            member
            for _, member in sorted(self.members.member_by_id.items())
            if member.revision and not member.leaving and self._is_alive(member)
        ]

    def choose_coordinator(self, excluded: set[str]) -> str:
        """Return the node that coordinates, chosen alike by all nodes.

        Of those with as many processor cores as any, it is the one that has been a
        member for longest.
        """
        candidates = [
            (
                -round(getattr(member, "cores", 1.0), 1),
                getattr(member, "seniority", 0) or UNKNOWN_SENIORITY,
                member.node_id,
            )
            for member in self.list_serving_members()
            if member.node_id not in excluded
        ]
        return min(candidates, default=(0, 0, self.own_member.node_id))[2]

    def is_node_alive(self, node_id: str) -> bool:
        """Whether a member lives, as far as this node can tell."""
        member = self.members.find(node_id)
        return member is not None and self._is_alive(member)

    def peak_node_count(self) -> int:
        """Return the nodes that bounds are split over: the most seen lately."""
        now = boot_time()
        members = self.members.member_by_id.values()
        count = sum(1 for member in members if self._is_alive(member))
        self._node_counts = [
            (t, n) for t, n in self._node_counts if now - t < NODE_COUNT_WINDOW_S
        ]
        if not self._node_counts or self._node_counts[-1][1] != count:
            self._node_counts.append((now, count))
        peak = max(n for _, n in self._node_counts)
        if now - self._started_at < STARTUP_PERIOD_S:
            peak = max(peak, MIN_NODES_AT_STARTUP)
        return peak

    def sum_peer_load(self, server_id: str) -> EngineLoad:
        """Return what the other nodes have at a server, as they last said."""
        return self._loads.sum(server_id, boot_time())

    async def handle_heartbeat(self, message: RouterHeartbeat) -> RouterHeartbeat:
        """Take in a peer's heartbeat and answer with this node's."""
        self._apply_heartbeat(message)
        return self._build_heartbeat()

    async def handle_pull(self, message: MirrorPull) -> MirrorUpdate:
        """Pass on what has changed in the store after a revision."""
        items = tuple(
            MirroredItem(i.key, i.value, i.revision)
            for i in self._mirror.list_since(message.revision)
        )
        return MirrorUpdate(
            items, self._mirror.revision, self._cluster_view.is_in_contact
        )

    async def run_heartbeats(self) -> None:
        """Send heartbeats for as long as the node runs."""
        while True:
            self._expire_stale_state()
            targets = self._choose_heartbeat_targets()
            calls = [
                self._send_heartbeat(node_id, address) for node_id, address in targets
            ]
            if calls:
                await asyncio.gather(*calls)
            self.members.apply_direct_update(self.own_member, boot_time())
            scale = max(1.0, len(self.members.member_by_id) / 24)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * scale)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            channel.close()

    def _choose_heartbeat_targets(self) -> list[tuple[str, str]]:
        members = self.members.member_by_id.values()
        ids = [member.node_id for member in members if self._is_alive(member)]
        # Nodes that fell silent are asked too, so that their return is seen.
        ids += [
            node_id
            for node_id in self._missed_heartbeats_by_id
            if node_id not in ids and self._missed_heartbeats_by_id[node_id] < 40
        ]
        chosen = list_successors(
            self.own_member.node_id, ids, FAN_OUT, LARGE_CLUSTER_FAN_OUT
        )
        chosen += [
            i for i in self._missed_heartbeats_by_id if i in ids and i not in chosen
        ]
        targets = []
        for node_id in chosen:
            member = self.members.find(node_id)
            if member is not None:
                targets.append((node_id, member.peer_address))
        if len(targets) >= 2:
            return targets
        known = {address for _, address in targets} | {self.own_member.peer_address}
        return targets + [("", s) for s in self._seeds if s not in known]

    async def _send_heartbeat(self, node_id: str, address: str) -> None:
        channel = self.channel(address)
        reply = await channel.call(
            self._build_heartbeat(), RouterHeartbeat, HEARTBEAT_TIMEOUT_S
        )
        if isinstance(reply, Err):
            if node_id:
                self._record_missed_heartbeat(node_id)
            return
        heartbeat = reply.unwrap()
        if node_id and heartbeat.member.node_id != node_id:
            self.members.mark_unresponsive(node_id, boot_time())
            self._missed_heartbeats_by_id.pop(node_id, None)
        self._apply_heartbeat(heartbeat)
        await self._pull_if_behind(channel, heartbeat)

    async def _pull_if_behind(
        self, channel: PeerChannel, heartbeat: RouterHeartbeat
    ) -> None:
        if self._cluster_view.is_in_contact and self._cluster_view.is_fresh():
            return
        # A peer that lost the store while it read it knows part, at no revision yet.
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
        pull = MirrorPull(self.sender, self._mirror.revision)
        reply = await channel.call(pull, MirrorUpdate, PULL_TIMEOUT_S)
        if isinstance(reply, Err):
            return
        update = reply.unwrap()
        count = self._mirror.apply(
            StoredItem(i.key, i.value, i.revision) for i in update.items
        )
        self._mirror.advance(update.revision)
        if update.is_in_contact:
            self._cluster_view.mark_refreshed_by_peer()
        logger.bind(
            member=heartbeat.member.node_id, revision=update.revision, changes=count
        ).info("belief.pulled")

    def _build_heartbeat(self) -> RouterHeartbeat:
        unresponsive_ids = tuple(
            i for i, n in self._missed_heartbeats_by_id.items() if n >= 2
        )
        return RouterHeartbeat(
            self.sender,
            self.own_member,
            self._mirror.revision,
            self._cluster_view.is_in_contact,
            unresponsive_ids,
            self._collect_engine_loads(),
        )

    def _apply_heartbeat(self, heartbeat: RouterHeartbeat) -> None:
        now = boot_time()
        member = heartbeat.member
        if self._missed_heartbeats_by_id.pop(member.node_id, 0) >= 2:
            logger.bind(member=member.node_id).info("dependency.regained")
        if self.members.find(member.node_id) is None:
            logger.bind(member=member.node_id, peer=member.peer_address).info(
                "belief.member"
            )
        self.members.apply_direct_update(member, now)
        self._merge_registered_fields(member.node_id)
        self._suspected_until_by_id.pop(member.node_id, None)
        self._remove_superseded(member)
        self._loads.record(member.node_id, heartbeat.load_by_server, now)
        for node_id in heartbeat.silent_ids:
            if not self.members.is_neighbour(node_id, now):
                self._suspected_until_by_id[node_id] = now + 3 * HEARTBEAT_INTERVAL_S

    def _merge_registered_fields(self, node_id: str) -> None:
        """Add what a member's entry in the store says to what it said of itself.

        It may have spoken before it was configured and registered, and be no neighbour
        that speaks again.
        """
        registered = self._registry.find(node_id)
        known = self.members.find(node_id)
        if registered is None or not isinstance(known, RouterMember):
            return
        revision = max(known.revision, registered.revision)
        if known.seniority == registered.seniority and known.revision == revision:
            return
        self.members.update_description(
            replace(known, seniority=registered.seniority, revision=revision)
        )

    def _remove_superseded(self, member: Member) -> None:
        """Take other members at the same address for gone."""
        for other in list(self.members.member_by_id.values()):
            is_same_address = other.peer_address == member.peer_address
            if is_same_address and other.node_id != member.node_id:
                self._registry.remove(other.node_id)
                if self.members.is_live(other.node_id, boot_time()):
                    self.members.mark_unresponsive(other.node_id, boot_time())
                self._missed_heartbeats_by_id.pop(other.node_id, None)

    def _record_missed_heartbeat(self, node_id: str) -> None:
        misses = self._missed_heartbeats_by_id.get(node_id, 0) + 1
        self._missed_heartbeats_by_id[node_id] = misses
        if misses == 2:
            self.members.mark_unresponsive(node_id, boot_time())
            logger.bind(member=node_id).warning("dependency.lost")

    def _is_alive(self, member: Member) -> bool:
        """Whether a member was heard lately, or is registered and not found silent.

        In a large fleet most members are no neighbours: that one of them was heard
        once, and is not any more, says nothing.
        """
        if self._is_suspected(member) or self._registry.is_superseded(member):
            return False
        if self.members.is_live(member.node_id, boot_time()):
            return True
        return self._registry.find(member.node_id) is not None

    def _is_suspected(self, member: Member) -> bool:
        if self._missed_heartbeats_by_id.get(member.node_id, 0) >= 2:
            return True
        return self._suspected_until_by_id.get(member.node_id, 0.0) > boot_time()

    def _expire_stale_state(self) -> None:
        now = boot_time()
        self.members.expire_silent(now)
        for member in self._registry.list_all():
            if self.members.find(member.node_id) is None:
                self.members.apply_relayed_report(MemberReport(member, 0.0), now)
        for node_id in list(self._missed_heartbeats_by_id):
            if self._missed_heartbeats_by_id[node_id] >= 40:
                del self._missed_heartbeats_by_id[node_id]
        self._loads.discard_expired(now)


__all__ = ("MEMBER_PREFIX", "ClusterMembership")
