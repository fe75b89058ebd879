"""Log lines of requests that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.client_pressure.bounded_log import BoundedLog

if TYPE_CHECKING:
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.http_messages import HttpRequest
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.stop_clock import StopClock

MAX_LOGGED_PATH_CHARACTERS = 80
MAX_REFUSED_LINES = 50  # Lines a second for refused requests of each status.


class RequestLog:
    """Logs the end of each request, with what it rested on.

    Parameters
    ----------
    cluster_view : ClusterView
        Configuration in force, and the last contact with the store.
    stop_clock : StopClock
        Since when this node stops.
    metrics : RouterMetrics
        Counts how last responses were framed and ended.
    """

    def __init__(
        self, cluster_view: ClusterView, stop_clock: StopClock, metrics: RouterMetrics
    ) -> None:
        self._cluster_view = cluster_view
        self._stop_clock = stop_clock
        self._metrics = metrics
        self._refused = BoundedLog(metrics, MAX_REFUSED_LINES)

    def record_refused(
        self, request: HttpRequest, status: int, reason: str, arrived_at: float
    ) -> None:
        """Log a request that has no route or was rejected unread.

        Parameters
        ----------
        request : HttpRequest
            The request.
        status : int
            Status of the response.
        reason : str
            Why it was refused.
        arrived_at : float
            Boot time of its arrival, in seconds.
        """
        self._refused.write(
            "INFO",
            "request.refused",
            str(status),
            host=request.host,
            path=request.path[:MAX_LOGGED_PATH_CHARACTERS],
            status=status,
            reason=reason,
            version=self._find_version(),
            after_stop_s=self._stop_clock.since_began_s(arrived_at),
        )

    def record_completed(self, state: RequestState, status: int, reason: str) -> None:
        """Log a request that has a route.

        Parameters
        ----------
        state : RequestState
            The request.
        status : int
            200 for any relayed response, 0 for an aborted one.
        reason : str
            How it ended.
        """
        arrived_at = state.arrived_at
        took_s = round(boot_time() - arrived_at, 3)
        end = state.response_end
        if end is not None:
            ended = "complete" if end.is_complete else "interrupted"
            labels = f'framing="{end.framing}",ended="{ended}"'
            self._metrics.count("last_responses_total", labels)
        first = state.first_event_s
        prediction = state.predicted_first_event_s
        logger.bind(
            request=state.metadata.request_id,
            fingerprint=state.fingerprint,
            exact_fingerprint=state.exact_fingerprint,
            route=state.route.name,
            service=state.service,
            account=state.account_name,
            status=status,
            reason=reason,
            took_s=took_s,
            after_stop_s=self._stop_clock.since_began_s(arrived_at),
            has_begun=state.exchange.has_started,
            first_event_s=None if first is None else round(first, 3),
            predicted_s=None if prediction is None else round(prediction, 3),
            stages_s=None if state.stages_s is None else round(state.stages_s, 3),
            sends=state.sends,
            relayed_to=state.relayed_to or None,
            relayed_from=state.relayed_from or None,
            servers=state.servers,
            prompt_parts=state.metadata.shared_part_ids or None,
            server_versions=state.server_versions,
            sent_on=[basis.describe(arrived_at) for basis in state.send_bases],
            resumes=state.metadata.resumed_request_id or None,
            last_event=state.metadata.last_event_id.decode("latin-1") or None,
            may_have_run=state.may_have_run,
            framing=None if end is None else end.framing,
            connection=None if end is None else end.connection,
            end_reason=None if end is None else end.reason or None,
            partial_event_bytes=state.partial_event_bytes,
            version_source=state.version_source or None,
            version_answered_by=state.version_answered_by or None,
            failures_after_start=state.failures_after_start or None,
            version=self._find_version(),
            store_age_s=round(boot_time() - self._cluster_view.last_contact_at, 2),
        ).info("request.completed")

    def _find_version(self) -> int:
        configuration = self._cluster_view.configuration
        return 0 if configuration is None else configuration.version


__all__ = ("RequestLog",)
