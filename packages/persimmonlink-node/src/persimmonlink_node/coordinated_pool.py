"""A pool coordinated by this node, updated from load polls and node reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_node.load_poller import PollOutcome, PollResult

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_model.pool import Pool
    from persimmonlink_model.pool_server import PoolServer
    from persimmonlink_peers.grant_messages import ServerProgress

UNREACHABLE_AFTER_FAILED_POLLS = 2


@dataclass(frozen=True)
class _CompletionReport:
    """Completions on one server as of a node's last report."""

    holder: str
    incarnation: str
    completed: int


class CoordinatedPool:
    """A pool whose servers' phases follow notices, polls and reported completions.

    Each `apply_*` method returns the servers whose limit it reduced, so that the
    caller can revoke their grants. Not thread-safe: the owner must hold its lock.

    Parameters
    ----------
    pool : Pool
        Servers, limits and outstanding grants.
    """

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self._last_report_by_source: dict[tuple[str, str], _CompletionReport] = {}
        self._failed_polls_by_server: dict[str, int] = {}

    def apply_notice(self, server_id: str, incarnation: str, now: float) -> list[str]:
        """Record a new incarnation, or a fault if the incarnation is empty."""
        server = self.pool.server_by_id.get(server_id)
        if server is None:
            return []
        limit_before = server.limit(self.pool.limits)
        if incarnation:
            server.record_incarnation(incarnation, self.pool.limits, now)
        else:
            server.record_fault(self.pool.limits, now)
        return self._list_if_limit_reduced(server, limit_before)

    def apply_poll(self, poll: PollResult, now: float) -> list[str]:
        """Update a server's reachability and phase from a poll."""
        server = self.pool.server_by_id.get(poll.server_id)
        if server is None:
            return []
        limits = self.pool.limits
        limit_before = server.limit(limits)
        failed_polls = 0
        if poll.outcome is PollOutcome.UNREACHABLE:
            failed_polls = self._failed_polls_by_server.get(poll.server_id, 0) + 1
            server.record_fault(limits, now)
        self._failed_polls_by_server[poll.server_id] = failed_polls
        server.reachable = failed_polls < UNREACHABLE_AFTER_FAILED_POLLS
        if poll.outcome is PollOutcome.NO_REPORT:
            server.reports_load = False
        report = poll.report
        if report is not None:
            server.apply_report(
                report.incarnation, warm=report.warm, limits=limits, now=now
            )
        return self._list_if_limit_reduced(server, limit_before)

    def apply_progress(
        self, holder: str, progress_by_server: Mapping[str, ServerProgress], now: float
    ) -> list[str]:
        """Count the completions that a node newly reports towards warming up."""
        reduced = []
        for server_id, progress in progress_by_server.items():
            server = self.pool.server_by_id.get(server_id)
            if server is None:
                continue
            limit_before = server.limit(self.pool.limits)
            server.record_incarnation(progress.incarnation, self.pool.limits, now)
            reduced += self._list_if_limit_reduced(server, limit_before)
            self._record_new_completions(server, holder, progress)
        return reduced

    def describe(self, now: float) -> dict[str, object]:
        """Return the state of the pool and its servers for the status endpoint."""
        pool = self.pool
        servers = {
            server_id: {
                "phase": server.phase.value,
                "in_service": server.in_service,
                "reachable": server.reachable,
                "limit": server.limit(pool.limits),
                "outstanding": pool.count_outstanding(server_id),
            }
            for server_id, server in sorted(pool.server_by_id.items())
        }
        return {
            "open": pool.is_open(now),
            "awaited": pool.list_awaited_nodes(),
            "servers": servers,
        }

    def _record_new_completions(
        self, server: PoolServer, holder: str, progress: ServerProgress
    ) -> None:
        source = (holder.partition("/")[0], server.server_id)
        previous = self._last_report_by_source.get(source)
        self._last_report_by_source[source] = _CompletionReport(
            holder, progress.incarnation, progress.completed
        )
        already_counted = 0
        if previous is not None and previous.holder == holder:
            if previous.incarnation == progress.incarnation:
                already_counted = previous.completed
        elif not server.has_restarted:
            # A new holder's total may include completions that it already reported
            # to another coordinator, so the first report is only a baseline.
            return
        server.record_completions(
            progress.completed - already_counted, progress.incarnation, self.pool.limits
        )

    def _list_if_limit_reduced(
        self, server: PoolServer, limit_before: int
    ) -> list[str]:
        reduced = server.limit(self.pool.limits) < limit_before
        return [server.server_id] if reduced else []


__all__ = ("CoordinatedPool",)
