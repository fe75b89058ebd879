"""Processor time and memory of processes, read from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Positions in /proc/PID/stat, counted from the field after the process name.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


@dataclass(frozen=True)
class ProcessUsage:
    """Processor time and memory of a process.

    Parameters
    ----------
    cpu_s : float
        User and system time since the start of the process, in seconds.
    rss_bytes : int
        Current resident memory, in bytes.
    """

    cpu_s: float
    rss_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a running process.

    Parameters
    ----------
    pid : int
        Process id.
    """
    process = Path("/proc") / str(pid)
    # The name may contain spaces; the other fields follow its closing parenthesis.
    fields = (process / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    rss_bytes = 0
    for line in (process / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            rss_bytes = int(line.split()[1]) * 1024
    return ProcessUsage(ticks / CLOCK_TICKS_PER_S, rss_bytes)


__all__ = ("ProcessUsage", "read_usage")
