"""Load of the other nodes on each server, as reported in their heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.peer_messages import EngineLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

RETENTION_S = 5.0  # Age at which a node's last report is discarded.


class PeerLoads:
    """Keeps the last load report of each node.

    Parameters
    ----------
    valid_s : float
        Age up to which a report counts, in seconds.
    """

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        self._load_by_node: dict[str, tuple[float, Mapping[str, EngineLoad]]] = {}

    def record(
        self, node_id: str, load_by_server: Mapping[str, EngineLoad], now: float
    ) -> None:
        """Record a node's load on each server, replacing its previous report."""
        self._load_by_node[node_id] = (now, load_by_server)

    def sum(self, server_id: str, now: float) -> EngineLoad:
        """Return the load on a server, summed over the reports that are valid."""
        in_flight = 0
        unread = 0
        for received_at, load_by_server in self._load_by_node.values():
            load = load_by_server.get(server_id)
            if load is None or now - received_at > self._valid_s:
                continue
            in_flight += load.in_flight
            unread += load.unread_tokens
        return EngineLoad(in_flight, unread)

    def discard_expired(self, now: float) -> None:
        """Discard reports older than `RETENTION_S`."""
        for node_id, (received_at, _) in list(self._load_by_node.items()):
            if now - received_at > RETENTION_S:
                del self._load_by_node[node_id]


__all__ = ("PeerLoads",)
