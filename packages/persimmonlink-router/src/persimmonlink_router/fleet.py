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
    MirrorNews,
    MirrorPull,
    RouterHeartbeat,
    RouterMember,
)
from persimmonlink_router.store import StoredItem

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.store_mirror import StoreMirror

UNKNOWN_SENIORITY = 1 << 62  # A member that has not named itself in the store yet.
MEMBER_PREFIX = "persimmonlink/nodes/"  # Keys under which nodes name themselves.
HEARTBEAT_INTERVAL_S = 0.4  # Two missed ones show a dead node within a second.
HEARTBEAT_TIMEOUT_S = 0.6  # Longest wait for a reply.
FAN_OUT = 6  # Successors in a small fleet: all of 13 nodes hear each other.
FAR_FAN_OUT = 4  # Successors in a large fleet.
PULL_TIMEOUT_S = 1.0  # Longest wait for a peer's knowledge of the store.
STARTING_S = 10.0  # Time after the start in which peers may not be known yet.
STARTING_NODES = 6  # Nodes that bounds are split over in that time.
LOAD_MARGIN_S = 0.5  # On top of two heartbeats, for which reported load is counted.
PEAK_WINDOW_S = 15.0  # Bounds are split over the most nodes seen in this time.


class Fleet:
    """The members of the deployment as this node sees them.

    Parameters
    ----------
    own : RouterMember
        This node.
    seeds : tuple of str
        Addresses of peers to ask before any is known.
    beliefs : Beliefs
        Whether the store answers.
    mirror : StoreMirror
        What is known of the store.
    load_of_servers : callable
        Returns what this node has at each server.
    """

    def __init__(
        self,
        own: RouterMember,
        seeds: tuple[str, ...],
        beliefs: Beliefs,
        mirror: StoreMirror,
        load_of_servers: Callable[[], dict[str, EngineLoad]],
    ) -> None:
        self.own = own
        self._seeds = seeds
        self._beliefs = beliefs
        self._mirror = mirror
        self._load_of_servers = load_of_servers
        self.members = Membership(own.node_id)
        self.members.hear(own, boot_time())
        self._channel_by_address: dict[str, PeerChannel] = {}
        self._misses_by_id: dict[str, int] = {}
        self._accused_until_by_id: dict[str, float] = {}
        self._registry = MemberRegistry()
        self._loads = PeerLoads(2 * HEARTBEAT_INTERVAL_S + LOAD_MARGIN_S)
        self._started_at = boot_time()
        self._peaks: list[tuple[float, int]] = []

    @property
    def sender(self) -> Sender:
        """What this node's messages carry."""
        return Sender(self.own.node_id, self.own.incarnation)

    def note_configured(self, version: int) -> None:
        """Tell peers from now on that this node can serve."""
        self.own = replace(self.own, revision=version)
        self.members.hear(self.own, boot_time())

    def note_registered(self, revision: int) -> None:
        """Tell peers since when this node has been a member."""
        if not self.own.seniority:
            self.own = replace(self.own, seniority=revision)
            self.members.hear(self.own, boot_time())

    def leave(self) -> None:
        """Tell peers from now on that this node is leaving."""
        self.own = replace(self.own, leaving=True)
        self.members.hear(self.own, boot_time())

    def channel(self, address: str) -> PeerChannel:
        """Return the channel to a peer's address."""
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = PeerChannel(address)
            self._channel_by_address[address] = channel
        return channel

    def take_store_item(self, item: StoredItem) -> None:
        """Take in a member's entry of the store."""
        node_id = item.key.removeprefix(MEMBER_PREFIX)
        if node_id == self.own.node_id:
            return
        now = boot_time()
        if item.value is None:
            self._registry.remove(node_id)
            # A lease also ends where a node can't reach the store but is well.
            is_known = self.members.find(node_id) is not None
            if is_known and not self.members.is_neighbour(node_id, now):
                self.members.note_unanswering(node_id, now)
            return
        try:
            member = msgspec.json.decode(item.value, type=RouterMember)
        except msgspec.MsgspecError as error:
            logger.bind(key=item.key, error=str(error)).warning("belief.unreadable")
            return
        if member.peer_address == self.own.peer_address:
            # This node's former self, whose lease has not ended yet.
            return
        if not member.seniority:
            # It wrote this before it knew the revision.
            member = replace(member, seniority=item.revision)
        if self.members.find(node_id) is None:
            logger.bind(member=node_id, peer=member.peer_address).info("belief.member")
        self._registry.put(member)
        self.members.hear_report(MemberReport(member, 0.0), now)
        self._amend(node_id)
        if not self._registry.is_former(member):
            self._replace_former(member)

    def list_entries(self) -> list[Member]:
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
            for member in self.list_entries()
            if member.node_id not in excluded
        ]
        return min(candidates, default=(0, 0, self.own.node_id))[2]

    def is_answering(self, node_id: str) -> bool:
        """Whether a member lives, as far as this node can tell."""
        member = self.members.find(node_id)
        return member is not None and self._is_alive(member)

    def count_nodes(self) -> int:
        """Return the nodes that bounds are split over: the most seen lately."""
        now = boot_time()
        members = self.members.member_by_id.values()
        count = sum(1 for member in members if self._is_alive(member))
        self._peaks = [(t, n) for t, n in self._peaks if now - t < PEAK_WINDOW_S]
        if not self._peaks or self._peaks[-1][1] != count:
            self._peaks.append((now, count))
        peak = max(n for _, n in self._peaks)
        if now - self._started_at < STARTING_S:
            peak = max(peak, STARTING_NODES)
        return peak

    def sum_load(self, server_id: str) -> EngineLoad:
        """Return what the other nodes have at a server, as they last said."""
        return self._loads.sum(server_id, boot_time())

    async def handle_heartbeat(self, message: RouterHeartbeat) -> RouterHeartbeat:
        """Take in a peer's heartbeat and answer with this node's."""
        self._hear(message)
        return self._make_heartbeat()

    async def handle_pull(self, message: MirrorPull) -> MirrorNews:
        """Pass on what has changed in the store after a revision."""
        items = tuple(
            MirroredItem(i.key, i.value, i.revision)
            for i in self._mirror.list_since(message.revision)
        )
        return MirrorNews(items, self._mirror.revision, self._beliefs.is_in_contact)

    async def run_heartbeats(self) -> None:
        """Send heartbeats for as long as the node runs."""
        while True:
            self._forget()
            targets = self._list_targets()
            calls = [self._beat(node_id, address) for node_id, address in targets]
            if calls:
                await asyncio.gather(*calls)
            self.members.hear(self.own, boot_time())
            scale = max(1.0, len(self.members.member_by_id) / 24)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * scale)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            channel.close()

    def _list_targets(self) -> list[tuple[str, str]]:
        members = self.members.member_by_id.values()
        ids = [member.node_id for member in members if self._is_alive(member)]
        # Nodes that fell silent are asked too, so that their return is seen.
        ids += [
            node_id
            for node_id in self._misses_by_id
            if node_id not in ids and self._misses_by_id[node_id] < 40
        ]
        chosen = list_successors(self.own.node_id, ids, FAN_OUT, FAR_FAN_OUT)
        chosen += [i for i in self._misses_by_id if i in ids and i not in chosen]
        targets = []
        for node_id in chosen:
            member = self.members.find(node_id)
            if member is not None:
                targets.append((node_id, member.peer_address))
        if len(targets) >= 2:
            return targets
        known = {address for _, address in targets} | {self.own.peer_address}
        return targets + [("", s) for s in self._seeds if s not in known]

    async def _beat(self, node_id: str, address: str) -> None:
        channel = self.channel(address)
        reply = await channel.call(
            self._make_heartbeat(), RouterHeartbeat, HEARTBEAT_TIMEOUT_S
        )
        if isinstance(reply, Err):
            if node_id:
                self._note_miss(node_id)
            return
        heartbeat = reply.unwrap()
        if node_id and heartbeat.member.node_id != node_id:
            self.members.note_unanswering(node_id, boot_time())
            self._misses_by_id.pop(node_id, None)
        self._hear(heartbeat)
        await self._pull_if_behind(channel, heartbeat)

    async def _pull_if_behind(
        self, channel: PeerChannel, heartbeat: RouterHeartbeat
    ) -> None:
        if self._beliefs.is_in_contact and self._beliefs.is_fresh():
            return
        # A peer that lost the store while it read it knows part, at no revision yet.
        lacks_all = self._beliefs.configuration is None and heartbeat.member.revision
        has_news = heartbeat.revision > self._mirror.revision or bool(lacks_all)
        if not has_news and not heartbeat.is_in_contact:
            return
        if not has_news:
            self._beliefs.note_peer_news()
            return
        pull = MirrorPull(self.sender, self._mirror.revision)
        reply = await channel.call(pull, MirrorNews, PULL_TIMEOUT_S)
        if isinstance(reply, Err):
            return
        news = reply.unwrap()
        count = self._mirror.apply(
            StoredItem(i.key, i.value, i.revision) for i in news.items
        )
        self._mirror.advance(news.revision)
        if news.is_in_contact:
            self._beliefs.note_peer_news()
        logger.bind(
            member=heartbeat.member.node_id, revision=news.revision, news=count
        ).info("belief.pulled")

    def _make_heartbeat(self) -> RouterHeartbeat:
        silent = tuple(i for i, n in self._misses_by_id.items() if n >= 2)
        return RouterHeartbeat(
            self.sender,
            self.own,
            self._mirror.revision,
            self._beliefs.is_in_contact,
            silent,
            self._load_of_servers(),
        )

    def _hear(self, heartbeat: RouterHeartbeat) -> None:
        now = boot_time()
        member = heartbeat.member
        if self._misses_by_id.pop(member.node_id, 0) >= 2:
            logger.bind(member=member.node_id).info("dependency.regained")
        if self.members.find(member.node_id) is None:
            logger.bind(member=member.node_id, peer=member.peer_address).info(
                "belief.member"
            )
        self.members.hear(member, now)
        self._amend(member.node_id)
        self._accused_until_by_id.pop(member.node_id, None)
        self._replace_former(member)
        self._loads.note(member.node_id, heartbeat.load_by_server, now)
        for node_id in heartbeat.silent_ids:
            if not self.members.is_neighbour(node_id, now):
                self._accused_until_by_id[node_id] = now + 3 * HEARTBEAT_INTERVAL_S

    def _amend(self, node_id: str) -> None:
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
        self.members.amend(
            replace(known, seniority=registered.seniority, revision=revision)
        )

    def _replace_former(self, member: Member) -> None:
        """Take other members at the same address for gone."""
        for other in list(self.members.member_by_id.values()):
            is_former = other.peer_address == member.peer_address
            if is_former and other.node_id != member.node_id:
                self._registry.remove(other.node_id)
                if self.members.is_live(other.node_id, boot_time()):
                    self.members.note_unanswering(other.node_id, boot_time())
                self._misses_by_id.pop(other.node_id, None)

    def _note_miss(self, node_id: str) -> None:
        misses = self._misses_by_id.get(node_id, 0) + 1
        self._misses_by_id[node_id] = misses
        if misses == 2:
            self.members.note_unanswering(node_id, boot_time())
            logger.bind(member=node_id).warning("dependency.lost")

    def _is_alive(self, member: Member) -> bool:
        """Whether a member was heard lately, or is registered and not found silent.

        In a large fleet most members are no neighbours: that one of them was heard
        once, and is not any more, says nothing.
        """
        if self._is_silent(member) or self._registry.is_former(member):
            return False
        if self.members.is_live(member.node_id, boot_time()):
            return True
        return self._registry.find(member.node_id) is not None

    def _is_silent(self, member: Member) -> bool:
        if self._misses_by_id.get(member.node_id, 0) >= 2:
            return True
        return self._accused_until_by_id.get(member.node_id, 0.0) > boot_time()

    def _forget(self) -> None:
        now = boot_time()
        self.members.forget_silent(now)
        for member in self._registry.list_all():
            if self.members.find(member.node_id) is None:
                self.members.hear_report(MemberReport(member, 0.0), now)
        for node_id in list(self._misses_by_id):
            if self._misses_by_id[node_id] >= 40:
                del self._misses_by_id[node_id]
        self._loads.forget_old(now)


__all__ = ("MEMBER_PREFIX", "Fleet")
