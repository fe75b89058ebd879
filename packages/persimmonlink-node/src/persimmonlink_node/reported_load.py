"""Baselines without grants: servers chosen by their lagging load reports."""

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
    """The last load report of each server; safe for all threads."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._load_by_server: dict[str, int] = {}

    def apply_poll(self, poll: PollResult) -> None:
        """Take in a poll of a server."""
        if poll.report is None:
            return
        with self._lock:
            load = poll.report.running + poll.report.waiting
            self._load_by_server[poll.server_id] = load

    def read(self, server_id: str) -> int:
        """Return a server's reported load, 0 if it reported none."""
        with self._lock:
            return self._load_by_server.get(server_id, 0)


class LeastReportedLoadChooser:
    """Chooses the server that reported the least load, ties at random.

    Parameters
    ----------
    loads : ReportedLoads
        The reports.
    random : random.Random
        Source of randomness.
    """

    def __init__(self, loads: ReportedLoads, random: random.Random) -> None:
        self._loads = loads
        self._random = random

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return one of the servers."""
        names = sorted(free_by_server)
        self._random.shuffle(names)
        return min(names, key=self._loads.read)


class PowerOfTwoChooser:
    """Chooses the less loaded of two servers taken at random.

    Parameters
    ----------
    loads : ReportedLoads
        The reports.
    random : random.Random
        Source of randomness.
    """

    def __init__(self, loads: ReportedLoads, random: random.Random) -> None:
        self._loads = loads
        self._random = random

    def choose(self, queue_entry: QueueEntry, free_by_server: Mapping[str, int]) -> str:
        """Return one of the servers."""
        names = sorted(free_by_server)
        sample = self._random.sample(names, min(2, len(names)))
        return min(sample, key=self._loads.read)


class ReportedLoadGranter:
    """Lets this node use every server up to its warm slots, whatever others do.

    Parameters
    ----------
    state : NodeState
        Services and servers.
    dispatchers : ServiceDispatchers
        Where grants go.
    loads : ReportedLoads
        Where reports go.
    poll_interval_s : float
        Seconds between two reads of a server's report.
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
        """Renew the grants at an interval."""

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
        """Do nothing: the baseline knows of no cold servers."""

    def describe(self) -> list[dict[str, object]]:
        """Return nothing: no pool is coordinated."""
        return []


__all__ = (
    "LeastReportedLoadChooser",
    "PowerOfTwoChooser",
    "ReportedLoadGranter",
    "ReportedLoads",
)
