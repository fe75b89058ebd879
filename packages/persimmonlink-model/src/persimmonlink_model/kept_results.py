"""Results kept for callers that retry or come back for their answer."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import StrEnum

from persimmonlink_model.request import Answer, StageReport
from persimmonlink_model.result_code import Failure

ID_OVERHEAD_BYTES = 200


class RequestPhase(StrEnum):
    """How far a request has come at its node."""

    RUNNING = "running"
    FINISHED = "finished"


class Registration(StrEnum):
    """What became of registering a request id."""

    NEW = "new"
    KNOWN = "known"
    RESUMED = "resumed"
    OTHER_BODY = "other_body"


@dataclass(frozen=True)
class Progress:
    """Stages of a request that are done and must not be run again.

    Parameters
    ----------
    text : str
        Output of the last of them.
    reports : tuple of StageReport
        What each took.
    """

    text: str
    reports: tuple[StageReport, ...]


@dataclass(frozen=True)
class KeptResult:
    """What a node knows of one request.

    Parameters
    ----------
    request_id : str
        The request.
    body_digest : str
        Digest of the body that the id was first used with.
    phase : RequestPhase
        Running or finished.
    started_at : float
        Monotonic time at which it was registered, in seconds.
    outcome : Answer or Failure or None
        The outcome of a finished request; None too when it was evicted.
    size : int
        Bytes that outcome and progress count for.
    progress : Progress or None
        Where a retry may go on, if a request failed after work that must not be
        repeated had succeeded.
    """

    request_id: str
    body_digest: str
    phase: RequestPhase
    started_at: float
    outcome: Answer | Failure | None = None
    size: int = 0
    progress: Progress | None = None


class KeptResults:
    """Requests by id, kept for a time and within a number of bytes.

    An outcome that is evicted for its bytes leaves its id behind, so that a retry
    is told that the request ran and is not run again.

    Parameters
    ----------
    retention_s : float
        Seconds for which an id is kept.
    max_bytes : int
        Bytes of outcomes that are kept.
    """

    def __init__(self, retention_s: float, max_bytes: int) -> None:
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.result_by_id: dict[str, KeptResult] = {}
        self._finished_ids: deque[str] = deque()

    def register(self, request_id: str, body_digest: str, now: float) -> Registration:
        """Register a request id before anything of it is run."""
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
        """Keep a request's outcome; the oldest outcomes make room for it."""
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
        """Keep a finished request of another node; return False if its id is known."""
        if result.request_id in self.result_by_id:
            return False
        self._store(result)
        return True

    def unregister(self, request_id: str) -> None:
        """Forget an id of which nothing was run, so that it may be used again."""
        self.result_by_id.pop(request_id, None)

    def find(self, request_id: str) -> KeptResult | None:
        """Return what is known of a request, or None."""
        return self.result_by_id.get(request_id)

    def list_finished(self, max_bytes: int) -> list[KeptResult]:
        """Return finished requests, the newest first, up to a number of bytes.

        Outcomes that don't fit are left out, and their ids come without them.
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
        """Forget finished requests whose time is over."""
        # Ids stand nearly in the order they were registered, so the first that must
        # stay ends it.
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
