"""Baselines without coordination: servers are chosen by lagging load reports."""

from __future__ import annotations

import math
from threading import Lock
from typing import TYPE_CHECKING

from persimmonlink_model.slots import SlotGrant
from persimmonlink_node.load_poller import LoadPoller, PollResult

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from persimmonlink_interfaces.clock import TimerService
    from persimmonlink_model.request_queue import QueueEntry
    from persimmonlink_node.cold_server_detector import ProgressSource
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.service_dispatchers import ServiceDispatchers

REFRESH_INTERVAL_S = 0.25


class ReportedLoads:
    """The last reported load of each server; thread-safe."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._load_by_server: dict[str, int] = {}

    def apply_poll(self, poll: PollResult) -> None:
        """Store the load in a poll result; a poll without a report is ignored."""
        if poll.report is None:
            return
        with self._lock:
            load = poll.report.running + poll.report.waiting
            self._load_by_server[poll.server_id] = load

    def read(self, server_id: str) -> int:
        """Return a server's last reported load, or 0 if it has reported none."""
        with self._lock:
            return self._load_by_server.get(server_id, 0)


class LeastReportedLoadChooser:
    """Chooses the server with the least reported load; ties are broken at random.

    Parameters
    ----------
    loads : ReportedLoads
        Last reported loads.
    rng : random.Random
        Generator that breaks ties.
    """

    def __init__(self, loads: ReportedLoads, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return the server with the least reported load."""
        names = sorted(free_by_server)
        self._rng.shuffle(names)
        return min(names, key=self._loads.read)


class PowerOfTwoChooser:
    """Samples two servers at random and chooses the one with less reported load.

    Parameters
    ----------
    loads : ReportedLoads
        Last reported loads.
    rng : random.Random
        Generator that samples the two servers.
    """

    def __init__(self, loads: ReportedLoads, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return the sampled server with the least reported load."""
        names = sorted(free_by_server)
        sample = self._rng.sample(names, min(2, len(names)))
        return min(sample, key=self._loads.read)


class ReportedLoadGranter:
    """Grants this node all warm slots of every server, regardless of other nodes.

    Parameters
    ----------
    state : NodeState
        Services and servers.
    dispatchers : ServiceDispatchers
        Dispatchers that receive the grants.
    loads : ReportedLoads
        Store of the polled loads.
    poll_interval_s : float
        Time between two polls of a server, in seconds.
    """

    def __init__(
        self,
        state: NodeState,
        dispatchers: ServiceDispatchers,
        loads: ReportedLoads,
        poll_interval_s: float,
    ) -> None:
        self._state = state
        self._dispatchers = dispatchers
        self._poller = LoadPoller(poll_interval_s, loads.apply_poll)

    def start(self, timers: TimerService, progress: ProgressSource) -> None:
        """Start polling servers and refreshing the grants periodically."""

        def refresh() -> None:
            address_by_server = {}
            for service, spec in self._state.list_services().items():
                grant_by_server = {}
                for vm in self._state.list_servers(service):
                    address_by_server[vm.vm_id] = vm.address
                    grant = SlotGrant(vm.vm_id, spec.warm_slots, math.inf)
                    grant_by_server[vm.vm_id] = grant
                self._dispatchers.get(service).set_grants(grant_by_server)
            self._poller.set_servers(address_by_server, timers)

        timers.every(REFRESH_INTERVAL_S, refresh, "reported-load-grants")

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Do nothing: this baseline treats cold servers like warm ones."""

    def describe(self) -> list[dict[str, object]]:
        """Return an empty list: this baseline coordinates no pools."""
        return []


__all__ = (
    "LeastReportedLoadChooser",
    "PowerOfTwoChooser",
    "ReportedLoadGranter",
    "ReportedLoads",
)
