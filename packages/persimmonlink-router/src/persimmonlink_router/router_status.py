"""What a router tells operators of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.http_server import HttpServer
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.reach_board import ReachBoard
    from persimmonlink_router.reach_monitor import ReachMonitor
    from persimmonlink_router.request_forwarder import RequestForwarder
    from persimmonlink_router.stage_dispatcher import StageDispatcher


class RouterStatus:
    """Describes which services are reached, and renders the metrics.

    Parameters
    ----------
    metrics : RouterMetrics
        Metrics of the node.
    membership : ClusterMembership
        Members that serve.
    cluster_view : ClusterView
        Time of the last contact with the store.
    board : ReachBoard
        Services that the other nodes don't reach.
    monitor : ReachMonitor
        Services that this node doesn't reach.
    forwarder : RequestForwarder
        Passes requests to peers.
    pool : ConnectionPool
        Connections to servers.
    dispatcher : StageDispatcher
        Sends pieces to stage servers.
    client_server : HttpServer
        Serves the requests of clients.
    """

    def __init__(
        self,
        metrics: RouterMetrics,
        membership: ClusterMembership,
        cluster_view: ClusterView,
        board: ReachBoard,
        monitor: ReachMonitor,
        forwarder: RequestForwarder,
        pool: ConnectionPool,
        dispatcher: StageDispatcher,
        client_server: HttpServer,
    ) -> None:
        self._metrics = metrics
        self._membership = membership
        self._cluster_view = cluster_view
        self._board = board
        self._monitor = monitor
        self._forwarder = forwarder
        self._pool = pool
        self._dispatcher = dispatcher
        self._client_server = client_server

    def describe_reach(self) -> dict[str, object]:
        """Return the services that this node and its peers don't reach."""
        return {
            "unreached": self._monitor.describe(),
            "relays_to": self._forwarder.count_by_node(),
            "peers": {
                member.node_id: sorted(self._board.list_lacking(member.node_id))
                for member in self._membership.list_serving_members()
            },
        }

    def render_metrics(self) -> str:
        """Return all metrics as text."""
        metrics = self._metrics
        metrics.set_gauge("connections_opened_total", self._pool.opened_count)
        metrics.set_gauge("stage_batches_total", self._dispatcher.sent_batches)
        metrics.set_gauge("stage_pieces_total", self._dispatcher.sent_pieces)
        metrics.set_gauge(
            "requests_in_progress", self._client_server.count_active_requests()
        )
        metrics.set_gauge(
            "store_age_seconds", boot_time() - self._cluster_view.last_contact_at
        )
        return metrics.to_text()


__all__ = ("RouterStatus",)
