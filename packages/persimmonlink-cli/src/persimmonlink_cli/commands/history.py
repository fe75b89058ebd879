"""Show the versions of a record."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from persimmonlink_cli.admin_client import AdminClient
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.commands.get import write_records
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.output import write_failure
from persimmonlink_model.record import RecordKind

if TYPE_CHECKING:
    import argparse

NAME = "history"
SUMMARY = "Show the versions of a record that are kept."
EXAMPLES = """\
  persimmonlink history domain midlands-a --node 127.0.0.1:18001
  persimmonlink history account festival-crew --json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    kinds = [kind.value for kind in RecordKind]
    parser.add_argument("kind", choices=kinds, help="kind of record")
    parser.add_argument("name", help="name of the record")


def execute(args: argparse.Namespace) -> ExitCode:
    """Print the versions."""
    listed = AdminClient(args.nodes).list_history(args.kind, args.name)
    if not isinstance(listed, Success):
        return write_failure(args, listed.failure())
    write_records(args, listed.unwrap())
    return ExitCode.OK


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute")
