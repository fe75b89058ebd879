"""Chooses the server of a request among those that may get work now."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.placement import (
    ENGINE_BASE_S,
    PREFILL_TOKENS_PER_S,
    EngineChoice,
    PlainChoice,
    PromptCache,
    choose_engine,
    choose_plain,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.fleet import Fleet
    from persimmonlink_router.peer_messages import EngineLoad
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.send_limits import ColdLimit
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.servers import Server

PLAIN_ANSWER_S = 0.04  # Time of a plain service, by the sheets.


@dataclass(frozen=True, slots=True)
class StageInputs:
    """Results of a request's stages, for the server that runs it."""

    handles: tuple[str, ...]
    bytes_by_domain: Mapping[str, float]


NO_INPUTS = StageInputs((), {})


class ServerChooser:
    """Knows servers, their load and health, and what they have read.

    Parameters
    ----------
    own_domain : str
        Failure domain of this node.
    beliefs : Beliefs
        Configuration and servers.
    fleet : Fleet
        The other nodes.
    pool : ConnectionPool
        Kept connections.
    health : ServerHealth
        Speed and failures of the servers.
    cold : ColdLimit
        Sends to cold servers.
    """

    def __init__(
        self,
        own_domain: str,
        beliefs: Beliefs,
        fleet: Fleet,
        pool: ConnectionPool,
        health: ServerHealth,
        cold: ColdLimit,
    ) -> None:
        self._own_domain = own_domain
        self._beliefs = beliefs
        self._fleet = fleet
        self._pool = pool
        self._health = health
        self._cold = cold
        self.cache = PromptCache()

    def choose(
        self, state: RequestState, inputs: StageInputs, rejected: set[str]
    ) -> Server | None:
        """Return the best server that may take a request now, if there is one."""
        if not self._beliefs.is_fresh():
            return None
        now = boot_time()
        nodes = self._fleet.count_nodes()
        service = self._beliefs.find_service(state.service)
        candidates = []
        for server in self._beliefs.servers.list_usable(state.service):
            if server.server_id in rejected:
                continue
            if self._beliefs.servers.is_cold(server, now) and service is not None:
                rate = service.cold_rate
                if not self._cold.may_send(server.key, rate, nodes, now):
                    continue
            candidates.append(server)
        if service is not None and service.engine is not None:
            choice = EngineChoice(state.call, self._own_domain, inputs.bytes_by_domain)
            view = _EngineView(self._health, self._fleet, candidates)
            return choose_engine(candidates, view, self.cache, choice, now)
        has_connection: dict[Hashable, bool] = {
            s.key: self._pool.has_idle(s.key) for s in candidates
        }
        plain = PlainChoice(self._own_domain, expect_answer_s(state), has_connection)
        return choose_plain(candidates, self._health, plain, now)

    def take_cold(self, server: Server, state: RequestState, now: float) -> bool:
        """Whether a server may get a request now; counts it if the server is cold."""
        if not self._beliefs.servers.is_cold(server, now):
            return True
        service = self._beliefs.find_service(state.service)
        rate = service.cold_rate if service is not None else 0.0
        if not self._cold.may_send(server.key, rate, self._fleet.count_nodes(), now):
            return False
        self._cold.note_send(server.key, now)
        return True

    def forget_other(self, keys: Collection[Hashable]) -> None:
        """Forget servers that are gone."""
        self._cold.forget_other(keys)
        self.cache.forget_other(keys)


class _EngineView:
    """Health of engines with what the other nodes have there."""

    def __init__(
        self, health: ServerHealth, fleet: Fleet, servers: list[Server]
    ) -> None:
        self._health = health
        self._load_by_key: dict[Hashable, EngineLoad] = {
            server.key: fleet.sum_load(server.server_id) for server in servers
        }

    def slowness(self, key: Hashable, now: float) -> float:
        return self._health.slowness(key, now)

    def failure_share(self, key: Hashable, now: float) -> float:
        return self._health.failure_share(key, now)

    def in_flight(self, key: Hashable) -> int:
        return self._health.in_flight(key) + self._load_by_key[key].in_flight

    def unread_tokens(self, key: Hashable) -> int:
        return self._health.unread_tokens(key) + self._load_by_key[key].unread_tokens


def expect_answer_s(state: RequestState) -> float:
    """Return the time that a healthy server takes to answer, in seconds."""
    if state.call.model:
        return ENGINE_BASE_S + state.call.prompt_tokens / PREFILL_TOKENS_PER_S
    return PLAIN_ANSWER_S


__all__ = ("NO_INPUTS", "ServerChooser", "StageInputs", "expect_answer_s")
