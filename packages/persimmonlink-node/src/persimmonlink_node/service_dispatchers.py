"""The dispatchers of all services on this node."""

from __future__ import annotations

import random
from threading import Lock
from typing import TYPE_CHECKING

from persimmonlink_model.request_queue import FairQueue, FifoQueue, RequestQueue
from persimmonlink_node.dispatcher import ServiceDispatcher
from persimmonlink_node.reported_load import (
    LeastReportedLoadChooser,
    PowerOfTwoChooser,
    ReportedLoads,
)
from persimmonlink_node.server_chooser import (
    AffinityChooser,
    MostFreeChooser,
    RandomChooser,
    RoundRobinChooser,
    ServerChooser,
)
from persimmonlink_node.settings import (
    ChooserName,
    GranterName,
    PolicySettings,
    QueueName,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.latency_tracker import LatencyTracker


class ServiceDispatchers:
    """Dispatchers by service, created on first use.

    Parameters
    ----------
    policy : PolicySettings
        Names of the granter, the queue order and the chooser.
    clock : Clock
        Time source.
    is_in_own_domain : callable
        Returns whether a server is in the node's own failure domain.
    latencies : LatencyTracker
        Measured server latencies, for the affinity chooser.
    loads : ReportedLoads
        Reported loads, for the baselines that choose servers by them.
    """

    def __init__(
        self,
        policy: PolicySettings,
        clock: Clock,
        is_in_own_domain: Callable[[str], bool],
        latencies: LatencyTracker,
        loads: ReportedLoads,
    ) -> None:
        self._policy = policy
        self._loads = loads
        self._clock = clock
        self._is_in_own_domain = is_in_own_domain
        self._latencies = latencies
        self._lock = Lock()
        self._dispatcher_by_service: dict[str, ServiceDispatcher] = {}

    def get(self, service: str) -> ServiceDispatcher:
        """Return the dispatcher of a service, creating it if needed."""
        with self._lock:
            dispatcher = self._dispatcher_by_service.get(service)
            if dispatcher is None:
                dispatcher = ServiceDispatcher(
                    service,
                    _create_queue(self._policy.line),
                    self._create_chooser(),
                    self._clock,
                )
                self._dispatcher_by_service[service] = dispatcher
            return dispatcher

    def describe(self) -> dict[str, object]:
        """Return the state of all dispatchers for the status endpoint."""
        with self._lock:
            dispatchers = list(self._dispatcher_by_service.values())
        return {each.service: each.describe() for each in dispatchers}

    def _create_chooser(self) -> ServerChooser:
        if self._policy.granter is GranterName.POWER_OF_TWO:
            return PowerOfTwoChooser(self._loads, random.Random())
        if self._policy.granter is GranterName.LEAST_REPORTED_LOAD:
            return LeastReportedLoadChooser(self._loads, random.Random())
        name = self._policy.chooser
        if name is ChooserName.RANDOM:
            return RandomChooser(random.Random())
        if name is ChooserName.ROUND_ROBIN:
            return RoundRobinChooser()
        if name is ChooserName.MOST_FREE:
            return MostFreeChooser(random.Random())
        return AffinityChooser(random.Random(), self._is_in_own_domain, self._latencies)


def _create_queue(name: QueueName) -> RequestQueue:
    if name is QueueName.FIFO:
        return FifoQueue()
    return FairQueue()


__all__ = ("ServiceDispatchers",)
