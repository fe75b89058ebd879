"""Measures how long the event loop of a test does nothing else."""

from __future__ import annotations

import asyncio
import time

TICK_S = 0.01


async def measure_standstill(until: asyncio.Event) -> float:
    """Return the longest time in which the event loop did nothing else, in seconds."""
    longest_s = 0.0
    while not until.is_set():
        before = time.monotonic()
        await asyncio.sleep(TICK_S)
        longest_s = max(longest_s, time.monotonic() - before - TICK_S)
    return longest_s
