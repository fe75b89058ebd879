"""Prediction of the time for which a request will wait for a slot of one service."""

from __future__ import annotations

from dataclasses import dataclass, field

EWMA_WEIGHT = 0.2  # Weight of the latest sample in the moving average.
ESTIMATE_HALF_LIFE_S = 4.0  # Half-life of the average while no samples arrive.


@dataclass(frozen=True)
class WaitEntry:
    """Account and priority under which a waiting request is counted.

    Parameters
    ----------
    account : str
        Client account.
    priority : int
        Priority within the account; smaller values run first.
    """

    account: str
    priority: int


@dataclass(frozen=True)
class _ExpectedRequest:
    priority: int
    expires_at: float


@dataclass
class _AccountQueue:
    seconds_per_position: float = 0.0
    observed_at: float = 0.0
    last_served_at: float = 0.0
    waiting_by_priority: dict[int, int] = field(default_factory=dict)
    expected_by_request: dict[str, _ExpectedRequest] = field(default_factory=dict)

    def estimate_per_position(self, now: float) -> float:
        """Return the mean wait for each queue position, decayed by its age."""
        halvings = max(0.0, now - self.observed_at) / ESTIMATE_HALF_LIFE_S
        return self.seconds_per_position * 0.5**halvings

    def count_ahead(self, priority: int, now: float) -> int:
        """Return the number of requests to be served before a new one of a priority."""
        ahead = 0
        for other, waiting in self.waiting_by_priority.items():
            if other <= priority:
                ahead += waiting
        for request_id, expected in list(self.expected_by_request.items()):
            if expected.expires_at <= now:
                del self.expected_by_request[request_id]
            elif expected.priority <= priority:
                ahead += 1
        return ahead


class WaitPredictor:
    """Expected waits by account, derived from the time between served requests.

    The waits of served requests would be a biased sample: requests are served if they
    arrived early or found a short queue.

    Not thread-safe; the owner serializes access.
    """

    def __init__(self) -> None:
        self._queue_by_account: dict[str, _AccountQueue] = {}

    def predict_s(self, account: str, priority: int, now: float) -> float:
        """Return the expected wait of a request that arrives now, in seconds.

        The prediction decays while there are no samples, so that an account whose
        requests were refused for a while is admitted again.
        """
        queue = self._queue_by_account.get(account)
        if queue is None:
            return 0.0
        return queue.estimate_per_position(now) * (queue.count_ahead(priority, now) + 1)

    def add_expected(
        self, account: str, priority: int, request_id: str, expires_at: float
    ) -> None:
        """Count a request that is still in an earlier stage as waiting.

        It counts until it arrives or is removed, at most until `expires_at`.
        """
        queue = self._queue_by_account.setdefault(account, _AccountQueue())
        queue.expected_by_request[request_id] = _ExpectedRequest(priority, expires_at)

    def remove_expected(self, account: str, request_id: str) -> None:
        """Stop counting a request that ended before it arrived."""
        queue = self._queue_by_account.get(account)
        if queue is not None:
            queue.expected_by_request.pop(request_id, None)

    def record_arrival(
        self, account: str, priority: int, now: float, request_id: str = ""
    ) -> WaitEntry:
        """Record that a request starts to wait."""
        queue = self._queue_by_account.setdefault(account, _AccountQueue())
        queue.expected_by_request.pop(request_id, None)
        if not queue.waiting_by_priority:
            queue.last_served_at = now
        waiting = queue.waiting_by_priority.get(priority, 0)
        queue.waiting_by_priority[priority] = waiting + 1
        return WaitEntry(account, priority)

    def record_departure(self, entry: WaitEntry, now: float, *, served: bool) -> None:
        """Record that a request got a slot or stopped waiting."""
        queue = self._queue_by_account[entry.account]
        waiting = queue.waiting_by_priority[entry.priority] - 1
        if waiting:
            queue.waiting_by_priority[entry.priority] = waiting
        else:
            del queue.waiting_by_priority[entry.priority]
        known = queue.seconds_per_position
        sample = now - queue.last_served_at
        # A request that stopped waiting gives only a lower bound of the time for a
        # position.
        if not served and sample < known:
            return
        queue.seconds_per_position = known + EWMA_WEIGHT * (sample - known)
        queue.observed_at = now
        if served:
            queue.last_served_at = now


__all__ = ("WaitEntry", "WaitPredictor")
