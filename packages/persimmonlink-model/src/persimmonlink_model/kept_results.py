"""Results kept for callers that retry a request or fetch its answer later."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import StrEnum

from persimmonlink_model.request import Answer, StageReport
from persimmonlink_model.result_code import Failure

ID_OVERHEAD_BYTES = 200  # Size of a listed request, counted besides its outcome.


class RequestPhase(StrEnum):
    """Phase of a request at its node."""

    RUNNING = "running"
    FINISHED = "finished"


class Registration(StrEnum):
    """Outcome of registering a request id."""

    NEW = "new"
    KNOWN = "known"
    RESUMED = "resumed"
    OTHER_BODY = "other_body"


@dataclass(frozen=True)
class Progress:
    """Completed stages of a request, which must not be run again.

    Parameters
    ----------
    text : str
        Output of the last completed stage.
    reports : tuple of StageReport
        Reports of the completed stages.
    """

    text: str
    reports: tuple[StageReport, ...]


@dataclass(frozen=True)
class KeptResult:
    """State of one request at this node, with its outcome if kept.

    Parameters
    ----------
    request_id : str
        Id of the request.
    body_digest : str
        Digest of the body with which the id was first used.
    phase : RequestPhase
        Running or finished.
    started_at : float
        Monotonic time of the registration, in seconds.
    outcome : Answer or Failure or None
        Outcome of a finished request; None if it is running or was evicted.
    size : int
        Size of outcome and progress, in bytes.
    progress : Progress or None
        Stages after which a retry resumes, if the request failed after work that
        must not be repeated had succeeded.
    """

    request_id: str
    body_digest: str
    phase: RequestPhase
    started_at: float
    outcome: Answer | Failure | None = None
    size: int = 0
    progress: Progress | None = None


class KeptResults:
    """Requests by id, bounded by a retention time and a total size of outcomes.

    An outcome evicted to limit the size leaves its id behind, so that a retry is
    answered that the request ran, and the request is not run again.

    Parameters
    ----------
    retention_s : float
        Time for which an id is kept, in seconds.
    max_bytes : int
        Largest total size of the kept outcomes, in bytes.
    """

    def __init__(self, retention_s: float, max_bytes: int) -> None:
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.result_by_id: dict[str, KeptResult] = {}
        self._finished_ids: deque[str] = deque()

    def register(self, request_id: str, body_digest: str, now: float) -> Registration:
        """Register a request id before any work of the request starts."""
        self.discard_expired(now)
        existing = self.result_by_id.get(request_id)
        if existing is None:
            self.result_by_id[request_id] = KeptResult(
                request_id, body_digest, RequestPhase.RUNNING, now
            )
            return Registration.NEW
        if existing.body_digest != body_digest:
            return Registration.OTHER_BODY
        if existing.phase is RequestPhase.RUNNING or existing.progress is None:
            return Registration.KNOWN
        self.used_bytes -= existing.size
        self.result_by_id[request_id] = replace(
            existing, phase=RequestPhase.RUNNING, outcome=None, size=0
        )
        return Registration.RESUMED

    def finish(
        self,
        request_id: str,
        outcome: Answer | Failure,
        size: int,
        progress: Progress | None = None,
    ) -> None:
        """Keep a request's outcome, evicting the oldest outcomes if necessary."""
        existing = self.result_by_id[request_id]
        self._store(
            replace(
                existing,
                phase=RequestPhase.FINISHED,
                outcome=outcome,
                size=size,
                progress=progress,
            )
        )

    def import_result(self, result: KeptResult) -> bool:
        """Keep another node's finished request; return False if its id is known."""
        if result.request_id in self.result_by_id:
            return False
        self._store(result)
        return True

    def unregister(self, request_id: str) -> None:
        """Remove the id of a request that ran no work, so that it can be reused."""
        self.result_by_id.pop(request_id, None)

    def find(self, request_id: str) -> KeptResult | None:
        """Return the state of a request, or None if its id is unknown."""
        return self.result_by_id.get(request_id)

    def list_finished(self, max_bytes: int) -> list[KeptResult]:
        """Return finished requests, newest first, up to a total size in bytes.

        A request whose outcome does not fit is returned without it.
        """
        finished = []
        remaining_bytes = max_bytes
        for result in reversed(self.result_by_id.values()):
            if remaining_bytes < ID_OVERHEAD_BYTES:
                break
            if result.phase is not RequestPhase.FINISHED:
                continue
            remaining_bytes -= ID_OVERHEAD_BYTES
            if result.size > remaining_bytes:
                without_outcome = replace(result, outcome=None, size=0, progress=None)
                finished.append(without_outcome)
                continue
            remaining_bytes -= result.size
            finished.append(result)
        return finished

    def discard_expired(self, now: float) -> None:
        """Remove the finished requests whose retention time is over."""
        # Ids are nearly in the order of their registration, so the scan stops at the
        # first one that must be kept.
        while self.result_by_id:
            oldest = next(iter(self.result_by_id.values()))
            if now - oldest.started_at < self.retention_s:
                break
            if oldest.phase is RequestPhase.RUNNING:
                break
            self.used_bytes -= oldest.size
            del self.result_by_id[oldest.request_id]

    def _store(self, result: KeptResult) -> None:
        self.result_by_id[result.request_id] = result
        self.used_bytes += result.size
        self._finished_ids.append(result.request_id)
        self._evict()

    def _evict(self) -> None:
        while self.used_bytes > self.max_bytes and self._finished_ids:
            result = self.result_by_id.get(self._finished_ids.popleft())
            if result is None or result.outcome is None:
                continue
            self.used_bytes -= result.size
            self.result_by_id[result.request_id] = replace(
                result, outcome=None, size=0, progress=None
            )


__all__ = ("KeptResult", "KeptResults", "Progress", "Registration", "RequestPhase")
