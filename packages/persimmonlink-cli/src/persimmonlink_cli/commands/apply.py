"""Apply record files to the configuration."""

from __future__ import annotations

import difflib
import json
from typing import TYPE_CHECKING, Any

import uuid6
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_cli.admin_client import AdminClient, Change, ChangeFailure
from persimmonlink_cli.command import add_node_argument
from persimmonlink_cli.commands.validate import write_faults
from persimmonlink_cli.exit_code import ExitCode, exit_code_of
from persimmonlink_cli.output import format_failure, write_error, write_json
from persimmonlink_cli.record_file import RecordEntry, read_files

if TYPE_CHECKING:
    import argparse

NAME = "apply"
SUMMARY = "Validate record files, then write each record."
EXAMPLES = """\
  persimmonlink apply examples/trentside.json --node 127.0.0.1:18001
  PERSIMMONLINK_NODES=127.0.0.1:18001,127.0.0.1:18002 persimmonlink apply new.json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    add_node_argument(parser)
    parser.add_argument("files", nargs="+", metavar="FILE", help="JSON with comments")


def execute(args: argparse.Namespace) -> ExitCode:
    """Write each record, or none if any of them is invalid."""
    read = read_files(args.files)
    if not isinstance(read, Success):
        return write_faults(args, read.failure())
    client = AdminClient(args.nodes)
    worst_code = ExitCode.OK
    reports = []
    for entry in read.unwrap():
        written = write_record(client, entry)
        reports.append(_to_report(entry, written))
        if not args.json:
            _print_report(entry, written)
        if isinstance(written, Success):
            continue
        worst_code = max(worst_code, exit_code_of(written.failure().failure))
    if args.json:
        write_json({"records": reports})
    return worst_code


def write_record(client: AdminClient, entry: RecordEntry) -> Result[int, ChangeFailure]:
    """Write a record over its expected revision, or else over the newest one.

    Parameters
    ----------
    client : AdminClient
        Client of the nodes.
    entry : RecordEntry
        Record to write.

    Returns
    -------
    Result
        Revision of the write, or its failure. If the record was changed meanwhile, the
        write fails, so that a retry never undoes another change.
    """
    revision = entry.expected_revision
    if revision is None:
        found = client.find_record(entry.kind.value, entry.name)
        if not isinstance(found, Success):
            return Failed(ChangeFailure(found.failure()))
        current = found.unwrap()
        revision = 0 if current is None else current.revision
    change = Change(
        schema_version=entry.schema_version,
        change_id=str(uuid6.uuid7()),
        spec=entry.spec,
        expected_revision=revision,
    )
    return client.put_record(entry.kind.value, entry.name, change)


def _to_report(
    entry: RecordEntry, written: Result[int, ChangeFailure]
) -> dict[str, Any]:
    """Return the result for a record, as JSON."""
    report: dict[str, Any] = {"kind": entry.kind.value, "name": entry.name}
    if isinstance(written, Success):
        return {**report, "revision": written.unwrap()}
    failed = written.failure()
    report["problem"] = failed.failure.to_problem()
    if failed.winner is not None:
        report["winner"] = {
            "revision": failed.winner.revision,
            "change_id": failed.winner.change_id,
            "spec": failed.winner.spec,
        }
        report["difference"] = diff_specs(failed.winner.spec, entry.spec)
    return report


def _print_report(entry: RecordEntry, written: Result[int, ChangeFailure]) -> None:
    """Print the result for a record."""
    label = f"{entry.kind.value} {entry.name}"
    if isinstance(written, Success):
        print(f"{label}: revision {written.unwrap()}")
        return
    failed = written.failure()
    write_error(f"{label}: {format_failure(failed.failure)}")
    if failed.winner is None:
        return
    write_error(f"{label}: revision {failed.winner.revision} won; the difference:")
    for line in diff_specs(failed.winner.spec, entry.spec):
        write_error(line)


def diff_specs(winner: dict[str, Any], refused: dict[str, Any]) -> list[str]:
    """Return the difference of two specifications.

    Parameters
    ----------
    winner : dict
        The stored specification.
    refused : dict
        The specification that was not written.

    Returns
    -------
    list of str
        Lines of a unified diff, empty if the two are equal.
    """
    return list(
        difflib.unified_diff(
            _to_lines(winner), _to_lines(refused), "winner", "refused", lineterm=""
        )
    )


def _to_lines(spec: dict[str, Any]) -> list[str]:
    """Return a specification as lines of JSON."""
    return json.dumps(spec, indent=2, sort_keys=True, ensure_ascii=False).splitlines()


__all__ = (
    "EXAMPLES",
    "NAME",
    "SUMMARY",
    "add_arguments",
    "diff_specs",
    "execute",
    "write_record",
)
