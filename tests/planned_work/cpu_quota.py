"""Gives each process a share of a core as a quota of each tenth of a second."""

from __future__ import annotations

import os
import signal
import threading
import time
from contextlib import suppress
from pathlib import Path

PERIOD_S = 0.1
POLL_S = 0.005


class CpuQuota:
    """Suspends processes that have used up their share until the next period.

    Parameters
    ----------
    share : float
        Share of a core.
    """

    def __init__(self, share: float) -> None:
        self._quota_ns = share * PERIOD_S * 1e9
        self._used_ns_by_pid: dict[int, float] = {}
        self._is_over = threading.Event()
        self._lock = threading.Lock()
        self.suspensions = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def add(self, pid: int) -> None:
        """Bound a process from now on."""
        with self._lock:
            self._used_ns_by_pid[pid] = _read_used_ns(pid) or 0.0

    def remove(self, pid: int) -> None:
        """Leave a process alone whose end is awaited, before its id is free again."""
        with self._lock:
            self._used_ns_by_pid.pop(pid, None)

    def stop(self) -> None:
        """Leave all processes alone."""
        self._is_over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_over.is_set():
            self._play_period()

    def _play_period(self) -> None:
        ends_at = time.monotonic() + PERIOD_S
        suspended: set[int] = set()
        with self._lock:
            pids = list(self._used_ns_by_pid)
        begin_by_pid = {pid: _read_used_ns(pid) for pid in pids}
        while time.monotonic() < ends_at:
            for pid, begin_ns in begin_by_pid.items():
                used_ns = _read_used_ns(pid)
                if begin_ns is None or used_ns is None or pid in suspended:
                    continue
                if used_ns - begin_ns > self._quota_ns:
                    self._send(pid, signal.SIGSTOP)
                    suspended.add(pid)
                    self.suspensions += 1
            time.sleep(POLL_S)
        for pid in suspended:
            self._send(pid, signal.SIGCONT)

    def _send(self, pid: int, number: signal.Signals) -> None:
        with self._lock, suppress(ProcessLookupError):
            if pid in self._used_ns_by_pid:
                os.kill(pid, number)


def _read_used_ns(pid: int) -> float | None:
    """Return the processor time of a process, None if it has ended."""
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    return float(text.split()[0]) if text else None
