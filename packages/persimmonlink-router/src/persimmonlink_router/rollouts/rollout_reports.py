"""Outcomes of a rollout that the nodes report to each other, summed."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.rollouts.version_evidence import (
    OutcomeCounts,
    read_evidence,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from persimmonlink_router.rollouts.rollout_messages import ReportRollout

MAX_NODES = 1024  # Nodes whose reports on one rollout are kept.


@dataclass(frozen=True, slots=True)
class _NodeReport:
    received_at: float
    old_in_flight: int
    counts_by_side: dict[tuple[str, bool], OutcomeCounts]


class RolloutReports:
    """The newest report of each node on the rollout of one service.

    Parameters
    ----------
    order_revision : int
        Revision of the order that they are about.
    """

    def __init__(self, order_revision: int) -> None:
        self.order_revision = order_revision
        self._report_by_node: dict[str, _NodeReport] = {}

    def record(self, message: ReportRollout, now: float) -> None:
        """Take a node's report, in place of its last one."""
        node_id = message.sender.node_id
        is_full = len(self._report_by_node) >= MAX_NODES
        if is_full and node_id not in self._report_by_node:
            return
        self._report_by_node[node_id] = _NodeReport(
            now, message.old_in_flight, read_evidence(message.evidence)
        )

    def sum_counts(self) -> dict[tuple[str, bool], OutcomeCounts]:
        """Return the outcomes of all nodes by route and side.

        Nodes that have left count with their last report.
        """
        total_by_side: dict[tuple[str, bool], OutcomeCounts] = {}
        for report in self._report_by_node.values():
            for side, counts in report.counts_by_side.items():
                total_by_side.setdefault(side, OutcomeCounts()).add(counts)
        return total_by_side

    def count_fresh(self, node_ids: Collection[str], since: float) -> int:
        """Return how many of some nodes have reported since a boot time, in seconds."""
        return sum(1 for node_id in node_ids if self._find_time(node_id) >= since)

    def sum_old_in_flight(self, since: float) -> int:
        """Return the requests at old versions by the reports since a boot time."""
        return sum(
            report.old_in_flight
            for report in self._report_by_node.values()
            if report.received_at >= since
        )

    def _find_time(self, node_id: str) -> float:
        report = self._report_by_node.get(node_id)
        return -math.inf if report is None else report.received_at


__all__ = ("RolloutReports",)
