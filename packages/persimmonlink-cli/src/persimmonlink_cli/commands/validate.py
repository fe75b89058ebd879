"""Validate record files without a connection to any node."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from returns.result import Success

from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.output import write_error, write_json
from persimmonlink_cli.record_file import read_files

if TYPE_CHECKING:
    import argparse

    from persimmonlink_model.validation import Fault

NAME = "validate"
SUMMARY = "Validate record files offline and report every fault."
EXAMPLES = """\
  persimmonlink validate examples/trentside.json
  persimmonlink validate --json *.json"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("files", nargs="+", metavar="FILE", help="JSON with comments")


def execute(args: argparse.Namespace) -> ExitCode:
    """Validate the files."""
    read = read_files(args.files)
    if not isinstance(read, Success):
        return write_faults(args, read.failure())
    if args.json:
        write_json({"faults": [], "records": len(read.unwrap())})
    else:
        print(f"{len(read.unwrap())} records are valid")
    return ExitCode.OK


def write_faults(args: argparse.Namespace, faults: tuple[Fault, ...]) -> ExitCode:
    """Print every fault and return `BAD_INPUT`."""
    if args.json:
        write_json({"faults": [asdict(fault) for fault in faults]})
        return ExitCode.BAD_INPUT
    for fault in faults:
        write_error(f"{fault.path}: {fault.message}")
    return ExitCode.BAD_INPUT


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute", "write_faults")
