"""Starts a router from the source tree, with the libraries that the build installed."""

from __future__ import annotations

import signal

# SIGHUP would end the process by default until the router has its own handler.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
SOURCES = (
    "packages/persimmonlink-model/src",
    "packages/persimmonlink-peers/src",
    "packages/persimmonlink-router/src",
    "platform/src",
)


def main() -> int:
    """Add the source folders to the import path and run the router."""
    sys.path[:0] = [str(ROOT / source) for source in SOURCES]
    from persimmonlink_adapter.__main__ import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
