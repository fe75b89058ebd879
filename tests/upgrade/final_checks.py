"""Checks that a cluster whose nodes were all replaced has nothing left of before."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tests.router.rig import send
from tests.upgrade.exchange import HOSTNAME
from tests.upgrade.logs import tells_of_machine

if TYPE_CHECKING:
    from tests.upgrade.deployment import Deployment
    from tests.upgrade.node import Node

MEMBER_PREFIX = "persimmonlink/nodes/"
STORE_PREFIX = "persimmonlink/"
# Prefixes of the entries that outlive the nodes that wrote them.
KEPT_PREFIXES = tuple(
    STORE_PREFIX + name for name in ("holds/", "stream-versions/", "service-versions/")
)
QUIET_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS")


async def list_leftovers(deployment: Deployment) -> list[str]:
    """Return what tells of nodes that no longer run, in the store and at nodes."""
    findings = [
        f"{node.name} has build {node.build}"
        for node in deployment.nodes
        if node.build != deployment.new.name
    ]
    findings += _check_store(deployment)
    expected = sorted(node.address("front") for node in deployment.nodes)
    for node in deployment.nodes:
        named = await _ask_directory(node)
        if named != expected:
            findings.append(f"directory of {node.name}: {named}, not {expected}")
    return findings


def list_log_warnings(nodes: list[Node], since: float) -> list[str]:
    """Return the lines above `INFO` that nodes logged since a Unix time.

    A node that stood still without being busy was not run by the machine.
    """
    warnings = []
    for node in nodes:
        lines = node.incarnations[-1].read_log()
        for line in lines:
            if line["time"] < since or line["level"] in QUIET_LEVELS:
                continue
            if tells_of_machine(line, lines):
                continue
            warnings.append(f"{node.name} logged {line}")
    return warnings


def _check_store(deployment: Deployment) -> list[str]:
    findings = []
    addresses = []
    for key in sorted(deployment.store.list_keys()):
        if not key.startswith(STORE_PREFIX) or key.startswith(KEPT_PREFIXES):
            continue
        if not key.startswith(MEMBER_PREFIX):
            findings.append(f"unknown key {key} in the store")
            continue
        addresses.append(json.loads(deployment.store.read(key))["http_address"])
    expected = sorted(node.address("front") for node in deployment.nodes)
    if sorted(addresses) != expected:
        findings.append(f"members in the store: {sorted(addresses)}, not {expected}")
    return findings


async def _ask_directory(node: Node) -> list[str]:
    path = f"/-/lookup?name={HOSTNAME}&region=midlands&zone={node.domain}"
    response = await send(node.address("directory"), "GET", path, {"Host": HOSTNAME})
    if response.status != 200:
        return [f"status {response.status}"]
    return sorted(json.loads(response.body)["addrs"])


__all__ = ("list_leftovers", "list_log_warnings")
