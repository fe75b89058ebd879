"""Command line and entry point of `persimmonlinkd`."""

from __future__ import annotations

import argparse
import signal
import sys
import threading
from pathlib import Path

from returns.result import Failure as Err

from persimmonlink_node.daemon import Daemon
from persimmonlink_node.logs import configure_logging
from persimmonlink_node.settings import read_settings

EXIT_INVALID_SETTINGS = 2
EXAMPLES = """\
examples:
  persimmonlinkd --settings examples/entry-1.json
  persimmonlinkd --settings examples/entry-1.json --check
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="persimmonlinkd",
        description="Serve pipeline requests on this entry VM.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        type=Path,
        required=True,
        help="JSON settings file; may contain comments",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def run(arguments: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT, then stop it gracefully."""
    options = build_parser().parse_args(arguments)
    read = read_settings(options.settings)
    if isinstance(read, Err):
        for fault in read.failure():
            print(f"{options.settings}: {fault.path}: {fault.message}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = read.unwrap()
    if options.check:
        print(f"{options.settings}: valid")
        return 0
    configure_logging(settings.log, settings.node_id)
    stop = threading.Event()
    # A second signal only sets the event again, so that it doesn't abort the graceful
    # stop.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    daemon = Daemon(settings)
    daemon.start()
    stop.wait()
    daemon.stop()
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("build_parser", "run")
