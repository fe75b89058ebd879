"""An idle process for memory measurements, with optional imports."""

from __future__ import annotations

import importlib
import sys
import time

IDLE_S = 30.0
READY_MESSAGE = "ready"


def run() -> int:
    """Import the modules given as arguments, print the ready message and sleep."""
    for name in sys.argv[1:]:
        importlib.import_module(name)
    print(READY_MESSAGE, flush=True)
    time.sleep(IDLE_S)
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("READY_MESSAGE", "run")
