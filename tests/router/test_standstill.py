"""Standstills of a test's own loop are told from those of the machine."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time

import pytest
from tests.router.standstill import OwnTime, measure_standstill

STANDSTILL_S = 0.3
BUSY = "print(flush=True)\nwhile True: pass"


def compute(processor_s: float) -> None:
    ends_at = time.thread_time() + processor_s
    while time.thread_time() < ends_at:
        pass


async def measure_during(work) -> float:
    is_done = asyncio.Event()
    standstill = asyncio.ensure_future(measure_standstill(is_done))
    await asyncio.sleep(0)
    work(STANDSTILL_S)
    is_done.set()
    return await standstill


@pytest.fixture
def contended_processor():
    """Share one processor with a process that is always busy."""
    allowed = os.sched_getaffinity(0)
    processor = min(allowed)
    os.sched_setaffinity(0, {processor})
    command = [sys.executable, "-c", BUSY]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as busy:
        assert busy.stdout is not None
        busy.stdout.readline()
        yield
        busy.kill()
    os.sched_setaffinity(0, allowed)


@pytest.mark.parametrize("work", [compute, time.sleep])
def test_a_loop_that_is_busy_or_blocked_stands_still(work):
    standstill_s = asyncio.run(measure_during(work))
    assert standstill_s > STANDSTILL_S - 0.05


def test_the_time_without_a_processor_is_left_out(contended_processor):
    started_at, own_time = time.monotonic(), OwnTime()
    compute(STANDSTILL_S)
    took_s = own_time.read_s()
    with_waiting_s = time.monotonic() - started_at
    assert with_waiting_s > 1.3 * STANDSTILL_S
    assert STANDSTILL_S - 0.01 < took_s < (with_waiting_s + STANDSTILL_S) / 2
