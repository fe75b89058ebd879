"""Stage servers as their coordinator sees them: calls, memory, speed, doubts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.calls import PieceFailure
from persimmonlink_router.stage_queue import StageServerView, estimate_call_s

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Sequence

    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.calls import PieceResult
    from persimmonlink_router.configuration import BatchSpec, Service
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_queue import StageQueue

CALL_PATIENCE = 1.8  # Times the expected time after which a call is given up.
CALL_PATIENCE_EXTRA_S = 0.2  # On top of that, for the way.
SHARED_PATIENCE_S = 0.6  # On top of that, while another node may send calls too.
BACKOFF_S = 0.1  # Time for which a server that refused a call gets none.
DEAD_S = 1.5  # Time for which a server that can't be reached gets no call.
SLOW_FACTOR = 1.6  # Slowness at which waiting for a faster server is considered.
FAILING_SHARE = 0.5  # Share of failures at which a server is not counted on.
FAILURE_FACTOR = 4  # Times that a server which fails all calls counts as slower.
SHARED_S = 1.0  # Time for which a server is taken to serve another coordinator too.
INTERFERENCE_FACTOR = 1.2  # Times the expected time that show another's calls.
FILL_SHARE = 0.75  # Part of a batch that is filled, before it is known.
FILL_WEIGHT = 0.1  # Weight of the newest batch in the mean part that is filled.
FULL_S = 0.15  # Time for which a server that had no room at all gets no call.
ROOM_SHARE = 0.94  # Part of the memory that is filled, as sizes are approximate.


@dataclass(slots=True)
class StageServerState:
    """What is under way at a stage server; times are boot times, in seconds."""

    calls: int = 0
    held_bytes: float = 0.0
    busy_until: float = 0.0
    blocked_until: float = 0.0
    shared_until: float = 0.0
    other_bytes: float = 0.0
    other_seen_at: float = 0.0

    def give_back(self, size: float) -> None:
        """Count memory as free again."""
        self.held_bytes = max(0.0, self.held_bytes - size)

    def room_bytes(self, spec: BatchSpec, now: float) -> float:
        """Return the memory that is free for results."""
        other_bytes = self._estimate_other_bytes(spec, now)
        if not self.held_bytes and not other_bytes:
            return spec.result_room_bytes
        room_bytes = spec.result_room_bytes * ROOM_SHARE
        return room_bytes - self.held_bytes - other_bytes

    def note_lacking(self, spec: BatchSpec, lacking_bytes: float, now: float) -> None:
        """Take in that results of a size, counted as held, found no room.

        What else takes the memory may be results of a former coordinator.
        """
        fitting_bytes = self.held_bytes - lacking_bytes
        self.other_bytes = max(0.0, spec.result_room_bytes - fitting_bytes)
        self.other_seen_at = now

    def _estimate_other_bytes(self, spec: BatchSpec, now: float) -> float:
        """Return the memory that other results take; they end one after the other."""
        age_s = now - self.other_seen_at
        if age_s >= spec.result_life_s:
            return 0.0
        return self.other_bytes * (1 - age_s / spec.result_life_s)


class StageServers:
    """The stage servers, and which of them should get a call.

    Parameters
    ----------
    beliefs : Beliefs
        Which servers there are.
    health : ServerHealth
        Speed and failures of the servers.
    """

    def __init__(self, beliefs: Beliefs, health: ServerHealth) -> None:
        self._beliefs = beliefs
        self._health = health
        self._state_by_key: dict[Hashable, StageServerState] = {}
        self._fill_by_service: dict[str, float] = {}

    def state(self, server: Server) -> StageServerState:
        """Return what is under way at a server."""
        return self._state_by_key.setdefault(server.key, StageServerState())

    def view(self, service: Service, server: Server, now: float) -> StageServerView:
        """Return a server as the choice of a batch sees it."""
        room = 0.0
        if service.batch is not None:
            room = self.state(server).room_bytes(service.batch, now)
        domains = {
            other.domain
            for other in self._beliefs.servers.list_usable(service.name)
            if not self._is_doubtful(other, now)
        }
        return StageServerView(server.domain, room, domains)

    def list_idle(
        self, service: Service, queue: StageQueue, now: float
    ) -> list[Server]:
        """Return the servers that should get a call now, the fastest first."""
        spec = service.batch
        if spec is None:
            return []
        idle: list[tuple[float, str, Server]] = []
        soonest = float("inf")
        call_s = estimate_call_s(spec, min(len(queue), spec.size))
        least_bytes = queue.least_bytes()
        for server in self._beliefs.servers.list_usable(service.name):
            state = self.state(server)
            slowness = self.slowness(server, now)
            if state.blocked_until > now:
                continue
            if state.calls >= spec.calls:
                left_s = max(0.0, state.busy_until - now)
                soonest = min(soonest, left_s + call_s * slowness)
                continue
            if state.room_bytes(spec, now) < least_bytes:
                continue
            idle.append((round(slowness, 1), server.server_id, server))
        idle.sort(key=lambda entry: entry[:2])
        chosen = []
        for slowness, _, server in idle:
            is_slow = slowness > SLOW_FACTOR and len(queue) <= spec.size
            # A faster server that is busy now would still be done sooner.
            if is_slow and soonest < call_s * slowness:
                continue
            chosen.append(server)
        return chosen

    def measure(self, service: str, now: float) -> tuple[float, float]:
        """Return the servers that work, slow ones in part, and when one is free."""
        speed = 0.0
        busy_s = []
        for server in self._beliefs.servers.list_usable(service):
            if self._health.failure_share(server.key, now) > FAILING_SHARE:
                continue
            speed += 1 / max(1.0, self._health.slowness(server.key, now))
            busy_s.append(max(0.0, self.state(server).busy_until - now))
        return speed, min(busy_s, default=0.0)

    def note_fill(self, service: str, share: float) -> None:
        """Take in what part of a batch could be filled while more pieces waited.

        Memory of the servers and waiting for one nearby bound it.
        """
        known = self.fill_share(service)
        self._fill_by_service[service] = known + FILL_WEIGHT * (share - known)

    def fill_share(self, service: str) -> float:
        """Return the part of a batch that is filled while more pieces wait."""
        return self._fill_by_service.get(service, FILL_SHARE)

    def slowness(self, server: Server, now: float) -> float:
        """Return the time that a server takes against the expected time."""
        slowness = max(1.0, self._health.slowness(server.key, now))
        failing = self._health.failure_share(server.key, now)
        return slowness * (1 + FAILURE_FACTOR * failing)

    def limit_call_s(self, server: Server, expected_s: float, now: float) -> float:
        """Return the time after which a call is given up, in seconds."""
        slowness = max(1.0, self._health.slowness(server.key, now))
        limit_s = expected_s * slowness * CALL_PATIENCE + CALL_PATIENCE_EXTRA_S
        is_shared = self.state(server).shared_until > now
        return limit_s + (SHARED_PATIENCE_S if is_shared else 0.0)

    def note_started(
        self, server: Server, size: float, expected_s: float, now: float
    ) -> None:
        """Count a call that is sent."""
        state = self.state(server)
        state.calls += 1
        state.held_bytes += size
        state.busy_until = now + expected_s * self._health.slowness(server.key, now)

    def note_ended(self, server: Server, now: float) -> None:
        """Count a call as over, whatever became of it."""
        state = self.state(server)
        state.calls -= 1
        state.busy_until = now

    def note_answered(
        self,
        server: Server,
        results: Sequence[PieceResult] | None,
        ratio: float,
        now: float,
    ) -> None:
        """Take in an answer that took `ratio` times the expected time.

        Signs that another node sends calls to the server too, as after a change of
        the coordinator, make its memory and its turn uncertain for a while.
        """
        state = self.state(server)
        if results is None or ratio > INTERFERENCE_FACTOR:
            state.shared_until = now + SHARED_S
        if results is None:
            state.blocked_until = now + BACKOFF_S
            return
        if all(result.failure is PieceFailure.NO_ROOM for result in results):
            # It says nothing of the server's speed.
            state.blocked_until = now + FULL_S
            return
        self._health.note_success(server.key, ratio, now)

    def note_failed(self, server: Server, now: float, *, is_dead: bool) -> None:
        """Count a call that failed."""
        if is_dead:
            self._health.note_dead(server.key, now)
        else:
            self._health.note_failure(server.key, now)
        self.state(server).blocked_until = now + (DEAD_S if is_dead else BACKOFF_S)

    def note_takeover(self, now: float) -> None:
        """Take all servers to be in use by a former coordinator."""
        for server in self._beliefs.servers.server_by_id.values():
            self.state(server).shared_until = now + SHARED_S

    def forget_other(self, keys: Collection[Hashable]) -> None:
        """Forget servers that are gone and have nothing under way."""
        for key, state in list(self._state_by_key.items()):
            if key not in keys and state.calls == 0:
                del self._state_by_key[key]

    def _is_doubtful(self, server: Server, now: float) -> bool:
        if self.state(server).blocked_until > now:
            return True
        return self.slowness(server, now) > SLOW_FACTOR


__all__ = ("StageServerState", "StageServers")
