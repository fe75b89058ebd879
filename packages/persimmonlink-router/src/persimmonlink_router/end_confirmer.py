"""Tells a server that has ended from one that this node is cut off from."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.reach_messages import (
    AskReach,
    ReachReply,
    ReachState,
)

if TYPE_CHECKING:
    import random

    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.reach_board import ReachBoard
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.servers import Server, ServerKey

PEER_COUNT = 3  # Peers that are asked at a time, of different failure domains first.
ROUND_COUNT = 2  # Times that peers are asked, if none can tell.
# Pause between the rounds, in which nodes that are cut off become known as such.
ROUND_PAUSE_S = 0.4
ASK_TIMEOUT_S = 0.5  # Timeout of a question.
CHECK_TIMEOUT_S = 0.3  # Longest wait of a peer for its connection to the server.
# An answer of the server counts if it came so long after the end that is in question.
MIN_ANSWER_DELAY_S = 0.1
CHECKED_OTHERS = 3  # Other servers that a node without recent answers connects to.
# A node that had an answer from any server so lately is not cut off from all.
RECENT_ANSWER_S = 1.0


class EndConfirmer:
    """Asks peers whether they reach a server that seems to have ended.

    Parameters
    ----------
    membership : ClusterMembership
        Members and channels.
    board : ReachBoard
        Which nodes don't reach which services.
    reach : ServerReach
        Which servers this node reaches.
    pool : ConnectionPool
        Opens connections to servers.
    cluster_view : ClusterView
        Known servers.
    rng : random.Random
        Chooses the peers and the servers that are checked.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        board: ReachBoard,
        reach: ServerReach,
        pool: ConnectionPool,
        cluster_view: ClusterView,
        rng: random.Random,
    ) -> None:
        self._cluster_view = cluster_view
        self._membership = membership
        self._board = board
        self._reach = reach
        self._pool = pool
        self._rng = rng

    async def has_ended(self, server: Server, interrupted_at: float) -> bool:
        """Whether a server that this node can't connect to has ended.

        It has not if a peer reaches it. If no peer can tell, it has ended if no node is
        known to reach its service.
        """
        has_reply = False
        for round_number in range(ROUND_COUNT):
            if round_number:
                await asyncio.sleep(ROUND_PAUSE_S)
            peers = self._choose_peers(server.service)
            states = await asyncio.gather(
                *(self._ask(peer, server, interrupted_at) for peer in peers)
            )
            logger.bind(
                server=server.server_id, states=[str(state) for state in states]
            ).debug("server.end_checked")
            if ReachState.REACHED in states:
                return False
            if ReachState.REFUSED in states:
                return True
            has_reply |= any(state is not None for state in states)
        return has_reply or not self._list_peers()

    async def is_reached(self, server: Server) -> bool:
        """Whether a peer can connect to a server now."""
        peers = self._choose_peers(server.service)
        states = await asyncio.gather(
            *(self._ask(peer, server, boot_time()) for peer in peers)
        )
        return ReachState.REACHED in states

    async def handle_ask(self, message: AskReach) -> ReachReply:
        """Tell a peer whether this node reaches a server."""
        key = message.server
        now = boot_time()
        if self._reach.answered_since(key, now - message.quiet_s + MIN_ANSWER_DELAY_S):
            return ReachReply(ReachState.REACHED)
        state = await self._pool.check_address(key[2], CHECK_TIMEOUT_S)
        if state is not ReachState.REFUSED or await self._reaches_others(key):
            return ReachReply(state)
        return ReachReply(ReachState.UNKNOWN)

    async def _reaches_others(self, key: ServerKey) -> bool:
        """Whether this node is not cut off from all servers but one."""
        if self._reach.any_answered_since(boot_time() - RECENT_ANSWER_S):
            return True
        servers = self._cluster_view.servers.server_by_id.values()
        others = [server for server in servers if server.key != key]
        states = await asyncio.gather(
            *(
                self._pool.check_address(server.address, CHECK_TIMEOUT_S)
                for server in self._rng.sample(others, min(len(others), CHECKED_OTHERS))
            )
        )
        return ReachState.REACHED in states

    async def _ask(
        self, peer: Member, server: Server, interrupted_at: float
    ) -> ReachState | None:
        quiet_s = boot_time() - interrupted_at
        message = AskReach(self._membership.sender, server.key, quiet_s)
        channel = self._membership.channel(peer.peer_address)
        reply = await channel.call(message, ReachReply, ASK_TIMEOUT_S)
        return None if isinstance(reply, Err) else reply.unwrap().state

    def _list_peers(self) -> list[Member]:
        own_id = self._membership.own_member.node_id
        members = self._membership.list_serving_members()
        return [member for member in members if member.node_id != own_id]

    def _choose_peers(self, service: str) -> list[Member]:
        """Return some peers, those that reach the service and other domains first."""
        peers = self._list_peers()
        self._rng.shuffle(peers)
        seen: set[str] = set()
        ranked: list[tuple[bool, bool, int, Member]] = []
        for peer in peers:
            is_repeated_domain = peer.domain in seen
            seen.add(peer.domain)
            lacks = self._board.lacks(peer.node_id, service)
            ranked.append((lacks, is_repeated_domain, len(ranked), peer))
        ranked.sort(key=lambda entry: entry[:3])
        return [entry[3] for entry in ranked[:PEER_COUNT]]


__all__ = ("EndConfirmer",)
