"""Load of the stage services, from which admission predicts waiting times."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from persimmonlink_router.stage_admission import ArrivalRates, ServiceLoad

if TYPE_CHECKING:
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.stage_backlog import StageBacklog
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
    """

    def __init__(
        self, cluster_view: ClusterView, servers: StageServers, backlog: StageBacklog
    ) -> None:
        self._cluster_view = cluster_view
        self._servers = servers
        self._backlog = backlog
        self._arrivals = ArrivalRates()

    def record_admission(self, job: StageJob, now: float) -> None:
        """Count the pieces of a request that was admitted on time."""
        self._arrivals.record_arrival(job, now)

    def list_loads(self, job: StageJob, now: float) -> dict[str, ServiceLoad] | None:
        """Return the loads of a job's services, or None if one isn't configured."""
        load_by_service: dict[str, ServiceLoad] = {}
        for name in {need.service for need in job.stages if need.pieces}:
            service = self._cluster_view.find_service(name)
            if service is None or service.batch is None:
                return None
            effective_servers, until_free_s = self._servers.measure_capacity(name, now)
            load_by_service[name] = ServiceLoad(
                service.batch,
                effective_servers,
                self._backlog.count_active_by_priority(name),
                self._backlog.count_deferred(name),
                until_free_s,
                self._arrivals.list_rates(name, now),
                self._servers.fill_fraction(name),
            )
        return load_by_service

    def has_slack(self, job: StageJob, now: float) -> bool:
        """Whether so few pieces wait that a late request would not delay the others."""
        piece_count_by_service: Counter[str] = Counter()
        for need in job.stages:
            piece_count_by_service[need.service] += need.pieces
        load_by_service = self.list_loads(job, now) or {}
        return all(
            load.has_slack(piece_count_by_service[service])
            for service, load in load_by_service.items()
        )


__all__ = ("StageDemand",)
