"""Load of the stage services, from which admission predicts waiting times."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from persimmonlink_router.admission.return_turns import ReturnTurns
from persimmonlink_router.stage_admission import ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.stage_backlog import StageBacklog
    from persimmonlink_router.stage_dispatcher import StageDispatcher
    from persimmonlink_router.stage_job import StageJob
    from persimmonlink_router.stage_servers import StageServers


class StageDemand:
    """Combines the capacity of the stage services with the pieces that wait for them.

    Parameters
    ----------
    cluster_view : ClusterView
        Configuration of the services.
    servers : StageServers
        Servers, their latency, and the fill of their batches.
    backlog : StageBacklog
        Pieces that have not been sent.
    dispatcher : StageDispatcher
        Queues, and how long they have stood.

    Attributes
    ----------
    turns : ReturnTurns
        Turns kept for requests that were refused; those that are due count as waiting.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        servers: StageServers,
        backlog: StageBacklog,
        dispatcher: StageDispatcher,
    ) -> None:
        self._cluster_view = cluster_view
        self._servers = servers
        self._backlog = backlog
        self._dispatcher = dispatcher
        self.turns = ReturnTurns()

    def list_loads(self, job: StageJob, now: float) -> dict[str, ServiceLoad] | None:
        """Return the loads of a job's services, or None if one isn't configured."""
        load_by_service: dict[str, ServiceLoad] = {}
        self.turns.advance(now)
        for name in {need.service for need in job.stages if need.pieces}:
            service = self._cluster_view.find_service(name)
            if service is None or service.batch is None:
                return None
            effective_servers, until_free_s = self._servers.measure_capacity(name, now)
            load_by_service[name] = ServiceLoad(
                service.batch,
                effective_servers,
                _add_counts(
                    self._backlog.unsent.copy_counts(name),
                    self.turns.counts_by_service.get(name, {}),
                ),
                _add_counts(
                    self._backlog.ready.copy_counts(name),
                    self.turns.first_counts_by_service.get(name, {}),
                ),
                until_free_s,
                self._servers.fill_fraction(name),
                self._dispatcher.has_standing_queue(name, now),
            )
        return load_by_service


def _add_counts(
    counts_by_priority: dict[int, Counter[str]],
    others_by_priority: Mapping[int, Counter[str]],
) -> dict[int, Counter[str]]:
    """Add further pieces to counts by priority and account, and return them."""
    for priority, others in others_by_priority.items():
        counts_by_priority.setdefault(priority, Counter()).update(others)
    return counts_by_priority


__all__ = ("StageDemand",)
