"""Has the C library give the memory of freed bodies back to the system."""

from __future__ import annotations

import ctypes

# Parameters of mallopt (malloc.h).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks of this size are mapped one by one, and unmapped when they are freed. The C
# library raises its own threshold with the first large body, so that the bodies of a
# crowd leave a heap that stays large. What asyncio reads at once is smaller.
MAPPED_BLOCK_BYTES = 300_000
FREE_HEAP_BYTES = 2_000_000  # Free memory at the end of the heap that is kept.


def return_freed_memory() -> bool:
    """Set both thresholds; return whether the C library knows them."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        and mallopt(M_TRIM_THRESHOLD, FREE_HEAP_BYTES)
    )


__all__ = ("return_freed_memory",)
