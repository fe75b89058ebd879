"""Monotonic clock that includes the time for which the VM was suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return seconds since the VM booted, suspended time included.

    Deadlines, leases and the age of the cluster view use this clock: `time.monotonic`
    does not advance while a VM is suspended, and the wall clock jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ("boot_time",)
