"""Tells the runs of a server apart that have the same entry in the store."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_router.server_ends import InterruptedRequest
    from persimmonlink_router.servers import Server, ServerKey

# A request that was sent later than this after an end was taken by a new run. Within it
# the request may have been written to a connection whose end was not seen yet.
MIN_RESTART_S = 0.3
MAX_SERVERS = 1024  # Servers that are remembered, those that ended last.


@dataclass(slots=True)
class _LastRun:
    number: int
    ended_at: float


class ServerRuns:
    """Names the runs of servers that ended.

    A server that restarts at its address looks the same to a node until the store tells
    its new start time, which it can't while it is silent.
    """

    def __init__(self) -> None:
        self._last_run_by_key: OrderedDict[ServerKey, _LastRun] = OrderedDict()

    def name_ended_run(
        self, server: Server, requests: Sequence[InterruptedRequest]
    ) -> str:
        """Name the run that ended under some requests, the same for one end."""
        name = f"{server.server_id}/{server.started_at_ms}/{server.address}"
        ended_at = max(request.interrupted_at for request in requests)
        sent_at = max(request.sent_at for request in requests)
        run = self._last_run_by_key.pop(server.key, None)
        if run is None:
            run = _LastRun(0, ended_at)
        elif sent_at > run.ended_at + MIN_RESTART_S:
            run.number += 1
        run.ended_at = max(run.ended_at, ended_at)
        self._last_run_by_key[server.key] = run
        while len(self._last_run_by_key) > MAX_SERVERS:
            self._last_run_by_key.popitem(last=False)
        return f"{name}/{run.number}" if run.number else name


__all__ = ("MIN_RESTART_S", "ServerRuns")
