"""Interface of the command modules, and arguments that commands share."""

from __future__ import annotations

import ipaddress
import os
from typing import TYPE_CHECKING, Protocol
from urllib.parse import urlsplit

if TYPE_CHECKING:
    import argparse


NODES_VARIABLE = "PERSIMMONLINK_NODES"


class Command(Protocol):
    """A subcommand of the `persimmonlink` program, implemented by a module."""

    NAME: str
    SUMMARY: str
    EXAMPLES: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command to its parser."""

    def execute(self, args: argparse.Namespace) -> int:
        """Run the command and return its exit code."""


def add_json_argument(parser: argparse.ArgumentParser) -> None:
    """Add `--json`."""
    parser.add_argument("--json", action="store_true", help="write JSON to stdout")


def add_node_argument(parser: argparse.ArgumentParser) -> None:
    """Add `--node`."""
    parser.add_argument(
        "--node",
        action="append",
        metavar="IP:PORT",
        help=f"node to query, repeatable (default: {NODES_VARIABLE}, comma-separated)",
    )


def find_nodes(args: argparse.Namespace) -> tuple[str, ...]:
    """Return the nodes given by `--node` or else by the environment.

    Parameters
    ----------
    args : argparse.Namespace
        Parsed arguments of a command that takes `--node`.

    Returns
    -------
    tuple of str
        `IP:PORT` of each node, empty if none is given.
    """
    named = args.node or os.environ.get(NODES_VARIABLE, "").split(",")
    return tuple(each.strip() for each in named if each.strip())


def is_address(text: str) -> bool:
    """Return whether a text is `IP:PORT`."""
    try:
        parts = urlsplit(f"//{text}")
        ipaddress.ip_address(parts.hostname or "")
        return parts.port is not None and parts.netloc == text
    except ValueError:
        return False


__all__ = (
    "NODES_VARIABLE",
    "Command",
    "add_json_argument",
    "add_node_argument",
    "find_nodes",
    "is_address",
)
