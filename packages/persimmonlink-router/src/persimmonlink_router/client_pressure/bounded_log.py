"""Log lines whose number is bounded by cause and time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loguru import logger

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from persimmonlink_router.metrics import RouterMetrics

INTERVAL_S = 1.0  # Time over which the lines of a cause are counted.
MAX_LINES = 10  # Lines of a cause in that time; further ones are counted.


@dataclass(slots=True)
class _Count:
    began_at: float
    lines: int = 0
    left_out: int = 0


class BoundedLog:
    """Writes the first lines of each cause, and how many it has left out.

    Parameters
    ----------
    metrics : RouterMetrics or None
        Counts all events, by cause.
    max_lines : int
        Lines of each cause in `INTERVAL_S`.
    """

    def __init__(
        self, metrics: RouterMetrics | None = None, max_lines: int = MAX_LINES
    ) -> None:
        self._metrics = metrics
        self._max_lines = max_lines
        self._count_by_cause: dict[tuple[str, str], _Count] = {}

    def write(self, level: str, event: str, cause: str = "", **fields: Any) -> None:
        """Write a line, or count it if its cause has had its lines.

        Parameters
        ----------
        level : str
            Level of the line.
        event, cause : str
            What happened and why; lines of each pair are counted together. Causes
            must be few.
        **fields
            Further fields of the line.
        """
        if self._metrics is not None:
            labels = f'event="{event}",cause="{cause}"'
            self._metrics.count("client_events_total", labels)
        now = boot_time()
        count = self._count_by_cause.setdefault((event, cause), _Count(now))
        if now - count.began_at > INTERVAL_S:
            count.began_at = now
            count.lines = 0
        if count.lines >= self._max_lines:
            count.left_out += 1
            return
        count.lines += 1
        if count.left_out:
            fields["left_out"] = count.left_out
            count.left_out = 0
        logger.bind(**fields).log(level, event)


__all__ = ("BoundedLog",)
