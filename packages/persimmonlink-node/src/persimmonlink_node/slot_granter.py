"""Grants of slots on backend servers to this node."""

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
    """Keeps the dispatchers supplied with grants."""

    def start(self, timers: TimerService, progress: ProgressSource) -> None:
        """Begin to supply grants.

        Parameters
        ----------
        timers : TimerService
            Runs what is done at intervals.
        progress : ProgressSource
            Completions that this node has had of servers.
        """
        ...

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Take in that a server may have turned cold."""
        ...

    def describe(self) -> list[dict[str, object]]:
        """Return the pools that this node coordinates, for operators."""
        ...


class StaticSlotGranter:
    """Splits each server's warm slots evenly over the entry VMs of the list.

    The baseline: no node knows of the others' work, and a cold server is treated
    as a warm one.

    Parameters
    ----------
    state : NodeState
        Services, servers and entry VMs.
    dispatchers : ServiceDispatchers
        Where grants go.
    """

    def __init__(self, state: NodeState, dispatchers: ServiceDispatchers) -> None:
        self._state = state
        self._dispatchers = dispatchers

    def start(self, timers: TimerService, progress: ProgressSource) -> None:
        """Renew the grants at an interval."""
        timers.every(REFRESH_INTERVAL_S, self._refresh, "static-grants")

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Do nothing: the baseline knows of no cold servers."""

    def describe(self) -> list[dict[str, object]]:
        """Return nothing: no pool is coordinated."""
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
