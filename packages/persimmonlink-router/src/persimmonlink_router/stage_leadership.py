"""Whether a node may coordinate stages, by the stage servers that it reaches."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.reach_board import ReachBoard
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.stage_scheduler import StageScheduler
    from persimmonlink_router.stop_clock import StopClock


class StageLeadership:
    """Leaves the stages to other nodes while only these reach their servers.

    Parameters
    ----------
    scheduler : StageScheduler
        Runs the stages while this node coordinates them.
    reach : ServerReach
        Services that this node doesn't reach.
    board : ReachBoard
        Services that the other nodes don't reach.
    cluster_view : ClusterView
        Services in force.
    membership : ClusterMembership
        Members that serve.
    clock : StopClock
        Whether this node stops.
    """

    def __init__(
        self,
        scheduler: StageScheduler,
        reach: ServerReach,
        board: ReachBoard,
        cluster_view: ClusterView,
        membership: ClusterMembership,
        clock: StopClock,
    ) -> None:
        self._scheduler = scheduler
        self._reach = reach
        self._board = board
        self._cluster_view = cluster_view
        self._membership = membership
        self._clock = clock

    def update(self) -> None:
        """Transfer the stages, or take them again, by what is reached now."""
        if self._clock.is_stopping:
            return
        unreached = {
            service
            for service in self._reach.unreached_services
            if self._is_stage_service(service)
        }
        own_id = self._membership.own_member.node_id
        has_other = any(
            not unreached & self._board.list_lacking(node_id)
            for node_id in self._membership.list_serving_ids()
            if node_id != own_id
        )
        if unreached and has_other:
            self._scheduler.transfer_requests()
        else:
            self._scheduler.resume()

    def _is_stage_service(self, name: str) -> bool:
        service = self._cluster_view.find_service(name)
        return service is not None and service.batch is not None


__all__ = ("StageLeadership",)
