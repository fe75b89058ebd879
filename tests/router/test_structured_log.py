"""The log writer limits its rate and never blocks."""

from __future__ import annotations

import os

import msgspec

from persimmonlink_router.structured_log import (
    BURST_LINES,
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
