"""Limits on the sends of all nodes together, enforced without messages.

Nodes cannot agree on every send in time. Each one keeps to its share of the total, so
that the total holds whichever nodes can reach each other.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

# The limit applies to each period of 1 s as the server sees it; the window is a tenth
# longer, because the network delay of the requests varies.
COLD_WINDOW_S = 1.1
# Only this part of the retry budget is used, as nodes count requests differently.
USABLE_BUDGET_SHARE = 0.8


class ColdSendLimit:
    """Limits the requests sent to each cold server within a second.

    Parameters
    ----------
    burst_factor : float
        Multiple of a cold server's sustainable rate that all nodes may send together.
    slack : float
        Requests that all nodes may send in addition in any second.
    """

    def __init__(self, burst_factor: float, slack: float) -> None:
        self._burst_factor = burst_factor
        self._slack = slack
        self._sends_by_key: dict[Hashable, deque[float]] = {}

    def configure(self, burst_factor: float, slack: float) -> None:
        """Replace the limit."""
        self._burst_factor = burst_factor
        self._slack = slack

    def may_send(self, key: Hashable, rate: float, nodes: int, now: float) -> bool:
        """Whether this node may send one more request to a cold server.

        Parameters
        ----------
        key : hashable
            The server incarnation.
        rate : float
            Requests per second that the server sustains while cold.
        nodes : int
            Number of nodes that share the limit.
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
        """Record a request sent to a cold server at a boot time, in seconds."""
        self._sends_by_key.setdefault(key, deque()).append(now)

    def retain_servers(self, keys: Collection[Hashable]) -> None:
        """Discard the send times of all other servers."""
        for key in list(self._sends_by_key):
            if key not in keys:
                del self._sends_by_key[key]


class RetryBudget:
    """Limits the retries to each service within a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition, for all nodes together.
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
        """Replace the ratio and the slack."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, service: str, now: float) -> None:
        """Record the first send of a request."""
        times = self._requests_by_service.setdefault(service, deque())
        times.append(now)
        self._trim(times, now)

    def allows(self, service: str, nodes: int, now: float) -> bool:
        """Whether another retry is within this node's share of the budget."""
        retries = self._retries_by_service.setdefault(service, deque())
        requests = self._requests_by_service.setdefault(service, deque())
        self._trim(retries, now)
        self._trim(requests, now)
        allowed = self._ratio * len(requests) + self._slack / max(1, nodes)
        return len(retries) + 1 <= allowed * USABLE_BUDGET_SHARE

    def try_acquire(self, service: str, nodes: int, now: float) -> bool:
        """Record a retry if the budget allows it; return whether it does."""
        if not self.allows(service, nodes, now):
            return False
        self._retries_by_service[service].append(now)
        return True

    def _trim(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()


__all__ = ("ColdSendLimit", "RetryBudget")
