"""Settings of a router, read from JSON with comments."""

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
    """Where a router listens.

    Parameters
    ----------
    clients : str
        For clients' requests.
    readiness : str
        For the platform's check whether the node is ready.
    directory : str
        For clients that ask where to connect.
    peers : str
        For other nodes, by gRPC.
    metrics : str
        For counters and histograms.
    """

    clients: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address


@dataclass(frozen=True)
class LimitSettings:
    """Bounds that the operators set for all nodes together.

    Parameters
    ----------
    retry_ratio : float
        Second sends to a service for each request to it.
    retry_window_s : float
        Window over which they are counted, in seconds.
    retry_slack : float
        Second sends on top, over all nodes.
    cold_burst_factor : float
        Factor of the rate that a cold server bears.
    cold_slack : float
        Requests on top in any second, over all nodes.
    stop_s : float
        Time from SIGTERM until the process is ended, in seconds.
    directory_ttl_s : float
        Longest time that clients keep the directory's answer, in seconds.
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
        Its failure domain.
    listen : ListenAddresses
        Where it listens.
    store : str
        Address of the platform's store.
    seeds : tuple of str
        Peer addresses to ask before any is known.
    limits : LimitSettings
        Bounds over all nodes.
    core_share : float
        Share of a processor core that the process may use.
    core_speed : float
        Speed of that core against a usual one.
    log_level : str
        Least level of what is logged.
    """

    node: Annotated[str, Meta(min_length=1)]
    domain: Annotated[str, Meta(min_length=1)]
    listen: ListenAddresses
    store: Address
    seeds: tuple[Address, ...]
    limits: LimitSettings
    core_share: Annotated[float, Meta(gt=0)] = 1.0
    core_speed: Annotated[float, Meta(gt=0)] = 1.0
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def read_router_settings(path: Path) -> Result[RouterSettings, tuple[Fault, ...]]:
    """Read and check settings; fails with every fault found."""
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
