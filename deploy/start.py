"""Starts a router from the source tree, with the libraries that the build placed."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = (
    "packages/persimmonlink-model/src",
    "packages/persimmonlink-peers/src",
    "packages/persimmonlink-router/src",
    "platform/src",
)


def main() -> int:
    """Put the sources on the path and run."""
    sys.path[:0] = [str(ROOT / source) for source in SOURCES]
    from persimmonlink_adapter.__main__ import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
