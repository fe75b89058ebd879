"""The configuration in force: routes, services and client accounts of one version."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StagePlan:
    """One stage of a route.

    Parameters
    ----------
    service : str
        Service that runs the stage.
    after : tuple of int
        Indexes of the stages whose results this one needs.
    result_bytes : int
        Approximate size of the result of a piece.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and how they are served.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host header, in lower case.
    prefix : str
        Prefix of the path; the longest one that matches is used.
    kind : RequestKind
        What may be repeated.
    targets : tuple of Target
        Services that requests go to, by weight.
    timeout_s : float
        Longest time that a request is kept waiting, in seconds.
    objective_s : float
        Time to the first event or to the answer that earns full credit, in seconds.
    priority : int
        Rank, 0 being the most urgent.
    max_attempts : int
        Most backend servers that one request may run on.
    stages : tuple of StagePlan
        Stages that are run before the request itself.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may go on at another server.
    max_silence_s : float
        Longest silence before an event that clients of a stream wait out, in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[StagePlan, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    max_silence_s: float = math.inf

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """How the servers of a stage service batch pieces.

    Parameters
    ----------
    max_concurrent_calls : int
        Calls that a server works on at the same time.
    max_pieces : int
        Most pieces in a call.
    call_overhead_s : float
        Time that a call takes whatever its size, in seconds.
    time_per_piece_s : float
        Time that each piece adds, in seconds.
    result_capacity_bytes : float
        Memory for results that a server has.
    result_ttl_s : float
        Time for which a result is kept, in seconds.
    """

    max_concurrent_calls: int
    max_pieces: int
    call_overhead_s: float
    time_per_piece_s: float
    result_capacity_bytes: float
    result_ttl_s: float = 4.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What a model server holds.

    Parameters
    ----------
    slots : int
        Requests that it runs at the same time.
    """

    slots: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service and what each of its servers bears.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the servers' health check.
    max_connections : int
        Connections that a server accepts from all nodes together.
    cold_start_s : float
        How long a server is cold after its start, in seconds.
    cold_rate : float
        Requests a second that a cold server bears; 0 if it is never cold.
    batch : BatchSpec or None
        Present if the service runs stages.
    engine : EngineSpec or None
        Present if its servers are model engines.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate: float = 0.0
    batch: BatchSpec | None = None
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Parameters
    ----------
    name : str
        Name of the account.
    priority : int or None
        Goes before the priority of a route; None if the route's holds.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What clients may send.

    Parameters
    ----------
    header_bytes : int
        Most bytes of a request's head.
    body_bytes : int
        Most bytes of a request's body.
    header_timeout_s : float
        Longest time that a request may take to arrive, in seconds.
    idle_timeout_s : float
        Longest time that a connection stays open without a request, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """All that operators decide, in one version.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        Routes in any order.
    service_by_name : Mapping of str to Service
        The services.
    account_by_key : Mapping of str to Account
        Client accounts by their keys.
    requires_key : bool
        Whether requests need a key.
    limits : ClientLimits
        What clients may send.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[str, Service]
    account_by_key: Mapping[str, Account]
    requires_key: bool
    limits: ClientLimits
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest that matches."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


__all__ = (
    "Account",
    "BatchSpec",
    "ClientLimits",
    "Configuration",
    "EngineSpec",
    "RequestKind",
    "Route",
    "Service",
    "StagePlan",
    "Target",
)
