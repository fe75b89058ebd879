"""The log writer limits its rate and never blocks."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time

import msgspec

from persimmonlink_router.structured_log import (
    BURST_LINES,
    FINISH_TIMEOUT_S,
    LINES_PER_S,
    BoundedLineWriter,
)


def make_pipe() -> tuple[int, int]:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    return reader, writer


def test_lines_over_the_bound_are_dropped_and_counted():
    now = 0.0
    reader, descriptor = make_pipe()
    writer = BoundedLineWriter(descriptor, lambda: now)
    for _ in range(BURST_LINES + 50):
        writer.write(b"x\n")
    assert writer.dropped == 50
    now = 1.0
    writer.write(b"later\n")
    lines = os.read(reader, 1 << 20).splitlines()
    assert msgspec.json.decode(lines[-2]) == {"event": "log.dropped", "lines": 50}
    assert lines[-1] == b"later"


def test_the_line_rate_allowance_refills_over_time():
    now = 0.0
    _, descriptor = make_pipe()
    writer = BoundedLineWriter(descriptor, lambda: now)
    for _ in range(BURST_LINES):
        writer.write(b"x\n")
    now = 0.5
    for _ in range(LINES_PER_S // 2):
        writer.write(b"x\n")
    assert writer.dropped == 0


def test_a_stalled_reader_does_not_block_the_writer():
    now = 0.0
    _, descriptor = make_pipe()
    writer = BoundedLineWriter(descriptor, lambda: now)
    for _ in range(2000):
        now += 1.0
        writer.write(b"y" * 1000 + b"\n")
    assert writer.dropped > 0


def test_a_closed_reader_does_not_raise():
    reader, descriptor = make_pipe()
    os.close(reader)
    writer = BoundedLineWriter(descriptor, lambda: 0.0)
    writer.write(b"x\n")
    assert writer.dropped == 1


def read_late(reader: int, parts: list[bytes]) -> None:
    os.set_blocking(reader, True)
    while True:
        time.sleep(0.02)
        part = os.read(reader, 65536)
        parts.append(part)
        if part.endswith(b"last\n"):
            return


def test_the_last_lines_reach_a_slow_reader_before_the_process_ends():
    reader, descriptor = make_pipe()
    writer = BoundedLineWriter(descriptor, lambda: 0.0)
    for _ in range(100):
        writer.write(b"y" * 1000 + b"\n")
    writer.write(b"last\n")
    parts: list[bytes] = []
    thread = threading.Thread(target=read_late, args=(reader, parts), daemon=True)
    thread.start()
    writer.finish()
    thread.join(1.0)
    assert b"".join(parts).count(b"\n") == 101


def test_a_stalled_reader_delays_the_end_of_the_process_no_longer_than_allowed():
    _, descriptor = make_pipe()
    writer = BoundedLineWriter(descriptor, lambda: 0.0)
    for _ in range(100):
        writer.write(b"y" * 1000 + b"\n")
    began_at = time.monotonic()
    writer.finish()
    assert time.monotonic() - began_at < FINISH_TIMEOUT_S + 0.1


LIBRARY_MESSAGES = """
import logging, sys
from persimmonlink_router.structured_log import set_up_structured_log
log = set_up_structured_log("entry-0", "INFO")
for _ in range(1200):
    try:
        raise TimeoutError("late")
    except TimeoutError:
        logging.getLogger("grpclib.server").exception("Timeout occurred")
logging.getLogger("asyncio").error("a task was lost")
log.finish()
"""


def test_messages_of_libraries_do_not_block_a_node_whose_errors_nobody_reads(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-c", LIBRARY_MESSAGES], stdout=log, stderr=subprocess.PIPE
        )
        try:
            assert process.wait(timeout=10.0) == 0
        finally:
            process.kill()
            _, errors = process.communicate()
    assert not errors
    lines = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    assert [line["level"] for line in lines] == ["INFO"] * 1200 + ["ERROR"]
    assert lines[-1]["text"] == "a task was lost"
