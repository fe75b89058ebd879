"""Fields from which the platform renders the settings of a router."""

from __future__ import annotations

from typing import Any

HOST = "127.0.0.1"
STOP_S = 8.0  # Time from SIGTERM to the kill.


def make_fields(
    node: str,
    zone: str = "a",
    *,
    store: str = f"{HOST}:1",
    seeds: tuple[str, ...] = (),
    front: str = f"{HOST}:0",
    ready: str = f"{HOST}:0",
    control: str = f"{HOST}:0",
    directory: str = f"{HOST}:0",
) -> dict[str, Any]:
    """Return the fields of a node, under the names of the platform."""
    return {
        "node": node,
        "zone": zone,
        "region": "midlands",
        "ip": HOST,
        "listen.front": front,
        "listen.ready": ready,
        "listen.control": control,
        "listen.directory": directory,
        "provider.addr": store,
        "seeds": list(seeds),
        "limits.cpu-share": 0.537,
        "limits.cores": 2,
        "bounds.retry-ratio": 0.2,
        "bounds.retry-window-s": 10,
        "bounds.retry-slack": 52,
        "bounds.cold-burst": 1.5,
        "bounds.cold-slack": 5,
        "bounds.grace-s": STOP_S,
        "bounds.ttl_max_s": 5,
        "bounds.drain-ms": 2000,
        "bounds.contact-ms": 3000,
        "bounds.config-ms": 2000,
    }


__all__ = ("HOST", "STOP_S", "make_fields")
