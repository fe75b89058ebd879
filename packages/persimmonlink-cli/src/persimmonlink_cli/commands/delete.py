"""Delete a record."""

from __future__ import annotations

from typing import TYPE_CHECKING

import uuid6
from returns.result import Success

from persimmonlink_cli.admin_client import AdminClient, Deletion
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.output import write_error, write_failure, write_json
from persimmonlink_model.record import RecordKind
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    import argparse

NAME = "delete"
SUMMARY = "Delete a record, unless it is changed meanwhile."
EXAMPLES = """\
  persimmonlink delete account festival-crew --node 127.0.0.1:18001
  persimmonlink delete pipeline booking --json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    kinds = [kind.value for kind in RecordKind]
    parser.add_argument("kind", choices=kinds, help="kind of record")
    parser.add_argument("name", help="name of the record")


def execute(args: argparse.Namespace) -> ExitCode:
    """Delete the record, unless it is changed meanwhile."""
    client = AdminClient(args.nodes)
    found = client.find_record(args.kind, args.name)
    if not isinstance(found, Success):
        return write_failure(args, found.failure())
    record = found.unwrap()
    if record is None:
        detail = f"{args.kind} {args.name}"
        return write_failure(args, Failure(ResultCode.RECORD_NOT_FOUND, detail))
    deletion = Deletion(str(uuid6.uuid7()), record.revision)
    deleted = client.delete_record(args.kind, args.name, deletion)
    if not isinstance(deleted, Success):
        failed = deleted.failure()
        if failed.winner is not None and not args.json:
            write_error(f"revision {failed.winner.revision} won: {failed.winner.spec}")
        return write_failure(args, failed.failure)
    if args.json:
        write_json({"kind": args.kind, "name": args.name, "revision": deleted.unwrap()})
    else:
        print(f"{args.kind} {args.name}: deleted at revision {deleted.unwrap()}")
    return ExitCode.OK


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute")
