"""Output of the commands, as text or as JSON."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from persimmonlink_cli.exit_code import ExitCode, exit_code_of

if TYPE_CHECKING:
    import argparse

    from persimmonlink_model.result_code import Failure


def write_json(value: Any, *, indent: int | None = 2) -> None:
    """Write a value to stdout as JSON."""
    print(json.dumps(value, indent=indent, ensure_ascii=False), flush=True)


def write_error(text: str) -> None:
    """Write an error message to stderr."""
    print(f"persimmonlink: {text}", file=sys.stderr)


def write_failure(args: argparse.Namespace, failure: Failure) -> ExitCode:
    """Write a failure and return its exit code.

    Parameters
    ----------
    args : argparse.Namespace
        Arguments of the command; `json` selects the format.
    failure : Failure
        Failure that ended the command.

    Returns
    -------
    ExitCode
        The exit code of the command.
    """
    if args.json:
        write_json(failure.to_problem())
    else:
        write_error(format_failure(failure))
    return exit_code_of(failure)


def format_failure(failure: Failure) -> str:
    """Format a failure as one line of text."""
    problem = failure.to_problem()
    hint = ""
    if failure.retry_after_s is not None:
        hint = f"; retry after {failure.retry_after_s:g} s"
    state = failure.run_state.value.replace("_", " ")
    return f"{failure.code.value} {problem['title']}: {failure.detail} ({state}){hint}"


__all__ = ("format_failure", "write_error", "write_failure", "write_json")
