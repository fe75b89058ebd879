"""Limits that hold over all nodes together, split without messages.

Both answer for a load at which nodes can't agree in time: each node keeps to its part
of a sum, so that the sum holds whichever nodes see each other.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

COLD_WINDOW_S = 1.1  # The bound holds for any second; a tenth covers the way there.
USABLE_BUDGET_SHARE = (
    0.8  # Part of the retry budget in use, as nodes count differently.
)


class ColdSendLimit:
    """Sends to each cold server within a second.

    Parameters
    ----------
    burst_factor : float
        Factor of the rate that a cold server bears.
    slack : float
        Requests that may come on top in any second.
    """

    def __init__(self, burst_factor: float, slack: float) -> None:
        self._burst_factor = burst_factor
        self._slack = slack
        self._sends_by_key: dict[Hashable, deque[float]] = {}

    def configure(self, burst_factor: float, slack: float) -> None:
        """Change the bound."""
        self._burst_factor = burst_factor
        self._slack = slack

    def may_send(self, key: Hashable, rate: float, nodes: int, now: float) -> bool:
        """Whether this node may send one more request to a cold server.

        Parameters
        ----------
        key : hashable
            The server incarnation.
        rate : float
            Requests a second that it bears.
        nodes : int
            Nodes that share the bound.
        now : float
            Boot time, in seconds.
        """
        node_share = (rate * self._burst_factor + self._slack) / max(1, nodes)
        sends = self._sends_by_key.setdefault(key, deque())
        window_s = COLD_WINDOW_S if node_share >= 1 else COLD_WINDOW_S / node_share
        while sends and sends[0] <= now - window_s:
            sends.popleft()
        return len(sends) < max(1, int(node_share))

    def record_send(self, key: Hashable, now: float) -> None:
        """Count a request that is sent."""
        self._sends_by_key.setdefault(key, deque()).append(now)

    def retain_servers(self, keys: Collection[Hashable]) -> None:
        """Forget all servers but some."""
        for key in list(self._sends_by_key):
            if key not in keys:
                del self._sends_by_key[key]


class RetryBudget:
    """Second sends of requests, within a window, for each service.

    Parameters
    ----------
    ratio : float
        Second sends allowed for each request.
    slack : float
        Second sends allowed on top, over all nodes.
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests_by_service: dict[str, deque[float]] = {}
        self._retries_by_service: dict[str, deque[float]] = {}

    def configure(self, ratio: float, slack: float) -> None:
        """Change the budget."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        times = self._requests_by_service.setdefault(service, deque())
        times.append(now)
        self._trim(times, now)

    def allows(self, service: str, nodes: int, now: float) -> bool:
        """Whether a second send is within this node's part of the budget."""
        retries = self._retries_by_service.setdefault(service, deque())
        requests = self._requests_by_service.setdefault(service, deque())
        self._trim(retries, now)
        self._trim(requests, now)
        allowed = self._ratio * len(requests) + self._slack / max(1, nodes)
        return len(retries) + 1 <= allowed * USABLE_BUDGET_SHARE

    def try_acquire(self, service: str, nodes: int, now: float) -> bool:
        """Count a second send if it is within this node's part of the budget."""
        if not self.allows(service, nodes, now):
            return False
        self._retries_by_service[service].append(now)
        return True

    def _trim(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()


__all__ = ("ColdSendLimit", "RetryBudget")
