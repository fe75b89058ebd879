"""What coordinating stages takes of a node's processor, and how much work waits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_router.metrics import RouterMetrics

REPORT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class _Report:
    at: float
    processor_s: float


class StageLoadLog:
    """Logs, each second with jobs, what they took of the processor.

    Parameters
    ----------
    metrics : RouterMetrics
        Gets the number of pieces that wait, of all services.
    """

    def __init__(self, metrics: RouterMetrics) -> None:
        self._metrics = metrics
        self._jobs = 0
        self._calls = 0
        self._last: _Report | None = None

    def record_job(self) -> None:
        """Count a job that was admitted or refused."""
        self._jobs += 1

    def record_call(self) -> None:
        """Count a call to a stage server that has ended."""
        self._calls += 1

    def tick(
        self, waiting_by_service: Mapping[str, int], now: float, processor_s: float
    ) -> None:
        """Report once `REPORT_INTERVAL_S` has passed since the last report.

        Parameters
        ----------
        waiting_by_service : Mapping of str to int
            Pieces that wait for servers.
        now : float
            Boot time, in seconds.
        processor_s : float
            Processor time that the process has used so far, in seconds.
        """
        last = self._last
        if last is not None and now - last.at < REPORT_INTERVAL_S:
            return
        self._last = _Report(now, processor_s)
        waiting = sum(waiting_by_service.values())
        self._metrics.set_gauge("stage_pieces_waiting", waiting)
        if last is not None and self._jobs:
            logger.bind(
                jobs=self._jobs,
                calls=self._calls,
                waiting=waiting,
                elapsed_s=round(now - last.at, 3),
                processor_s=round(processor_s - last.processor_s, 3),
            ).info("stages.load")
        self._jobs = self._calls = 0


__all__ = ("REPORT_INTERVAL_S", "StageLoadLog")
