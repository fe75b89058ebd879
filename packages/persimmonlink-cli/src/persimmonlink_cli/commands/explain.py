"""Show why a request was routed, refused or late."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from returns.result import Success

from persimmonlink_cli.admin_client import AdminClient
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.node_status import fetch_all_statuses
from persimmonlink_cli.output import write_failure, write_json
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    import argparse

NAME = "explain"
SUMMARY = "Show why a request was routed, refused or late."
EXAMPLES = """\
  persimmonlink explain 01a23e1d-342c-7f36-a2ff-301e26a40812 --node 127.0.0.1:18001"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    parser.add_argument("request_id", metavar="REQUEST_ID", help="id of the request")


def execute(args: argparse.Namespace) -> ExitCode:
    """Print the report of the first node that knows the request."""
    client = AdminClient(args.nodes)
    path = f"/v1/admin/requests/{quote(args.request_id, safe='')}"
    failure = Failure(ResultCode.ANSWER_NOT_HERE, args.request_id, RunState.UNKNOWN)
    for node_status in fetch_all_statuses(client):
        if node_status.failure is not None:
            failure = node_status.failure
            continue
        fetched = client.get_json(node_status.node, path)
        if isinstance(fetched, Success):
            write_json(fetched.unwrap())
            return ExitCode.OK
        failure = fetched.failure()
    return write_failure(args, failure)


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute")
