"""What the stage services have to do, as admission sees it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from persimmonlink_router.stage_admission import ArrivalRates, ServiceLoad

if TYPE_CHECKING:
    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.stage_backlog import StageBacklog
    from persimmonlink_router.stage_job import StageJob
    from persimmonlink_router.stage_servers import StageServers


class StageDemand:
    """Joins what is known of the stage services with what waits for them.

    Parameters
    ----------
    beliefs : Beliefs
        Configuration.
    servers : StageServers
        Servers, their speed, and how full their batches get.
    backlog : StageBacklog
        Pieces that wait.
    """

    def __init__(
        self, beliefs: Beliefs, servers: StageServers, backlog: StageBacklog
    ) -> None:
        self._beliefs = beliefs
        self._servers = servers
        self._backlog = backlog
        self._arrivals = ArrivalRates()

    def note_admitted(self, job: StageJob, now: float) -> None:
        """Count a request that was taken and can be on time."""
        self._arrivals.note(job, now)

    def list_loads(self, job: StageJob, now: float) -> dict[str, ServiceLoad] | None:
        """Return the loads of a request's services, None if one isn't configured."""
        load_by_service: dict[str, ServiceLoad] = {}
        for name in {need.service for need in job.stages if need.pieces}:
            service = self._beliefs.find_service(name)
            if service is None or service.batch is None:
                return None
            speed, busy_s = self._servers.measure(name, now)
            load_by_service[name] = ServiceLoad(
                service.batch,
                speed,
                self._backlog.begun(name),
                self._backlog.deferred(name),
                busy_s,
                self._arrivals.list_rates(name, now),
                self._servers.fill_share(name),
            )
        return load_by_service

    def has_slack(self, job: StageJob, now: float) -> bool:
        """Whether so little waits that a late request would delay nobody."""
        pieces: Counter[str] = Counter()
        for need in job.stages:
            pieces[need.service] += need.pieces
        load_by_service = self.list_loads(job, now) or {}
        return all(
            load.has_slack(pieces[service]) for service, load in load_by_service.items()
        )


__all__ = ("StageDemand",)
