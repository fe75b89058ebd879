"""Run the benchmark program, if it is installed."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.output import write_error

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

NAME = "bench"
SUMMARY = "Run the benchmark with the given arguments."
EXAMPLES = """\
  persimmonlink bench ARGUMENTS...
  persimmonlink bench -- --help"""

_MODULE = "persimmonlink_bench.run"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("arguments", nargs="*", help="arguments for the benchmark")


def execute(args: argparse.Namespace) -> int:
    """Run the benchmark with the parsed arguments."""
    return forward(args.arguments)


def forward(arguments: Sequence[str]) -> int:
    """Run the benchmark with a list of arguments.

    Parameters
    ----------
    arguments : sequence of str
        Arguments for the benchmark; a leading `--` is removed.

    Returns
    -------
    int
        The benchmark's exit code, or `BAD_INPUT` if it isn't installed.
    """
    try:
        module = importlib.import_module(_MODULE)
    except ModuleNotFoundError as error:
        if error.name not in (_MODULE, _MODULE.split(".")[0]):
            raise
        write_error("the benchmark is not installed (package persimmonlink-bench)")
        return ExitCode.BAD_INPUT
    forwarded = list(arguments)
    if forwarded[:1] == ["--"]:
        forwarded = forwarded[1:]
    return int(module.run(forwarded) or 0)


__all__ = ("EXAMPLES", "NAME", "SUMMARY", "add_arguments", "execute", "forward")
