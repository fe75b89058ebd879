"""Polls the load reports of backend servers, with one timer per server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from threading import Lock
from typing import TYPE_CHECKING

import msgspec
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from persimmonlink_interfaces.bounded_response import read_body
from persimmonlink_interfaces.clock import Subscription
from persimmonlink_interfaces.connection import create_pool, create_timeout

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from persimmonlink_interfaces.clock import TimerService

POLL_TIMEOUT_S = 0.4
HTTP_OK = 200


class PollOutcome(StrEnum):
    """Outcome of one poll."""

    REPORTED = "reported"
    NO_REPORT = "no_report"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class LoadReport:
    """A server's report of its load, which lags behind its actual state.

    Parameters
    ----------
    incarnation : str
        Incarnation of the server, which changes with each restart.
    running : int
        Requests running on the server.
    waiting : int
        Requests queued on the server.
    warm : bool
        Whether the server had warmed up.
    """

    incarnation: str
    running: int = 0
    waiting: int = 0
    warm: bool = False


@dataclass(frozen=True)
class PollResult:
    """Result of polling one server.

    Parameters
    ----------
    server_id : str
        Server that was polled.
    outcome : PollOutcome
        Whether the server answered with a load report.
    report : LoadReport or None
        The report if the outcome is `REPORTED`.
    """

    server_id: str
    outcome: PollOutcome
    report: LoadReport | None = None


@dataclass(frozen=True)
class _PolledServer:
    subscription: Subscription
    pool: HTTPConnectionPool


class LoadPoller:
    """Polls a changing set of servers at a fixed interval.

    Parameters
    ----------
    interval_s : float
        Time between two polls of a server, in seconds.
    on_poll : callable
        Called with each result, on the timer's thread.
    """

    def __init__(
        self, interval_s: float, on_poll: Callable[[PollResult], None]
    ) -> None:
        self._interval_s = interval_s
        self._on_poll = on_poll
        self._lock = Lock()
        self._polled_by_address: dict[tuple[str, str], _PolledServer] = {}

    def set_servers(
        self, address_by_server: Mapping[str, str], timers: TimerService
    ) -> None:
        """Replace the set of polled servers."""
        wanted = set(address_by_server.items())
        with self._lock:
            for pair in wanted - self._polled_by_address.keys():
                self._polled_by_address[pair] = self._subscribe(*pair, timers)
            for pair in self._polled_by_address.keys() - wanted:
                polled = self._polled_by_address.pop(pair)
                polled.subscription.cancel()
                polled.pool.close()

    def _subscribe(
        self, server_id: str, address: str, timers: TimerService
    ) -> _PolledServer:
        pool = create_pool(address)

        def poll() -> None:
            self._on_poll(_poll(server_id, pool))

        subscription = timers.every(self._interval_s, poll, f"load-{server_id}")
        return _PolledServer(subscription, pool)


def _poll(server_id: str, pool: HTTPConnectionPool) -> PollResult:
    try:
        response = pool.urlopen(
            "GET",
            "/load",
            timeout=create_timeout(POLL_TIMEOUT_S),
            redirect=False,
            preload_content=False,
        )
        data = read_body(response, POLL_TIMEOUT_S)
        if response.status != HTTP_OK:
            return PollResult(server_id, PollOutcome.NO_REPORT)
        report = msgspec.json.decode(data, type=LoadReport)
    except (HTTPError, OSError):
        return PollResult(server_id, PollOutcome.UNREACHABLE)
    except msgspec.MsgspecError:
        return PollResult(server_id, PollOutcome.NO_REPORT)
    return PollResult(server_id, PollOutcome.REPORTED, report)


__all__ = ("LoadPoller", "LoadReport", "PollOutcome", "PollResult")
