"""Holds requests back from the servers that they may end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.request_state import RequestHeldError

if TYPE_CHECKING:
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.holds import Hold
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.servers import Server


class HeldRequests:
    """Checks requests against the decisions on what ends servers.

    Parameters
    ----------
    cluster_view : ClusterView
        Known servers and their software versions.
    crash_guard : CrashGuard
        Knows which requests end servers.
    metrics : RouterMetrics
        Counts permits.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        crash_guard: CrashGuard,
        metrics: RouterMetrics,
    ) -> None:
        self._cluster_view = cluster_view
        self._crash_guard = crash_guard
        self._metrics = metrics

    def require_allowed(self, state: RequestState) -> None:
        """Raise `RequestHeldError` if the request is held back from all servers."""
        hold = self._crash_guard.find_hold(state.cause_ids)
        state.avoided_software = frozenset()
        if hold is None:
            return
        for server in self._cluster_view.servers.list_usable(state.service):
            if not hold.forbids(server.software):
                state.avoided_software = hold.software
                return
        raise _build_held_error(hold)

    def require_allowed_at(self, state: RequestState, server: Server) -> None:
        """Raise `RequestHeldError` if the request is held back from a server."""
        hold = self._crash_guard.find_hold(state.cause_ids)
        if hold is not None and hold.forbids(server.software):
            raise _build_held_error(hold)

    async def require_trial_permit(self, state: RequestState) -> None:
        """Raise `RequestHeldError` if a suspect request may not be sent now."""
        for fingerprint in self._crash_guard.list_suspects(state.fingerprints):
            decision = await self._crash_guard.trials.ask(fingerprint)
            outcome = "granted" if decision.is_granted else "refused"
            self._metrics.count("trial_permits_total", f'outcome="{outcome}"')
            if decision.is_granted:
                continue
            raise RequestHeldError(
                f"servers ended under request {fingerprint}, which is tried at times",
                decision.wait_s,
            )


def _build_held_error(hold: Hold) -> RequestHeldError:
    causes = ", ".join(sorted(hold.cause_ids))
    what = causes if hold.is_on_request else f"requests with prompt part {causes}"
    return RequestHeldError(
        f"{hold.server_ends} servers ended under {what}", hold.ends_at - boot_time()
    )


__all__ = ("HeldRequests",)
