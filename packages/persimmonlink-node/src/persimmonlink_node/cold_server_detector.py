"""Detects servers that may have turned cold from the results of this node's calls."""

from __future__ import annotations

from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING, Protocol

from returns.result import Success

from persimmonlink_interfaces.stage_client import CallFault
from persimmonlink_peers.grant_messages import ServerProgress

if TYPE_CHECKING:
    from returns.result import Result

    from persimmonlink_interfaces.stage_client import CallFailure, StageOutput
    from persimmonlink_model.record import StageSpec
    from persimmonlink_node.call_statistics import CallObserver

LATE_FIRST_BYTE_FACTOR = 8.0  # Multiple of the stage's mean first-byte time.
MIN_LATE_FIRST_BYTE_S = 0.25
MIN_FIRST_BYTE_EWMA_WEIGHT = 0.05
MIN_FIRST_BYTE_SAMPLES = 20
COLD_FAULTS = frozenset({CallFault.NOT_RUN, CallFault.BROKEN, CallFault.READ_TIMEOUT})


class ColdServerListener(Protocol):
    """Receives reports of servers that may have turned cold."""

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Handle a server that may have turned cold.

        The incarnation is empty unless the server restarted.
        """
        ...


class ProgressSource(Protocol):
    """Provides the completions that this node has counted on each server."""

    def read_progress(self) -> dict[str, ServerProgress]:
        """Return the completions of the current incarnation by server id."""
        ...


@dataclass
class _FirstByteStatistics:
    mean_s: float = 0.0
    samples: int = 0

    def record_sample(self, seconds: float) -> bool:
        """Add a sample; return whether it was far above the previous mean."""
        is_outlier = (
            self.samples >= MIN_FIRST_BYTE_SAMPLES
            and seconds > MIN_LATE_FIRST_BYTE_S
            and seconds > LATE_FIRST_BYTE_FACTOR * self.mean_s
        )
        self.samples += 1
        weight = max(MIN_FIRST_BYTE_EWMA_WEIGHT, 1 / self.samples)
        self.mean_s += weight * (seconds - self.mean_s)
        return is_outlier


class ColdServerDetector:
    """A call observer that also reports servers that may have turned cold.

    Parameters
    ----------
    observer : CallObserver
        Observer that each call is forwarded to.
    listener : ColdServerListener
        Receives the reports of possibly cold servers.
    """

    def __init__(self, observer: CallObserver, listener: ColdServerListener) -> None:
        self._observer = observer
        self._listener = listener
        self._lock = Lock()
        self._progress_by_server: dict[str, ServerProgress] = {}
        self._first_byte_statistics_by_stage: dict[str, _FirstByteStatistics] = {}

    def observe(
        self,
        stage: StageSpec,
        server_id: str,
        called: Result[StageOutput, CallFailure],
    ) -> None:
        """Record the result of a call; report the server if it may be cold."""
        self._observer.observe(stage, server_id, called)
        if isinstance(called, Success):
            output = called.unwrap()
            restarted = self._record_completion(server_id, output.incarnation)
            is_late = self._record_first_byte(stage, output.first_byte_s)
            incarnation = output.incarnation
            reason = "new incarnation" if restarted else "late first byte"
            is_suspect = restarted or is_late
        else:
            failed = called.failure()
            incarnation = failed.incarnation
            reason = failed.fault.value
            is_suspect = failed.fault in COLD_FAULTS
            restarted = self._record_incarnation(server_id, incarnation)
        if is_suspect or restarted:
            new_incarnation = incarnation if restarted else ""
            self._listener.report_cold_server(
                stage.service, server_id, new_incarnation, reason
            )

    def estimate_cost(self, stage: StageSpec) -> float:
        """Return the expected cost of a stage, in server seconds."""
        return self._observer.estimate_cost(stage)

    def acquire_retry(self) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted."""
        return self._observer.acquire_retry()

    def release_retry(self) -> None:
        """Return an unused retry to the budget."""
        self._observer.release_retry()

    def read_progress(self) -> dict[str, ServerProgress]:
        """Return the completions of the current incarnation by server id."""
        with self._lock:
            return dict(self._progress_by_server)

    def _record_completion(self, server_id: str, incarnation: str) -> bool:
        restarted = self._record_incarnation(server_id, incarnation)
        with self._lock:
            known = self._progress_by_server.get(server_id)
            if known is not None and known.incarnation == incarnation:
                self._progress_by_server[server_id] = ServerProgress(
                    incarnation, known.completed + 1
                )
        return restarted

    def _record_incarnation(self, server_id: str, incarnation: str) -> bool:
        """Record a server's incarnation; return whether it replaces a known one."""
        if not incarnation:
            return False
        with self._lock:
            known = self._progress_by_server.get(server_id)
            if known is not None and known.incarnation == incarnation:
                return False
            self._progress_by_server[server_id] = ServerProgress(incarnation, 0)
            return known is not None

    def _record_first_byte(self, stage: StageSpec, seconds: float) -> bool:
        with self._lock:
            statistics = self._first_byte_statistics_by_stage.setdefault(
                stage.name, _FirstByteStatistics()
            )
            return statistics.record_sample(seconds)


__all__ = ("ColdServerDetector", "ColdServerListener", "ProgressSource")
