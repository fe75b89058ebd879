"""Sources of slot grants for this node's dispatchers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from persimmonlink_model.slots import SlotGrant

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import TimerService
    from persimmonlink_node.cold_server_detector import ProgressSource
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.service_dispatchers import ServiceDispatchers

REFRESH_INTERVAL_S = 0.25


class SlotGranter(Protocol):
    """Provides the dispatchers with slot grants."""

    def start(self, timers: TimerService, progress: ProgressSource) -> None:
        """Start providing grants.

        Parameters
        ----------
        timers : TimerService
            Timers for periodic work.
        progress : ProgressSource
            Completions that this node has counted on each server.
        """
        ...

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Handle a server that may have turned cold."""
        ...

    def describe(self) -> list[dict[str, object]]:
        """Return the pools that this node coordinates, for the status endpoint."""
        ...


class StaticSlotGranter:
    """Splits each server's warm slots evenly over all entry VMs.

    A baseline: it ignores the load of other nodes and treats cold servers like warm
    ones.

    Parameters
    ----------
    state : NodeState
        Services, servers and entry VMs.
    dispatchers : ServiceDispatchers
        Dispatchers that receive the grants.
    """

    def __init__(self, state: NodeState, dispatchers: ServiceDispatchers) -> None:
        self._state = state
        self._dispatchers = dispatchers

    def start(self, timers: TimerService, progress: ProgressSource) -> None:
        """Start refreshing the grants periodically."""
        timers.every(REFRESH_INTERVAL_S, self._refresh, "static-grants")

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Do nothing: this baseline treats cold servers like warm ones."""

    def describe(self) -> list[dict[str, object]]:
        """Return an empty list: this baseline coordinates no pools."""
        return []

    def _refresh(self) -> None:
        nodes = max(1, len(self._state.list_entry_vms()))
        for service, spec in self._state.list_services().items():
            slots = max(1, spec.warm_slots // nodes)
            grant_by_server = {}
            for vm in self._state.list_servers(service):
                grant_by_server[vm.vm_id] = SlotGrant(vm.vm_id, slots, math.inf)
            self._dispatchers.get(service).set_grants(grant_by_server)


__all__ = ("SlotGranter", "StaticSlotGranter")
