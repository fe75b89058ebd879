"""Membership of the cluster: heartbeats and liveness."""

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
from persimmonlink_router.fact_exchange import FactExchange
from persimmonlink_router.foreign_values import (
    MAX_INTEGER,
    UNREADABLE_ERRORS,
    is_address,
)
from persimmonlink_router.member_registry import MemberRegistry
from persimmonlink_router.member_suspicions import MemberSuspicions
from persimmonlink_router.mirror_exchange import MirrorExchange
from persimmonlink_router.node_counts import NodeCounts
from persimmonlink_router.peer_loads import PeerLoads
from persimmonlink_router.peer_messages import (
    EngineLoad,
    RouterHeartbeat,
    RouterMember,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.store import StoredItem
    from persimmonlink_router.store_mirror import StoreMirror

UNKNOWN_SENIORITY = 1 << 62  # Sorts members not yet registered in the store last.
MEMBER_PREFIX = "persimmonlink/nodes/"  # Prefix of the keys under which nodes register.
# Two refused heartbeats at this interval reveal a killed node within 1 s.
HEARTBEAT_INTERVAL_S = 0.4
HEARTBEAT_TIMEOUT_S = 0.6  # Deadline of a heartbeat call.
FAN_OUT = 6  # Successors that each node calls; up to 13 nodes form a full mesh.
LARGE_CLUSTER_FAN_OUT = 4  # Largest number of peers called in a larger cluster.
# A load report is valid for two heartbeat intervals plus this margin.
LOAD_VALIDITY_MARGIN_S = 0.5


class ClusterMembership:
    """Tracks the members of the cluster and exchanges heartbeats with them.

    Parameters
    ----------
    own_member : RouterMember
        Initial member record of this node.
    seeds : tuple of str
        Peer addresses to contact while fewer than two peers are known.
    cluster_view : ClusterView
        Says whether the store is reachable and records refreshes by peers.
    mirror : StoreMirror
        Local copy of the store, served to peers and updated from theirs.
    collect_engine_loads : callable
        Returns this node's load on each server by the server's id.
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
        self.facts = FactExchange(self)
        self._on_peer_revision: Callable[[int], None] | None = None
        self.members = Membership(own_member.node_id)
        self.members.apply_direct_update(own_member, boot_time())
        self._channel_by_address: dict[str, PeerChannel] = {}
        self._suspicions = MemberSuspicions()
        self._registry = MemberRegistry()
        self._loads = PeerLoads(2 * HEARTBEAT_INTERVAL_S + LOAD_VALIDITY_MARGIN_S)
        self._node_counts = NodeCounts(boot_time())
        self.mirror_exchange = MirrorExchange(cluster_view, mirror, lambda: self.sender)

    @property
    def sender(self) -> Sender:
        """Identity of this node in its messages to peers."""
        return Sender(self.own_member.node_id, self.own_member.incarnation)

    def subscribe_to_revisions(self, on_revision: Callable[[int], None]) -> None:
        """Have a function called with each revision that a peer has from the store."""
        self._on_peer_revision = on_revision

    def mark_configured(self, version: int) -> None:
        """Announce to peers that this node is configured and can serve."""
        self.own_member = replace(self.own_member, revision=version)
        self.members.apply_direct_update(self.own_member, boot_time())

    def mark_registered(self, revision: int) -> None:
        """Announce this node's seniority; only the first registration sets it."""
        if not self.own_member.seniority:
            self.own_member = replace(self.own_member, seniority=revision)
            self.members.apply_direct_update(self.own_member, boot_time())

    def mark_leaving(self) -> None:
        """Announce to peers that this node is leaving the cluster."""
        self.own_member = replace(self.own_member, leaving=True)
        self.members.apply_direct_update(self.own_member, boot_time())

    def channel(self, address: str) -> PeerChannel:
        """Return the cached channel to a peer's address, or a new one."""
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = PeerChannel(address)
            self._channel_by_address[address] = channel
        return channel

    def apply_store_item(self, item: StoredItem) -> None:
        """Apply a change of a member's entry in the store."""
        node_id = item.key.removeprefix(MEMBER_PREFIX)
        if node_id == self.own_member.node_id:
            return
        now = boot_time()
        if item.value is None:
            self._registry.remove(node_id)
            # A member that still sends messages stays live: the lease of a healthy node
            # also expires while it cannot reach the store.
            is_known = self.members.find(node_id) is not None
            if is_known and not self.members.is_neighbour(node_id, now):
                self.members.mark_unresponsive(node_id, now)
            return
        try:
            member = msgspec.json.decode(item.value, type=RouterMember)
        except UNREADABLE_ERRORS as error:
            logger.bind(key=item.key, error=str(error)).warning("store.entry_invalid")
            return
        if member.node_id != node_id or not _is_sound(member):
            logger.bind(key=item.key, error="a field is out of range").warning(
                "store.entry_invalid"
            )
            return
        if member.peer_address == self.own_member.peer_address:
            # Entry of a previous run of this node whose lease has not expired yet.
            return
        if not member.seniority:
            # The entry was written before the node knew its revision.
            member = replace(member, seniority=item.revision)
        if self.members.find(node_id) is None:
            logger.bind(member=node_id, peer=member.peer_address).info(
                "member.discovered"
            )
        self._registry.add(member)
        self.members.apply_relayed_report(MemberReport(member, 0.0), now)
        self._merge_registered_fields(node_id)
        if not self._registry.is_superseded(member):
            # Their entries stay: this one may be a late write of an ended run.
            self._mark_superseded(member)

    def list_serving_members(self) -> list[Member]:
        """Return the live, configured members that are not leaving, sorted by id."""
        return [
            member
            for member in self.list_live_members()
            if member.revision and not member.leaving
        ]

    def list_live_members(self) -> list[Member]:
        """Return all live members, also those that are leaving, sorted by id."""
        return [
            member
            for _, member in sorted(self.members.member_by_id.items())
            if self._is_alive(member)
        ]

    def list_possible_members(self) -> list[Member]:
        """Return the members that may run, whether this node hears them or not.

        Without the store, a member that is gone can't be told from one that this node
        is cut off from.
        """
        now = boot_time()
        return [
            member
            for node_id, member in sorted(self.members.member_by_id.items())
            if not self._registry.is_superseded(member)
            and (
                self.members.is_live(node_id, now)
                or self._registry.find(node_id) is not None
            )
        ]

    def choose_coordinator(self, excluded: set[str]) -> str:
        """Return the node that coordinates stages; equal views give the same choice.

        Among the serving members with the most processor cores, to one decimal, it is
        the one that registered first; without serving members, it is this node.

        Parameters
        ----------
        excluded : set of str
            Members that must not be chosen.
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

    def list_serving_ids(self) -> list[str]:
        """Return the ids of the members that serve."""
        return [member.node_id for member in self.list_serving_members()]

    def is_node_alive(self, node_id: str) -> bool:
        """Whether a node is a known member and considered alive."""
        member = self.members.find(node_id)
        return member is not None and self._is_alive(member)

    def peak_node_count(self) -> int:
        """Return the recent peak of live nodes, over which limits are split.

        It is at least `MIN_NODES_AT_STARTUP` for `STARTUP_PERIOD_S` after the start.
        """
        members = self.members.member_by_id.values()
        count = sum(1 for member in members if self._is_alive(member))
        return self._node_counts.record(count, boot_time())

    def count_known_addresses(self) -> int:
        """Return the number of nodes that may run, whether this node hears them or not.

        A restarted node counts once, as it keeps its address. It is at least
        `MIN_NODES_AT_STARTUP` while peers may still be unknown.
        """
        members = self.members.member_by_id.values()
        count = len({member.peer_address for member in members})
        return self._node_counts.raise_at_startup(count, boot_time())

    def sum_peer_load(self, server_id: str) -> EngineLoad:
        """Return the load of all other nodes on a server, as last reported."""
        return self._loads.sum(server_id, boot_time())

    async def handle_heartbeat(self, message: RouterHeartbeat) -> RouterHeartbeat:
        """Apply a peer's heartbeat and reply with this node's."""
        self._apply_heartbeat(message)
        return self._build_heartbeat()

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled; the interval grows with the cluster."""
        while True:
            self._expire_stale_state()
            targets = self.choose_heartbeat_targets()
            calls = [
                self._try_heartbeat(node_id, address) for node_id, address in targets
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

    def choose_heartbeat_targets(self) -> list[tuple[str, str]]:
        """Return name and address of the peers that this node calls regularly.

        The name of a seed that is not known yet is empty.
        """
        members = self.members.member_by_id.values()
        ids = [member.node_id for member in members if self._is_alive(member)]
        # Unresponsive nodes also get heartbeats, so that their recovery is detected.
        missed_ids = self._suspicions.list_missed()
        ids += [node_id for node_id in missed_ids if node_id not in ids]
        chosen = list_successors(
            self.own_member.node_id, ids, FAN_OUT, LARGE_CLUSTER_FAN_OUT
        )
        chosen += [i for i in missed_ids if i in ids and i not in chosen]
        targets = []
        for node_id in chosen:
            member = self.members.find(node_id)
            if member is not None:
                targets.append((node_id, member.peer_address))
        if len(targets) >= 2:
            return targets
        known = {address for _, address in targets} | {self.own_member.peer_address}
        return targets + [("", s) for s in self._seeds if s not in known]

    async def _try_heartbeat(self, node_id: str, address: str) -> None:
        """Send a heartbeat; an unexpected error counts as none, and ends no other."""
        try:
            await self._send_heartbeat(node_id, address)
        except Exception:
            logger.bind(member=node_id, peer=address).exception(
                "member.heartbeat_failed"
            )
            if node_id:
                self._record_missed_heartbeat(node_id)

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
            self._suspicions.clear_misses(node_id)
        self._apply_heartbeat(heartbeat)
        await self.mirror_exchange.pull_if_behind(channel, heartbeat)

    def _build_heartbeat(self) -> RouterHeartbeat:
        now = boot_time()
        is_in_contact = self._cluster_view.is_in_contact
        store_age_s = now - self._cluster_view.last_contact_at
        return RouterHeartbeat(
            self.sender,
            self.own_member,
            self._mirror.revision,
            is_in_contact,
            self._suspicions.list_unresponsive(),
            self._collect_engine_loads(),
            self.facts.collect(),
            store_age_s if is_in_contact else None,
            self._cluster_view.find_steady_s(now),
        )

    def _apply_heartbeat(self, heartbeat: RouterHeartbeat) -> None:
        now = boot_time()
        member = heartbeat.member
        if not _is_sound(member):
            logger.bind(member=member.node_id, error="a field is out of range").warning(
                "member.heartbeat_invalid"
            )
            return
        if self._suspicions.clear_misses(member.node_id):
            logger.bind(member=member.node_id).info("dependency.recovered")
        if self.members.find(member.node_id) is None:
            logger.bind(member=member.node_id, peer=member.peer_address).info(
                "member.discovered"
            )
        self.members.apply_direct_update(member, now)
        if heartbeat.is_in_contact and self._on_peer_revision is not None:
            self._on_peer_revision(heartbeat.revision)
        if heartbeat.store_age_s is not None:
            # The message itself may have taken as long as its timeout.
            age_s = max(0.0, heartbeat.store_age_s) + HEARTBEAT_TIMEOUT_S
            self._cluster_view.record_served_peer(
                now - age_s, now - max(0.0, heartbeat.store_steady_s)
            )
        self._merge_registered_fields(member.node_id)
        self._suspicions.clear_report(member.node_id)
        self._remove_superseded(member)
        self._loads.record(member.node_id, heartbeat.load_by_server, now)
        self.facts.apply(heartbeat.facts, member.node_id)
        for node_id in heartbeat.silent_ids:
            if not self.members.is_neighbour(node_id, now):
                self._suspicions.record_report(node_id, now + 3 * HEARTBEAT_INTERVAL_S)

    def _merge_registered_fields(self, node_id: str) -> None:
        """Merge seniority and revision of a member's store entry into its record.

        The member's last heartbeat may predate its configuration and registration, and
        no later one arrives from a member that is not a neighbour.
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
        """Forget other members at the address of a member that sent a message."""
        for other in self._mark_superseded(member):
            self._registry.remove(other.node_id)

    def _mark_superseded(self, member: Member) -> list[Member]:
        """Mark other members at a member's address as gone, and return them.

        A restarted node keeps its address but has a new name.
        """
        others = [
            other
            for other in self.members.member_by_id.values()
            if other.peer_address == member.peer_address
            and other.node_id != member.node_id
            and not self._is_successor(other, member)
        ]
        for other in others:
            if self.members.is_live(other.node_id, boot_time()):
                self.members.mark_unresponsive(other.node_id, boot_time())
            self._suspicions.clear_misses(other.node_id)
        return others

    def _is_successor(self, other: Member, member: Member) -> bool:
        """Whether a member registered after another one at the same address.

        A message of an ended run may be read after its successor's entry.
        """
        registered = self._registry.find(other.node_id)
        seniority = getattr(member, "seniority", 0)
        return registered is not None and 0 < seniority < registered.seniority

    def _record_missed_heartbeat(self, node_id: str) -> None:
        if self._suspicions.record_miss(node_id):
            self.members.mark_unresponsive(node_id, boot_time())
            logger.bind(member=node_id).warning("dependency.lost")

    def _is_alive(self, member: Member) -> bool:
        """Whether a member was seen lately or is registered, and is not suspected.

        A member whose entry is superseded by that of a restart is not alive.
        In a large cluster most members are no neighbours, so a missing heartbeat from
        one that sent some earlier is no evidence of a failure.
        """
        now = boot_time()
        if self._suspicions.is_suspected(member.node_id, now):
            return False
        if self._registry.is_superseded(member):
            return False
        if self.members.is_live(member.node_id, now):
            return True
        return self._registry.find(member.node_id) is not None

    def _expire_stale_state(self) -> None:
        now = boot_time()
        self.members.expire_silent(now)
        # Registered members that send no messages to this node must not expire.
        for member in self._registry.list_all():
            if self.members.find(member.node_id) is None:
                self.members.apply_relayed_report(MemberReport(member, 0.0), now)
        self._suspicions.forget_gone(
            lambda node_id: self._registry.find(node_id) is not None
        )
        self._loads.discard_expired(now)


def _is_sound(member: RouterMember) -> bool:
    """Whether a member can be called, and messages can hold its fields."""
    numbers = (member.revision, member.seniority, member.cores)
    return all(0 <= number <= MAX_INTEGER for number in numbers) and all(
        is_address(address) for address in (member.peer_address, member.http_address)
    )


__all__ = ("MEMBER_PREFIX", "ClusterMembership")
