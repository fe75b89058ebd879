"""Settings of a router, read from a JSON file with comments."""

from __future__ import annotations

import math
import os
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Annotated

import jsonc
from msgspec import Meta
from returns.result import Failure as Err

from persimmonlink_model.validation import Fault, validate
from persimmonlink_router.foreign_values import MAX_PORT, is_address

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from returns.result import Result

# Settings that variables of the environment may set.
PATH_BY_VARIABLE = {
    "PERSIMMONLINK_MEMORY_MB": ("memory_mb",),
    "PERSIMMONLINK_MAX_DESCRIPTORS": ("max_descriptors",),
    "PERSIMMONLINK_CANARY_SHARE": ("limits", "canary_share"),
}
# Least memory and descriptors with which a router serves anybody.
MIN_MEMORY_MB = 64
MIN_DESCRIPTORS = 256
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
MAX_NUMBER = 1e9  # Larger limits, times and shares say nothing of use.
MAX_DESCRIPTORS = 1 << 30
NonNegative = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[float, Meta(gt=0, le=MAX_NUMBER)]
Share = Annotated[float, Meta(ge=0, le=1)]


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
    canary_share : float
        Largest share of a service's requests that reaches a new version before it is
        known to be sound, over all nodes.
    """

    retry_ratio: NonNegative
    retry_window_s: Positive
    retry_slack: NonNegative
    cold_burst_factor: NonNegative
    cold_slack: NonNegative
    stop_s: Positive
    directory_ttl_s: Positive
    canary_share: Share = 0.1


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
    memory_mb : float
        Memory that the process may take, in megabytes; 0 if unknown.
    max_descriptors : int
        Descriptors that the process may open; 0 if unknown.
    """

    node: Annotated[str, Meta(min_length=1)]
    domain: Annotated[str, Meta(min_length=1)]
    listen: ListenAddresses
    store: Address
    seeds: tuple[Address, ...]
    limits: LimitSettings
    core_share: Positive = 1.0
    core_speed: Positive = 1.0
    region: str = ""
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    memory_mb: NonNegative = 0.0
    max_descriptors: Annotated[int, Meta(ge=0, le=MAX_DESCRIPTORS)] = 0


def read_router_settings(path: Path) -> Result[RouterSettings, tuple[Fault, ...]]:
    """Read and check a settings file; a failure holds every fault found.

    Variables of the environment that are set and not empty go before the file, for
    those settings that not every platform has.
    """
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
        faults = _apply_environment(raw, os.environ)
        if faults:
            return Err(faults)
        result = validate(raw, RouterSettings)
    except (OSError, ValueError, RecursionError) as error:
        return Err((Fault("", str(error)),))
    if isinstance(result, Err):
        return result
    faults = _list_faults(result.unwrap())
    return Err(faults) if faults else result


def _apply_environment(
    raw: object, environment: Mapping[str, str]
) -> tuple[Fault, ...]:
    """Set the settings that the environment has; return those that are no numbers."""
    faults: list[Fault] = []
    if not isinstance(raw, dict):
        return ()
    for variable, path in PATH_BY_VARIABLE.items():
        text = environment.get(variable, "").strip()
        if not text:
            continue
        target = raw
        for name in path[:-1]:
            target = target.setdefault(name, {})
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            faults.append(Fault(".".join(path), f"{variable}={text[:40]} is no number"))
            continue
        if isinstance(target, dict):
            target[path[-1]] = int(number) if number.is_integer() else number
    return tuple(faults)


def _list_faults(settings: RouterSettings) -> tuple[Fault, ...]:
    """Return the faults that the types of the fields don't tell."""
    text_by_path = {
        "node": settings.node,
        "domain": settings.domain,
        "region": settings.region,
    }
    address_by_path = {
        "store": settings.store,
        **{f"seeds[{index}]": each for index, each in enumerate(settings.seeds)},
    }
    for name, address in asdict(settings.listen).items():
        host, _, port = address.rpartition(":")
        # The system chooses the port of one that is 0.
        address_by_path[f"listen.{name}"] = f"{host}:1" if port == "0" else address
    faults = []
    if 0 < settings.memory_mb < MIN_MEMORY_MB:
        expected = f"at least {MIN_MEMORY_MB} MB, or 0 if unknown"
        faults.append(Fault("memory_mb", f"{settings.memory_mb:g} is not {expected}"))
    if 0 < settings.max_descriptors < MIN_DESCRIPTORS:
        expected = f"at least {MIN_DESCRIPTORS}, or 0 if unknown"
        faults.append(
            Fault("max_descriptors", f"{settings.max_descriptors} is not {expected}")
        )
    for path, text in text_by_path.items():
        try:
            text.encode()
        except UnicodeEncodeError as error:
            faults.append(Fault(path, str(error)))
    for path, address in address_by_path.items():
        if not is_address(address):
            expected = f"an IPv4 address with a port from 1 to {MAX_PORT}"
            faults.append(Fault(path, f"{address[:40]} is not {expected}"))
    return tuple(faults)


__all__ = (
    "LimitSettings",
    "ListenAddresses",
    "RouterSettings",
    "read_router_settings",
)
