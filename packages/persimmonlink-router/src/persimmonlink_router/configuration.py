"""The configuration in force: routes, services and client accounts of one version."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """How a request may be retried, by the effect of running it."""

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
        Indexes of the stages whose results this one takes as inputs.
    result_bytes : int
        Approximate size of the result of a piece, in bytes.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and the rules for serving them.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host header, in lower case.
    prefix : str
        Prefix of the path; the longest one that matches is used.
    kind : RequestKind
        How requests may be retried.
    targets : tuple of Target
        Services that requests go to, by weight.
    timeout_s : float
        Deadline of a request, counted from its arrival, in seconds.
    objective_s : float
        Time to the first event or to the response that the operator wishes for clients,
        in seconds.
    priority : int
        Priority of requests; 0 is the most urgent.
    max_attempts : int
        Most times that one request may run on backend servers.
    stages : tuple of StagePlan
        Stages that are run before the request itself.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be resumed at another server.
    max_silence_s : float
        Longest silence before an event that clients of a stream tolerate, in seconds.
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
        """Whether a request may run more than once: idempotent or resumable."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """How the servers of a stage service batch pieces.

    Parameters
    ----------
    max_concurrent_calls : int
        Calls that a server runs at the same time.
    max_pieces : int
        Most pieces in a call.
    call_overhead_s : float
        Time of a call that does not depend on its pieces, in seconds.
    time_per_piece_s : float
        Time that each piece adds to a call, in seconds.
    result_capacity_bytes : float
        Memory of a server for results, in bytes.
    result_ttl_s : float
        Time for which a server keeps a result, in seconds.
    """

    max_concurrent_calls: int
    max_pieces: int
    call_overhead_s: float
    time_per_piece_s: float
    result_capacity_bytes: float
    result_ttl_s: float = 4.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of a model server.

    Parameters
    ----------
    slots : int
        Requests that a server runs at the same time.
    """

    slots: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the capacity of each of its servers.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the servers' health check.
    max_connections : int
        Connections that a server accepts from all nodes together.
    cold_start_s : float
        Time for which a server is cold after its start, in seconds.
    cold_rate : float
        Requests per second that a cold server sustains; 0 if it is never cold.
    batch : BatchSpec or None
        Batching of a service that runs stages; None for other services.
    engine : EngineSpec or None
        Capacity of a service of model servers; None for other services.
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
        Overrides the priority of a route; None keeps the route's.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests and connections of clients.

    Parameters
    ----------
    header_bytes : int
        Maximum size of a request's head, in bytes.
    body_bytes : int
        Maximum size of a request's body, in bytes.
    header_timeout_s : float
        Time in which the body must follow the head, in seconds, if that is longer than
        `idle_timeout_s`.
    idle_timeout_s : float
        Longest time without received bytes until a head is complete, in seconds; also
        applies to connections without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of all that operators configure in the store.

    Parameters
    ----------
    version : int
        Number that grows with each change.
    routes : tuple of Route
        Routes in any order.
    service_by_name : Mapping of str to Service
        Services by name.
    account_by_key : Mapping of str to Account
        Client accounts by their API keys.
    requires_key : bool
        Whether requests of routes that are not public need an API key.
    limits : ClientLimits
        Limits on the requests and connections of clients.
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

    def find_account(self, name: str) -> Account:
        """Return the client account of a name; one without priority if unknown."""
        for account in self.account_by_key.values():
            if account.name == name:
                return account
        return Account(name)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return a host's route with the longest matching prefix, or None."""
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
