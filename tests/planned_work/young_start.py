"""Starts the router of a source tree as on a VM that has just booted.

Run in the tree as `young_start.py BASE`: the boot clock tells the time since BASE.
"""

from __future__ import annotations

import runpy
import sys
import time

base_s = float(sys.argv[1])
read_clock = time.clock_gettime


def read_young_clock(clock: int) -> float:
    """Return the time of a clock, that of the boot since the base."""
    value = read_clock(clock)
    return value - base_s if clock == time.CLOCK_BOOTTIME else value


time.clock_gettime = read_young_clock
program = "deploy/start.py"
sys.argv = [program]
runpy.run_path(program, run_name="__main__")
