"""Status queries to the given nodes and to the members that they report."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from returns.result import Success

from persimmonlink_cli.command import is_address
from persimmonlink_model.result_code import Failure

if TYPE_CHECKING:
    from persimmonlink_cli.admin_client import AdminClient

STATUS_PATH = "/v1/admin/status"
STATUS_TIMEOUT_S = 2.0
MAX_CONCURRENT_QUERIES = 32


@dataclass(frozen=True)
class NodeStatus:
    """Result of a status query to one node.

    Parameters
    ----------
    node : str
        `IP:PORT` of the node.
    status : dict
        The status, empty if the node reported none.
    failure : Failure or None
        Why the query failed, None if it succeeded.
    """

    node: str
    status: dict[str, Any]
    failure: Failure | None = None


def fetch_all_statuses(client: AdminClient) -> list[NodeStatus]:
    """Query the status of every node.

    Parameters
    ----------
    client : AdminClient
        Client of the given nodes.

    Returns
    -------
    list of NodeStatus
        One for each given node and each member that a queried node reports.
    """
    pending = list(dict.fromkeys(client.nodes))
    status_by_node: dict[str, NodeStatus] = {}
    # Queried in parallel, so that a dead node delays no other.
    with ThreadPoolExecutor(MAX_CONCURRENT_QUERIES) as pool:
        while pending:
            statuses = list(pool.map(lambda node: _fetch_status(client, node), pending))
            discovered: list[str] = []
            for node_status in statuses:
                status_by_node[node_status.node] = node_status
                discovered.extend(_member_addresses(node_status.status))
            pending = [n for n in dict.fromkeys(discovered) if n not in status_by_node]
    return list(status_by_node.values())


def _fetch_status(client: AdminClient, node: str) -> NodeStatus:
    """Query the status of one node."""
    fetched = client.get_json(node, STATUS_PATH, STATUS_TIMEOUT_S)
    if not isinstance(fetched, Success):
        return NodeStatus(node, {}, fetched.failure())
    status = fetched.unwrap()
    return NodeStatus(node, status if isinstance(status, dict) else {})


def _member_addresses(status: dict[str, Any]) -> list[str]:
    """Return the HTTP addresses of the members in a status."""
    members = status.get("members")
    if not isinstance(members, list):
        return []
    addresses = []
    for member in members:
        address = member.get("address") if isinstance(member, dict) else member
        if not isinstance(address, str) or not is_address(address):
            continue
        addresses.append(address)
    return addresses


__all__ = ("STATUS_PATH", "NodeStatus", "fetch_all_statuses")
