"""Memory and descriptors of the machine, where the settings don't name them."""

from __future__ import annotations

import os
import resource
from pathlib import Path

from persimmonlink_router.client_pressure.memory_plan import BYTES_PER_MB

# Limit of the process's control group; its text is `max` if there is none.
GROUP_MEMORY_PATH = Path("/sys/fs/cgroup/memory.max")


def read_memory_mb() -> float:
    """Return the memory that the process may take, in megabytes; 0 if unknown."""
    try:
        total = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    except (ValueError, OSError):
        return 0.0
    return min(total, _read_group_bytes(total)) / BYTES_PER_MB


def read_max_descriptors() -> int:
    """Return the descriptors that the process may open; 0 if there is no limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft


def _read_group_bytes(default: int) -> int:
    try:
        text = GROUP_MEMORY_PATH.read_text(encoding="ascii").strip()
        return int(text)
    except (OSError, ValueError):
        return default


__all__ = ("read_max_descriptors", "read_memory_mb")
