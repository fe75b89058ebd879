"""Slot granting by the coordinator that each pool is assigned to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_node.grant_client import GrantClient
from persimmonlink_node.load_poller import LoadPoller
from persimmonlink_node.pool_coordinator import (
    TICK_INTERVAL_S,
    PoolCoordinator,
)
from persimmonlink_peers.grant_messages import (
    GrantRevocation,
    GrantRevocationReply,
    ServerNotice,
    ServerNoticeReply,
    SlotReply,
    SlotRequest,
)

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock, TimerService
    from persimmonlink_node.cold_server_detector import ProgressSource
    from persimmonlink_node.control_loop import ControlLoop
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity, NodeState
    from persimmonlink_node.peer_links import PeerLinks
    from persimmonlink_node.service_dispatchers import ServiceDispatchers
    from persimmonlink_node.settings import GrantSettings
    from persimmonlink_node.view_freshness import FreshView
    from persimmonlink_peers.peer_server import PeerServer

REVOCATION_TIMEOUT_S = 0.5


class CoordinatedSlotGranter:
    """Coordinates this node's pools and requests slots from other coordinators.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    state : NodeState
        Services, servers and accounts.
    members : MemberView
        Live nodes, from which pool coordinators are chosen.
    dispatchers : ServiceDispatchers
        Dispatchers that receive the grants.
    links : PeerLinks
        Connections to peers.
    server : PeerServer
        Server on which the handlers of grant messages are registered.
    control : ControlLoop
        Event loop that runs the tasks.
    settings : GrantSettings
        Lifetime of grants, request intervals and poll interval.
    clock : Clock
        Time source.
    freshness : FreshView
        Says whether this node's view is fresh enough to grant slots.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        dispatchers: ServiceDispatchers,
        links: PeerLinks,
        server: PeerServer,
        control: ControlLoop,
        settings: GrantSettings,
        clock: Clock,
        freshness: FreshView,
    ) -> None:
        self._links = links
        self._control = control
        self._coordinator = PoolCoordinator(
            identity,
            state,
            members,
            freshness,
            settings,
            clock,
            self,
        )
        self._client = GrantClient(
            state,
            members,
            dispatchers,
            links,
            self._coordinator,
            control,
            settings,
            clock,
        )
        self._poller = LoadPoller(
            settings.poll_interval_s, self._coordinator.apply_poll
        )
        server.register(SlotRequest, SlotReply, self._handle_request)
        server.register(ServerNotice, ServerNoticeReply, self._handle_notice)
        server.register(GrantRevocation, GrantRevocationReply, self._handle_revocation)

    def start(self, timers: TimerService, progress: ProgressSource) -> None:
        """Start coordinating this node's pools and requesting slots."""

        def tick() -> None:
            self._poller.set_servers(self._coordinator.tick(), timers)

        timers.every(TICK_INTERVAL_S, tick, "pool-coordinator")
        self._client.start(progress)

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Stop using a server's grant and notify the coordinator of its pool."""
        self._client.report_cold_server(service, server_id, incarnation, reason)

    def revoke(self, holder: str, sequence: int, server_ids: tuple[str, ...]) -> None:
        """Send a revocation to a node without waiting for the reply."""
        node_id = holder.partition("/")[0]
        self._control.submit(self._revoke(node_id, sequence, server_ids))

    def describe(self) -> list[dict[str, object]]:
        """Return the pools that this node coordinates, for the status endpoint."""
        return self._coordinator.describe()

    async def _revoke(
        self, node_id: str, sequence: int, server_ids: tuple[str, ...]
    ) -> None:
        if node_id == self._links.sender.node_id:
            self._client.revoke(server_ids, sequence)
            return
        message = GrantRevocation(self._links.sender, sequence, server_ids)
        await self._links.call(
            node_id, message, GrantRevocationReply, REVOCATION_TIMEOUT_S
        )

    async def _handle_request(self, message: SlotRequest) -> SlotReply:
        return self._coordinator.answer(message)

    async def _handle_notice(self, message: ServerNotice) -> ServerNoticeReply:
        return ServerNoticeReply(self._coordinator.apply_notice(message))

    async def _handle_revocation(
        self, message: GrantRevocation
    ) -> GrantRevocationReply:
        self._client.revoke(message.server_ids, message.sequence)
        return GrantRevocationReply()


__all__ = ("CoordinatedSlotGranter",)
