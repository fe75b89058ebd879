"""Settings of a router, read from a JSON file with comments."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import jsonc
from msgspec import Meta
from returns.result import Failure as Err

from persimmonlink_model.validation import Fault, validate

if TYPE_CHECKING:
    from pathlib import Path

    from returns.result import Result

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
NonNegative = Annotated[float, Meta(ge=0)]


@dataclass(frozen=True)
class ListenAddresses:
    """Addresses that a router listens on, each as `IP:PORT`.

    Parameters
    ----------
    clients : str
        Requests of clients, by HTTP.
    readiness : str
        Readiness checks of the platform.
    directory : str
        Lookups of entry addresses by clients.
    peers : str
        Messages of other nodes, by gRPC.
    metrics : str
        Counters and histograms in the Prometheus text format.
    """

    clients: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address


@dataclass(frozen=True)
class LimitSettings:
    """Limits that operators set for all nodes together.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed for each request to a service.
    retry_window_s : float
        Window over which retries and requests are counted, in seconds.
    retry_slack : float
        Retries allowed on top in each window, over all nodes.
    cold_burst_factor : float
        Multiple of a cold server's sustained rate that all nodes may send together.
    cold_slack : float
        Requests allowed on top in any second, over all nodes.
    stop_s : float
        Time from SIGTERM until the platform kills the process, in seconds.
    directory_ttl_s : float
        Longest time for which clients may cache a directory response, in seconds.
    """

    retry_ratio: NonNegative
    retry_window_s: Annotated[float, Meta(gt=0)]
    retry_slack: NonNegative
    cold_burst_factor: NonNegative
    cold_slack: NonNegative
    stop_s: Annotated[float, Meta(gt=0)]
    directory_ttl_s: Annotated[float, Meta(gt=0)]


@dataclass(frozen=True)
class RouterSettings:
    """Settings of one router.

    Parameters
    ----------
    node : str
        Name of the entry VM.
    domain : str
        Failure domain of the entry VM.
    listen : ListenAddresses
        Addresses to listen on.
    store : str
        Address of the platform's metadata store.
    seeds : tuple of str
        Peer addresses to contact before other members are known.
    limits : LimitSettings
        Limits over all nodes.
    core_share : float
        Share of a processor core that the process may use.
    core_speed : float
        Speed of that core relative to a standard one.
    region : str
        Region of that failure domain; requests are only passed on inside it.
    log_level : str
        Lowest level that is logged.
    """

    node: Annotated[str, Meta(min_length=1)]
    domain: Annotated[str, Meta(min_length=1)]
    listen: ListenAddresses
    store: Address
    seeds: tuple[Address, ...]
    limits: LimitSettings
    core_share: Annotated[float, Meta(gt=0)] = 1.0
    core_speed: Annotated[float, Meta(gt=0)] = 1.0
    region: str = ""
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def read_router_settings(path: Path) -> Result[RouterSettings, tuple[Fault, ...]]:
    """Read and check a settings file; a failure holds every fault found."""
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err((Fault("", str(error)),))
    return validate(raw, RouterSettings)


__all__ = (
    "LimitSettings",
    "ListenAddresses",
    "RouterSettings",
    "read_router_settings",
)
