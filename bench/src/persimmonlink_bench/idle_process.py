"""A process that does nothing, with or without the daemon's imports."""

from __future__ import annotations

import importlib
import sys
import time

IDLE_S = 30.0
READY_MESSAGE = "ready"


def run() -> int:
    """Import the modules named as arguments, say so and wait."""
    for name in sys.argv[1:]:
        importlib.import_module(name)
    print(READY_MESSAGE, flush=True)
    time.sleep(IDLE_S)
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("READY_MESSAGE", "run")
