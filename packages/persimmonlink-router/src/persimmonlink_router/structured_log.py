"""Structured log on standard output, rate-limited and non-blocking."""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 400  # Sustained rate; lines beyond it are dropped and counted.
BURST_LINES = 1600  # Lines that may be written at once after a quiet time.
# Lines are dropped while more bytes than this wait for a slow reader of the log.
MAX_PENDING_BYTES = 262144
FINISH_TIMEOUT_S = 0.1  # Longest wait for the reader at the end of the process.


class BoundedLineWriter:
    """Writes lines to a descriptor without blocking; drops and counts the excess.

    A token bucket limits the rate; a bounded buffer holds lines for a slow reader.

    Parameters
    ----------
    descriptor : int
        Non-blocking file descriptor to write to.
    clock : callable
        Returns the time, in seconds.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._pending = b""
        self._line_tokens = float(BURST_LINES)
        self._refilled_at = clock()
        self.dropped = 0
        self._reported_dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or drop it if the rate or the buffer is exceeded."""
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._line_tokens = min(BURST_LINES, self._line_tokens + refill)
        self._refilled_at = now
        if self._line_tokens < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._flush()
            return
        self._line_tokens -= 1
        if self.dropped > self._reported_dropped:
            notice = {"event": "log.dropped", "lines": self.dropped}
            self._pending += msgspec.json.encode(notice) + b"\n"
            self._reported_dropped = self.dropped
        self._pending += line
        self._flush()

    def finish(self) -> None:
        """Write the lines that wait, as far as the reader takes them soon."""
        ends_at = time.monotonic() + FINISH_TIMEOUT_S
        while self._pending and (left_s := ends_at - time.monotonic()) > 0:
            select.select((), (self._descriptor,), (), left_s)
            self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, which must not stop the node.
            self.dropped += self._pending.count(b"\n")
            self._pending = b""
            return
        self._pending = self._pending[written:]


class LibraryHandler(logging.Handler):
    """Passes on what libraries log, which would block on a full standard error."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message of a library as a line like others."""
        error = record.exc_info[1] if record.exc_info else None
        # A call that came too late, or took too long, is no fault of this node.
        level = "INFO" if isinstance(error, TimeoutError) else record.levelname
        bound = logger.bind(library=record.name, text=record.getMessage())
        bound.opt(exception=error).log(level, "library.message")


def set_up_structured_log(node: str, level: str) -> BoundedLineWriter:
    """Write the log of a node to standard output, one JSON object per line.

    What libraries log goes there, too.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = BoundedLineWriter(descriptor, boot_time)

    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].timestamp(),
            "boot_s": round(boot_time(), 3),
            "level": record["level"].name,
            "node": node,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
            line["traceback"] = str(message)[-2000:]
        writer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")

    logger.remove()
    logger.add(write, level=level, format="{message}\n{exception}", backtrace=False)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
    return writer


__all__ = ("BoundedLineWriter", "set_up_structured_log")
