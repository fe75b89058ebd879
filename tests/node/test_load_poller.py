"""The load poller keeps connections only to the servers that it polls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from persimmonlink_node import load_poller
from persimmonlink_node.load_poller import LoadPoller

if TYPE_CHECKING:
    import pytest


class RecordedPool:
    def __init__(self) -> None:
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True


class FakeTimers:
    def every(self, _interval_s: float, _callback: Any, _name: str) -> FakeTimers:
        return self

    def cancel(self) -> None:
        pass


def test_connections_to_servers_that_left_are_closed(monkeypatch: pytest.MonkeyPatch):
    pool_by_address: dict[str, RecordedPool] = {}
    monkeypatch.setattr(
        load_poller,
        "create_pool",
        lambda address: pool_by_address.setdefault(address, RecordedPool()),
    )
    timers: Any = FakeTimers()
    poller = LoadPoller(1.0, lambda _result: None)
    poller.set_servers({"s1": "10.0.0.1:1", "s2": "10.0.0.2:1"}, timers)
    poller.set_servers({"s2": "10.0.0.2:1"}, timers)
    assert pool_by_address["10.0.0.1:1"].is_closed
    assert not pool_by_address["10.0.0.2:1"].is_closed
