"""Show the status of the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from persimmonlink_cli.admin_client import AdminClient
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.node_status import NodeStatus, fetch_all_statuses
from persimmonlink_cli.output import format_failure, write_error, write_json

if TYPE_CHECKING:
    import argparse

NAME = "status"
SUMMARY = "Show the status of the given nodes and of the members that they report."
EXAMPLES = """\
  persimmonlink status --node 127.0.0.1:18001
  persimmonlink status --json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)


def execute(args: argparse.Namespace) -> ExitCode:
    """Print each status; exit as `UNAVAILABLE` if a node reported none."""
    statuses = fetch_all_statuses(AdminClient(args.nodes))
    if args.json:
        write_json({"nodes": {each.node: _to_json(each) for each in statuses}})
    else:
        _print_revisions(statuses)
        for each in statuses:
            _print_status(each)
    if any(each.failure is not None for each in statuses):
        return ExitCode.UNAVAILABLE
    return ExitCode.OK


def _to_json(node_status: NodeStatus) -> dict[str, Any]:
    """Return the status of a node, or why it has none, as JSON."""
    if node_status.failure is None:
        return node_status.status
    return {"problem": node_status.failure.to_problem()}


def _print_revisions(statuses: list[NodeStatus]) -> None:
    """Print the configuration on each node; write an error if the digests differ."""
    digests = {each.status.get("digest") for each in statuses}
    for each in statuses:
        refused = each.status.get("refused_records") or []
        drained = sorted(each.status.get("drained_domains") or {})
        print(
            f"{each.node} revision {each.status.get('revision', 'unknown')} "
            f"digest {each.status.get('digest', 'unknown')} "
            f"refused {len(refused)} drained {','.join(drained) or 'none'}"
        )
    if len(digests) > 1:
        write_error("the nodes have different configurations")


def _print_status(node_status: NodeStatus) -> None:
    """Print a status with one line per field and per item of a list."""
    if node_status.failure is not None:
        write_error(f"{node_status.node}: {format_failure(node_status.failure)}")
        return
    print(f"{node_status.node}:")
    for key, value in node_status.status.items():
        if not isinstance(value, list):
            print(f"  {key}: {value}")
            continue
        print(f"  {key}:")
        for item in value:
            print(f"    {_format_item(item)}")


def _format_item(item: Any) -> str:
    """Return an item of a list as one line."""
    if not isinstance(item, dict):
        return str(item)
    return ", ".join(f"{key} {value}" for key, value in item.items())


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute")
