"""Measures how long a test, or its event loop, takes by its own doing."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

TICK_S = 0.01
NS_PER_S = 10**9
# Of the thread that reads it: time run, time ready to run without a processor, in ns.
SCHEDULER_TIMES = Path("/proc/thread-self/schedstat")


def read_unscheduled_s() -> float:
    """Return for how long this thread was ready but got no processor, in seconds."""
    return int(SCHEDULER_TIMES.read_text().split()[1]) / NS_PER_S


class OwnTime:
    """Time from now on, without the time in which this thread got no processor."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._unscheduled_s = read_unscheduled_s()

    def read_s(self) -> float:
        """Return the time so far, in seconds."""
        unscheduled_s = read_unscheduled_s() - self._unscheduled_s
        return time.monotonic() - self._started_at - unscheduled_s


async def measure_standstill(until: asyncio.Event) -> float:
    """Return the longest time in which the event loop did nothing else, in seconds."""
    longest_s = 0.0
    while not until.is_set():
        own_time = OwnTime()
        await asyncio.sleep(TICK_S)
        longest_s = max(longest_s, own_time.read_s() - TICK_S)
    return longest_s
