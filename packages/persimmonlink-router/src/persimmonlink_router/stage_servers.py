"""Calls, memory and latency of the stage servers, as the coordinator tracks them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.server_load.slowness_forecast import SlownessForecast
from persimmonlink_router.stage_queue import estimate_call_s
from persimmonlink_router.wire_messages import PieceFailure

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Sequence

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.configuration import BatchSpec, Service
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_queue import StageQueue
    from persimmonlink_router.wire_messages import PieceResult

CALL_TIMEOUT_FACTOR = 1.8  # Timeout of a call, as a multiple of its expected time.
CALL_TIMEOUT_MARGIN_S = 0.2  # Added to the timeout of a call for the network.
# Added to the timeout of a call while another node may send the server calls too.
SHARED_CALL_TIMEOUT_MARGIN_S = 0.6
# Name under which the outcomes of calls are counted, in place of a route's.
CALLS_ROUTE = ""
BACKOFF_S = 0.1  # Time without calls for a server that refused or failed one.
UNREACHABLE_BACKOFF_S = 1.5  # Time without calls for a server that can't be reached.
SLOW_FACTOR = 1.6  # Slowness above which waiting for a faster server may be better.
MAX_FAILURE_SHARE = 0.5  # Share of failures above which a server adds no capacity.
# Weight of the failure share in the slowness of a server: one that fails all calls
# counts as 1 + 4 times as slow.
FAILURE_SLOWNESS_FACTOR = 4
# Time for which a server is assumed to get calls of another node too, after a sign of
# that or a change of the coordinator.
SHARED_USE_S = 1.0
# That time for all servers, after one did not find the inputs of a call: another node
# coordinates too, until the members see each other again.
OTHER_COORDINATOR_S = 3.0
# A call that takes more than this multiple of its expected time suggests that another
# node sends calls to the server too.
INTERFERENCE_FACTOR = 1.2
INITIAL_FILL_FRACTION = 0.75  # Fill of batches that is assumed until it is observed.
FILL_WEIGHT = 0.1  # Weight of the newest batch in the moving average of the fill.
FULL_BACKOFF_S = 0.15  # Time without calls for a server without room for any piece.
# Part of a server's memory for results that is used, since their sizes are estimates.
USABLE_ROOM_FRACTION = 0.94


@dataclass(slots=True)
class StageServerState:
    """Calls and memory of a stage server.

    Parameters
    ----------
    calls_in_flight : int
        Calls that have not ended.
    held_bytes : float
        Memory of the results that this coordinator tracks, including those of calls
        in flight, in bytes.
    busy_until : float
        Boot time at which the last call is expected to end, in seconds.
    blocked_until : float
        Boot time before which no call is sent, in seconds.
    shared_until : float
        Boot time until which another node may send calls too, in seconds.
    untracked_bytes : float
        Memory of other results when it was last observed, in bytes.
    untracked_seen_at : float
        Boot time of that observation, in seconds.
    """

    calls_in_flight: int = 0
    held_bytes: float = 0.0
    busy_until: float = 0.0
    blocked_until: float = 0.0
    shared_until: float = 0.0
    untracked_bytes: float = 0.0
    untracked_seen_at: float = 0.0

    def free_memory(self, size_bytes: float) -> None:
        """Subtract a size from the memory that is held."""
        self.held_bytes = max(0.0, self.held_bytes - size_bytes)

    def room_bytes(self, spec: BatchSpec, now: float) -> float:
        """Return the memory that is free for results, in bytes."""
        untracked_bytes = self._estimate_untracked_bytes(spec, now)
        if not self.held_bytes and not untracked_bytes:
            return spec.result_capacity_bytes
        room_bytes = spec.result_capacity_bytes * USABLE_ROOM_FRACTION
        return room_bytes - self.held_bytes - untracked_bytes

    def record_no_room(
        self, spec: BatchSpec, rejected_bytes: float, now: float
    ) -> None:
        """Derive the untracked memory from results that found no room.

        `rejected_bytes` is the size of these results, still counted as held. The
        untracked memory may hold results of the previous coordinator.
        """
        fitting_bytes = self.held_bytes - rejected_bytes
        self.untracked_bytes = max(0.0, spec.result_capacity_bytes - fitting_bytes)
        self.untracked_seen_at = now

    def _estimate_untracked_bytes(self, spec: BatchSpec, now: float) -> float:
        """Return the untracked memory in bytes, which decreases as results expire."""
        age_s = now - self.untracked_seen_at
        if age_s >= spec.result_ttl_s:
            return 0.0
        return self.untracked_bytes * (1 - age_s / spec.result_ttl_s)


class StageServers:
    """Tracks the stage servers and chooses those that are sent the next call.

    Parameters
    ----------
    cluster_view : ClusterView
        Directory of the servers.
    health : ServerHealth
        Latency and failures of the servers.

    Attributes
    ----------
    forecast : SlownessForecast
        Predicts how long calls take, from what servers report too.
    """

    def __init__(self, cluster_view: ClusterView, health: ServerHealth) -> None:
        self._cluster_view = cluster_view
        self._health = health
        self.forecast = SlownessForecast()
        self._state_by_key: dict[Hashable, StageServerState] = {}
        self._fill_fraction_by_service: dict[str, float] = {}
        self._all_shared_until = -math.inf

    def state(self, server: Server) -> StageServerState:
        """Return the state of a server."""
        state = self._state_by_key.get(server.key)
        if state is None:
            state = self._state_by_key[server.key] = StageServerState()
        return state

    def choose_servers(
        self, service: Service, queue: StageQueue, now: float
    ) -> list[Server]:
        """Return the servers that may be sent a call now, the fastest first.

        Of servers that are as fast, the one goes first in whose domain the first piece
        has its data.
        """
        spec = service.batch
        if spec is None:
            return []
        idle: list[Server] = []
        busy: list[Server] = []
        servers = self._cluster_view.servers
        usable = servers.list_usable(service.name)
        for server in servers.version_shares.select_for_call(service.name, usable):
            is_busy = self.state(server).calls_in_flight >= spec.max_concurrent_calls
            (busy if is_busy else idle).append(server)
        min_result_bytes = queue.min_result_bytes()
        candidates = [
            (round(self.slowness(server, now), 1), server)
            for server in idle
            if not self._is_blocked(server, now)
            and self.state(server).room_bytes(spec, now) >= min_result_bytes
        ]
        if not candidates:
            return []
        domain = queue.find_preferred_domain(now)
        candidates.sort(key=lambda c: (c[0], c[1].domain != domain, c[1].server_id))
        if candidates[-1][0] <= SLOW_FACTOR or len(queue) > spec.max_pieces:
            return [server for _, server in candidates]
        call_s = estimate_call_s(spec, len(queue))
        earliest_finish_s = self._find_earliest_finish_s(busy, call_s, now)
        # Of slow servers, those that would end before one which is busy now.
        return [
            server
            for slowness, server in candidates
            if slowness <= SLOW_FACTOR or call_s * slowness <= earliest_finish_s
        ]

    def _find_earliest_finish_s(
        self, busy: Sequence[Server], call_s: float, now: float
    ) -> float:
        """Return when the first of some servers could end a further call, in seconds.

        The call takes a sound server a time, in seconds.
        """
        return min(
            (
                max(0.0, self.state(server).busy_until - now)
                + call_s * self.slowness(server, now)
                for server in busy
                if not self._is_blocked(server, now)
            ),
            default=float("inf"),
        )

    def measure_capacity(self, service: str, now: float) -> tuple[float, float]:
        """Return the effective number of servers, and the time until one is free.

        A slow server counts as a fraction of a server. The time is in seconds.
        """
        effective_servers = 0.0
        until_free_s = []
        for server in self._cluster_view.servers.list_usable(service):
            if self._health.failure_share(server.key, now) > MAX_FAILURE_SHARE:
                continue
            pause_s = self._cluster_view.servers.pause_left_s(server, now)
            effective_servers += 1 / max(1.0, self._predict_ratio(server, now))
            until_free_s.append(max(pause_s, self.state(server).busy_until - now))
        return effective_servers, min(until_free_s, default=0.0)

    def record_fill(self, service: str, fraction: float) -> None:
        """Add the fill of a batch to the average.

        The caller must leave out batches that took all pieces which the server may run.
        The others are not full if the memory of the server is short.
        """
        previous = self.fill_fraction(service)
        self._fill_fraction_by_service[service] = previous + FILL_WEIGHT * (
            fraction - previous
        )

    def fill_fraction(self, service: str) -> float:
        """Return the average fill of batches while more pieces wait, from 0 to 1."""
        return self._fill_fraction_by_service.get(service, INITIAL_FILL_FRACTION)

    def slowness(self, server: Server, now: float) -> float:
        """Return the ratio of actual to expected time, increased by failures."""
        latency_ratio = max(1.0, self._predict_ratio(server, now))
        failure_share = self._health.failure_share(server.key, now)
        return latency_ratio * (1 + FAILURE_SLOWNESS_FACTOR * failure_share)

    def compute_call_timeout_s(
        self, server: Server, expected_s: float, now: float
    ) -> float:
        """Return the timeout of a call, in seconds."""
        latency_ratio = max(1.0, self._health.latency_ratio(server.key, now))
        timeout_s = (
            expected_s * latency_ratio * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
        )
        if self.is_shared(server, now):
            timeout_s += SHARED_CALL_TIMEOUT_MARGIN_S
        return timeout_s

    def record_call_start(
        self, server: Server, size_bytes: float, expected_s: float, now: float
    ) -> None:
        """Record a call that is sent, with the approximate size of its results."""
        self._cluster_view.servers.version_shares.record_call(server)
        state = self.state(server)
        state.calls_in_flight += 1
        state.held_bytes += size_bytes
        state.busy_until = now + expected_s * self._predict_ratio(server, now)
        shown = self._health.latency_ratio(server.key, now)
        self.forecast.record_start(server.key, shown, now)

    def record_call_end(self, server: Server, now: float) -> None:
        """Record that a call has ended, whatever its outcome."""
        state = self.state(server)
        state.calls_in_flight -= 1
        state.busy_until = now

    def record_response(
        self,
        server: Server,
        results: Sequence[PieceResult] | None,
        ratio: float,
        now: float,
    ) -> None:
        """Record a response that took `ratio` times the expected time.

        A refused or slow call suggests that another node sends calls to the server
        too, as after a change of the coordinator. Its memory and the start of the next
        call are then uncertain for a while, and the server is marked as shared. Inputs
        that it did not find were released before its call began, behind another node's;
        that node may call all servers.
        """
        state = self.state(server)
        if results is None or ratio > INTERFERENCE_FACTOR:
            state.shared_until = now + SHARED_USE_S
        if results is None:
            state.blocked_until = now + BACKOFF_S
            return
        if any(result.failure is PieceFailure.INPUT_GONE for result in results):
            self._all_shared_until = now + OTHER_COORDINATOR_S
        if all(result.failure is PieceFailure.NO_ROOM for result in results):
            # A call without any result does not show the latency of the server.
            state.blocked_until = now + FULL_BACKOFF_S
            return
        self._health.record_success(server.key, ratio, now)
        self.forecast.record_end(server.key, server.service, ratio)
        # Times of calls differ with their pieces, so that ratios are compared.
        rollouts = self._cluster_view.rollouts
        if any(result.failure is PieceFailure.ERROR for result in results):
            rollouts.record_failure(server, CALLS_ROUTE)
        else:
            rollouts.record_answer(server, CALLS_ROUTE, ratio)

    def record_call_failure(
        self, server: Server, now: float, *, is_unreachable: bool
    ) -> None:
        """Record a call that failed, and send none for a while."""
        if is_unreachable:
            self._health.record_unreachable(server.key, now)
        else:
            self._health.record_failure(server.key, now)
        self._cluster_view.rollouts.record_failure(server, CALLS_ROUTE)
        self.state(server).blocked_until = now + (
            UNREACHABLE_BACKOFF_S if is_unreachable else BACKOFF_S
        )

    def record_call_timeout(self, server: Server, ratio: float, now: float) -> None:
        """Record that a call takes over `ratio` times the expected time.

        The next one is given more time: a server that has turned slow would otherwise
        never end a call.
        """
        self._health.record_timeout(server.key, ratio, now)

    def mark_all_shared(self, now: float) -> None:
        """Mark all servers as shared with the previous coordinator."""
        self._all_shared_until = max(self._all_shared_until, now + SHARED_USE_S)

    def is_shared(self, server: Server, now: float) -> bool:
        """Whether another node may send a server calls too."""
        return max(self.state(server).shared_until, self._all_shared_until) > now

    def _predict_ratio(self, server: Server, now: float) -> float:
        """Return the expected ratio of actual to expected time of the next call."""
        shown = self._health.latency_ratio(server.key, now)
        return self.forecast.predict(server.key, server.service, shown, now)

    def discard_absent(self, keys: Collection[Hashable]) -> None:
        """Discard the state of servers that are gone and have no calls in flight."""
        self.forecast.retain_servers(keys)
        for key, state in list(self._state_by_key.items()):
            if key not in keys and state.calls_in_flight == 0:
                del self._state_by_key[key]

    def _is_blocked(self, server: Server, now: float) -> bool:
        if self._cluster_view.servers.pause_left_s(server, now) > 0:
            return True
        return self.state(server).blocked_until > now


__all__ = ("StageServerState", "StageServers")
