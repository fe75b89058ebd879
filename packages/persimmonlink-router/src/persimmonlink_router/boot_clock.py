"""A steady clock that counts the time a VM was suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return seconds since the VM started, suspended time included.

    Deadlines, leases and the age of beliefs are counted on this clock: the monotonic
    clock stands still while a VM is suspended, and the time of day jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ("boot_time",)
