"""Show records."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from returns.result import Success

from persimmonlink_cli.admin_client import AdminClient
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.output import write_failure, write_json
from persimmonlink_model.record import Record, RecordKind
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

NAME = "get"
SUMMARY = "Show the newest records: all, those of a kind, or one."
EXAMPLES = """\
  persimmonlink get --node 127.0.0.1:18001
  persimmonlink get pipeline
  persimmonlink get pipeline booking --json
  persimmonlink get pipeline booking --file > booking.json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    kinds = [kind.value for kind in RecordKind]
    parser.add_argument("kind", nargs="?", choices=kinds, help="kind of record")
    parser.add_argument("name", nargs="?", help="name of the record")
    parser.add_argument(
        "--file",
        action="store_true",
        help="print a record file to edit and `apply`, which then fails if the record "
        "was changed meanwhile",
    )


def execute(args: argparse.Namespace) -> ExitCode:
    """Print the records."""
    client = AdminClient(args.nodes)
    if args.name is not None:
        return _show_record(args, client)
    listed = client.list_records()
    if not isinstance(listed, Success):
        return write_failure(args, listed.failure())
    records = [each for each in listed.unwrap() if args.kind in (None, each.kind)]
    write_records(args, records)
    return ExitCode.OK


def write_records(args: argparse.Namespace, records: Sequence[Record]) -> None:
    """Print records as text, as JSON, or in the format of a record file."""
    if getattr(args, "file", False):
        write_json([_to_entry(record) for record in records])
        return
    if args.json:
        write_json({"records": [asdict(record) for record in records]})
        return
    for record in records:
        suffix = " deleted" if record.deleted else ""
        print(
            f"{record.kind.value} {record.name} revision {record.revision} "
            f"schema {record.schema_version} change {record.change_id}{suffix}"
        )


def _show_record(args: argparse.Namespace, client: AdminClient) -> ExitCode:
    """Print one record with all its fields."""
    found = client.find_record(args.kind, args.name)
    if not isinstance(found, Success):
        return write_failure(args, found.failure())
    record = found.unwrap()
    if record is None:
        detail = f"{args.kind} {args.name}"
        return write_failure(args, Failure(ResultCode.RECORD_NOT_FOUND, detail))
    write_json([_to_entry(record)] if args.file else asdict(record))
    return ExitCode.OK


def _to_entry(record: Record) -> dict[str, Any]:
    """Return a record in the format of a record file."""
    return {
        "kind": record.kind.value,
        "name": record.name,
        "schema_version": record.schema_version,
        "expected_revision": record.revision,
        "spec": record.spec,
    }


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute", "write_records")
