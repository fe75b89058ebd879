"""Entry point of the `persimmonlink` program, which dispatches to the commands."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from persimmonlink_cli.command import Command, add_json_argument, find_nodes, is_address
from persimmonlink_cli.commands import (
    apply,
    bench,
    call,
    delete,
    domain,
    explain,
    get,
    history,
    status,
    validate,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

COMMANDS: tuple[Command, ...] = (
    apply,
    get,
    validate,
    status,
    call,
    history,
    delete,
    domain,
    explain,
    bench,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="persimmonlink",
        description="Operate persimmonlink and call its pipelines.",
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.NAME,
            help=command.SUMMARY,
            description=command.SUMMARY,
            epilog=f"examples:\n{command.EXAMPLES}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        add_json_argument(subparser)
        command.add_arguments(subparser)
        subparser.set_defaults(execute=command.execute, error=subparser.error)
    return parser


def run(argv: Sequence[str] | None = None) -> int:
    """Run a command.

    Parameters
    ----------
    argv : sequence of str or None
        Arguments without the program name, or None for those of the process.

    Returns
    -------
    int
        The exit code.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    if arguments[:1] == [bench.NAME] and arguments[1:2] not in (["--help"], ["-h"]):
        return int(bench.forward(arguments[1:]))
    args = build_parser().parse_args(arguments)
    if hasattr(args, "node"):
        args.nodes = find_nodes(args)
        if not args.nodes:
            args.error("give a node with --node or in PERSIMMONLINK_NODES")
        for node in args.nodes:
            if not is_address(node):
                args.error(f"node {node!r} is not IP:PORT")
    return int(args.execute(args))


__all__ = ("COMMANDS", "build_parser", "run")
