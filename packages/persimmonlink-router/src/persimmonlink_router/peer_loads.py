"""Load of the other nodes on each server, as reported in their heartbeats."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from persimmonlink_router.peer_messages import EngineLoad

NO_LOAD = EngineLoad(0, 0)


@dataclass(frozen=True, slots=True)
class _Report:
    received_at: float
    load_by_server: Mapping[str, EngineLoad]


class PeerLoads:
    """Keeps the last load report of each node, and the sums over all nodes.

    Parameters
    ----------
    valid_s : float
        Age up to which a report counts, in seconds.
    """

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        # Oldest first.
        self._report_by_node: OrderedDict[str, _Report] = OrderedDict()
        self._sum_by_server: dict[str, EngineLoad] = {}

    def record(
        self, node_id: str, load_by_server: Mapping[str, EngineLoad], now: float
    ) -> None:
        """Record a node's load on each server, replacing its previous report."""
        self._discard(node_id)
        self._report_by_node[node_id] = _Report(now, load_by_server)
        for server_id, load in load_by_server.items():
            self._add(server_id, load, 1)

    def sum(self, server_id: str, now: float) -> EngineLoad:
        """Return the load on a server, summed over the reports that are valid."""
        self.discard_expired(now)
        return self._sum_by_server.get(server_id, NO_LOAD)

    def discard_expired(self, now: float) -> None:
        """Discard the reports that are no longer valid."""
        while self._report_by_node:
            node_id, report = next(iter(self._report_by_node.items()))
            if now - report.received_at <= self._valid_s:
                return
            self._discard(node_id)

    def _discard(self, node_id: str) -> None:
        report = self._report_by_node.pop(node_id, None)
        if report is None:
            return
        for server_id, load in report.load_by_server.items():
            self._add(server_id, load, -1)

    def _add(self, server_id: str, load: EngineLoad, sign: int) -> None:
        known = self._sum_by_server.get(server_id, NO_LOAD)
        total = EngineLoad(
            known.in_flight + sign * load.in_flight,
            known.unread_tokens + sign * load.unread_tokens,
        )
        if total == NO_LOAD:
            self._sum_by_server.pop(server_id, None)
        else:
            self._sum_by_server[server_id] = total


__all__ = ("PeerLoads",)
