"""Configures the daemon's logging."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from persimmonlink_node.settings import LogSettings


def configure_logging(settings: LogSettings, node_id: str) -> None:
    """Log to stderr, as text or as one JSON object per line."""
    logger.remove()
    logger.configure(extra={"node_id": node_id})
    logger.add(
        sys.stderr,
        level=settings.level,
        serialize=settings.json,
        format="{time:HH:mm:ss.SSS} {level:<7} {extra[node_id]} {message}",
        enqueue=False,
        backtrace=False,
        diagnose=False,
    )


__all__ = ("configure_logging",)
