"""Helpers of the tests of a stop."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from persimmonlink_router.router import Router

SHORT_STOP_S = 1.5


def shorten_stop(router: Router, stop_s: float = SHORT_STOP_S) -> None:
    """Give a router less time for its stop, in seconds."""
    limits = replace(router._settings.limits, stop_s=stop_s)
    router._settings = replace(router._settings, limits=limits)


@contextmanager
def collect_log() -> Iterator[list[Any]]:
    """Collect the log records of a test."""
    records: list[Any] = []
    sink = logger.add(lambda message: records.append(message.record), level="INFO")
    try:
        yield records
    finally:
        logger.remove(sink)


__all__ = ("collect_log", "shorten_stop")
