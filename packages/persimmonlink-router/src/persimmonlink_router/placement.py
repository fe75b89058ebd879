"""Ranks the servers that a request may be sent to by their expected cost.

Plain servers are ranked by load and health. Model servers are also ranked by the prompt
parts in their caches: a server that has read a part need not read it again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Hashable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from xxhash import xxh3_64_intdigest

from persimmonlink_router.wire_messages import RequestMetadata

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.servers import Server
    from persimmonlink_router.wire_messages import PromptPart

# A cost is the delay, in seconds, that is accepted to avoid what it stands for.
CROSS_DOMAIN_COST_S = 0.002  # Cost of a server outside this node's failure domain.
NEW_CONNECTION_COST_S = 0.002  # Cost of a new connection for a plain request.
# Cost of a plain server that fails all requests; for an engine, it is doubled.
FAILURE_COST_S = 1.0
# Time in which an engine reads a prompt token, until its responses show it.
ASSUMED_TOKEN_S = 1 / 60000
MAX_PARTS_PER_SERVER = 1500  # Prompt parts recorded as cached by each server.


@dataclass(frozen=True, slots=True)
class PlainCriteria:
    """Properties of a request by which plain servers are ranked.

    Parameters
    ----------
    own_domain : str
        Failure domain of this node.
    expected_s : float
        Response time of a healthy server, in seconds.
    has_connection : Mapping of Hashable to bool
        Whether an idle connection exists, by server key.
    """

    own_domain: str
    expected_s: float
    has_connection: Mapping[Hashable, bool]


def choose_plain_server(
    servers: Sequence[Server], health: ServerHealth, criteria: PlainCriteria, now: float
) -> Server | None:
    """Return the server with the lowest expected cost for a plain request."""
    best: Server | None = None
    best_cost = 0.0
    for server in servers:
        key = server.key
        utilization = health.in_flight(key) / max(1, server.slots)
        cost = criteria.expected_s * health.latency_ratio(key, now) * (1 + utilization)
        cost += FAILURE_COST_S * health.failure_share(key, now)
        if server.domain != criteria.own_domain:
            cost += CROSS_DOMAIN_COST_S
        if not criteria.has_connection.get(key, False):
            cost += NEW_CONNECTION_COST_S
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best


class PromptCache:
    """Prompt parts that each engine is expected to cache, least recently sent first."""

    def __init__(self) -> None:
        self._parts_by_key: dict[Hashable, OrderedDict[str, None]] = {}

    def record_prompt(self, key: Hashable, parts: Iterable[PromptPart]) -> None:
        """Record the parts of a prompt that is sent to a server."""
        cached = self._parts_by_key.setdefault(key, OrderedDict())
        for part in parts:
            cached[part.part_id] = None
            cached.move_to_end(part.part_id)
        while len(cached) > MAX_PARTS_PER_SERVER:
            cached.popitem(last=False)

    def count_cached_tokens(self, key: Hashable, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading prompt parts that a server has read."""
        cached = self._parts_by_key.get(key)
        if cached is None:
            return 0
        tokens = 0
        for part in parts:
            if part.part_id not in cached:
                break
            tokens += part.tokens
        return tokens

    def retain_servers(self, keys: Collection[Hashable]) -> None:
        """Discard the prompt parts of all other servers."""
        for key in list(self._parts_by_key):
            if key not in keys:
                del self._parts_by_key[key]


@dataclass(frozen=True, slots=True)
class EngineCriteria:
    """Properties of a request by which engines are ranked.

    Parameters
    ----------
    metadata : RequestMetadata
        Prompt of the request.
    own_domain : str
        Failure domain of this node.
    token_s : float
        Time in which an engine reads a prompt token, in seconds.
    """

    metadata: RequestMetadata
    own_domain: str
    token_s: float = ASSUMED_TOKEN_S


class EngineLoadView(Protocol):
    """Health of engines, and their load from all nodes."""

    def latency_ratio(self, key: Hashable, now: float) -> float:
        """Return the mean ratio of an engine's response time to the expected time."""
        ...

    def failure_share(self, key: Hashable, now: float) -> float:
        """Return the share of requests that an engine fails."""
        ...

    def in_flight(self, key: Hashable) -> int:
        """Return the number of requests in flight at an engine."""
        ...

    def unread_tokens(self, key: Hashable) -> int:
        """Return the prompt tokens that an engine has still to read."""
        ...


def choose_engine(
    servers: Sequence[Server],
    load: EngineLoadView,
    cache: PromptCache,
    criteria: EngineCriteria,
    now: float,
) -> Server | None:
    """Return the engine at which a request makes all wait for the shortest time.

    All nodes choose the same affinity engine for the shared parts of a prompt, so that
    they agree without messages on the engine that caches a part.
    """
    shared = criteria.metadata.prompt_parts[:-1]
    shared_tokens = sum(part.tokens for part in shared)
    affinity_engine = choose_affinity_engine(servers, shared)
    best: Server | None = None
    best_cost = 0.0
    for server in servers:
        key = server.key
        cached_tokens = cache.count_cached_tokens(key, shared)
        if server is affinity_engine:
            cached_tokens = shared_tokens
        uncached_tokens = criteria.metadata.prompt_tokens - cached_tokens
        pending_tokens = uncached_tokens + load.unread_tokens(key)
        # While an engine reads the prompt, all other requests there wait as well.
        delayed_tokens = pending_tokens + uncached_tokens * load.in_flight(key)
        cost = delayed_tokens * criteria.token_s * load.latency_ratio(key, now)
        cost += FAILURE_COST_S * 2 * load.failure_share(key, now)
        if server.domain != criteria.own_domain:
            cost += CROSS_DOMAIN_COST_S
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best


def choose_affinity_engine(
    servers: Sequence[Server], shared: Sequence[PromptPart]
) -> Server | None:
    """Return the engine to which all nodes assign the shared parts of a prompt.

    Rendezvous hashing over the last shared part: if an engine leaves, only the prompts
    assigned to it move. Without shared parts, the result is None.
    """
    if not shared:
        return None
    name = shared[-1].part_id
    return max(
        servers,
        key=lambda s: (
            xxh3_64_intdigest(f"{name}\0{s.server_id}".encode()),
            s.server_id,
        ),
        default=None,
    )


__all__ = (
    "ASSUMED_TOKEN_S",
    "EngineCriteria",
    "EngineLoadView",
    "PlainCriteria",
    "PromptCache",
    "choose_affinity_engine",
    "choose_engine",
    "choose_plain_server",
)
