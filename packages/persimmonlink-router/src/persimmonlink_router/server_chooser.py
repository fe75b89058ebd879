"""Chooses the server of a request among those that may receive work now."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.placement import (
    ASSUMED_TOKEN_S,
    EngineCriteria,
    PlainCriteria,
    PromptCache,
    choose_engine,
    choose_plain_server,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.peer_messages import EngineLoad
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.send_limits import ColdSendLimit
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import ServerPlaces
    from persimmonlink_router.servers import Server

# Response time of a plain service that has not responded yet, so that its load decides.
UNKNOWN_RESPONSE_S = 1.0


@dataclass(frozen=True, slots=True)
class StageInputs:
    """Stage results that a request passes to the server that runs it.

    Parameters
    ----------
    handles : tuple of str
        Handles of the results.
    bytes_by_domain : Mapping of str to float
        Size of the results in each failure domain, in bytes.
    attempt : str
        Run of the stages that made the results, by which they are released.
    """

    handles: tuple[str, ...]
    bytes_by_domain: Mapping[str, float]
    attempt: str = ""


NO_INPUTS = StageInputs((), {})


class ServerChooser:
    """Chooses servers by load, health, prompt cache and cold start.

    Parameters
    ----------
    own_domain : str
        Failure domain of this node.
    cluster_view : ClusterView
        Known configuration and servers.
    membership : ClusterMembership
        Number of nodes, and the load of the other nodes on each server.
    pool : ConnectionPool
        Idle connections to the servers.
    health : ServerHealth
        Latency, failures and load of the servers.
    cold_limit : ColdSendLimit
        Limit on sends to cold servers.
    limiter : ServerLimiter
        Knows which servers name limits.
    places : ServerPlaces
        Knows which servers are brittle.
    """

    def __init__(
        self,
        own_domain: str,
        cluster_view: ClusterView,
        membership: ClusterMembership,
        pool: ConnectionPool,
        health: ServerHealth,
        cold_limit: ColdSendLimit,
        limiter: ServerLimiter,
        places: ServerPlaces,
    ) -> None:
        self._own_domain = own_domain
        self._cluster_view = cluster_view
        self._membership = membership
        self._pool = pool
        self._health = health
        self._cold_limit = cold_limit
        self._limiter = limiter
        self._places = places
        self.prompt_cache = PromptCache()

    def choose(
        self, state: RequestState, inputs: StageInputs, excluded_ids: set[str]
    ) -> Server | None:
        """Return the best server that may receive a request now, or None."""
        if not self._cluster_view.is_fresh():
            return None
        now = boot_time()
        nodes = self._membership.peak_node_count()
        service = self._cluster_view.find_service(state.service)
        eligible = []
        for server in self._cluster_view.servers.list_usable(state.service):
            if server.server_id in excluded_ids or not state.allows_server(server):
                continue
            if self._cluster_view.servers.pause_left_s(server, now) > 0:
                continue
            if self._cluster_view.servers.is_cold(server, now) and service is not None:
                rate = service.cold_rate
                if not self._cold_limit.may_send(server.key, rate, nodes, now):
                    continue
            eligible.append(server)
        candidates = []
        for server in self._cluster_view.servers.version_shares.select(
            state.service,
            eligible,
            state.metadata.request_id,
            state.stream_version,
            is_retry=state.sends > 0,
        ):
            is_due = self._limiter.is_reading_due(server)
            if is_due or self._places.is_reading_due(server):
                return server
            candidates.append(server)
        candidates = self._prefer_accepting(candidates, now)
        if service is not None and service.engine is not None:
            criteria = EngineCriteria(
                state.metadata,
                self._own_domain,
                self._health.response_times.token_s(state.service) or ASSUMED_TOKEN_S,
            )
            view = _ClusterLoadView(self._health, self._membership, candidates)
            return choose_engine(candidates, view, self.prompt_cache, criteria, now)
        has_connection: dict[Hashable, bool] = {
            s.key: self._pool.has_idle(s.key) for s in candidates
        }
        expected_s = self._health.response_times.median_s(state.service)
        plain = PlainCriteria(
            self._own_domain, expected_s or UNKNOWN_RESPONSE_S, has_connection
        )
        return choose_plain_server(candidates, self._health, plain, now)

    def _prefer_accepting(self, servers: list[Server], now: float) -> list[Server]:
        """Leave out servers that have just rejected a request, unless all have."""
        accepting = [
            server
            for server in servers
            if not self._health.has_just_rejected(server.key, now)
        ]
        return accepting or servers

    def try_acquire_cold_send(
        self, server: Server, state: RequestState, now: float
    ) -> bool:
        """Record a send if the server is cold; return False if its limit is reached."""
        if not self._cluster_view.servers.is_cold(server, now):
            return True
        service = self._cluster_view.find_service(state.service)
        rate = service.cold_rate if service is not None else 0.0
        if not self._cold_limit.may_send(
            server.key, rate, self._membership.peak_node_count(), now
        ):
            return False
        self._cold_limit.record_send(server.key, now)
        return True

    def retain_servers(self, keys: Collection[Hashable]) -> None:
        """Discard the send times and cached prompts of all other servers."""
        self._cold_limit.retain_servers(keys)
        self.prompt_cache.retain_servers(keys)


class _ClusterLoadView:
    """Health of engines as this node sees them, and their load from all nodes."""

    def __init__(
        self, health: ServerHealth, membership: ClusterMembership, servers: list[Server]
    ) -> None:
        self._health = health
        self._load_by_key: dict[Hashable, EngineLoad] = {
            server.key: membership.sum_peer_load(server.server_id) for server in servers
        }

    def latency_ratio(self, key: Hashable, now: float) -> float:
        return self._health.latency_ratio(key, now)

    def failure_share(self, key: Hashable, now: float) -> float:
        return self._health.failure_share(key, now)

    def in_flight(self, key: Hashable) -> int:
        return self._health.in_flight(key) + self._load_by_key[key].in_flight

    def unread_tokens(self, key: Hashable) -> int:
        return self._health.unread_tokens(key) + self._load_by_key[key].unread_tokens


__all__ = ("NO_INPUTS", "ServerChooser", "StageInputs")
