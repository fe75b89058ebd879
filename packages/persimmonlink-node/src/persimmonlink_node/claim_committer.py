"""Commits the claims of one shard in batches, at a bounded rate."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.claim_log import Claim, ClaimLog
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.claim_log import Decision
    from persimmonlink_model.request_id import RetryHorizon
    from persimmonlink_node.claim_log_store import ClaimLogStore, SharedLease
    from persimmonlink_node.metrics import Metrics

MAX_COMMIT_ATTEMPTS = 4
# A single failed read may be due to a pooled connection that went silent long ago.
MAX_FAILED_READS = 2
IDLE_WAIT_S = 1.0
RETRY_AFTER_S = 1.0

ClaimOutcome = Result[Claim, Failure]


@dataclass(frozen=True)
class _PendingClaim:
    claim: Claim
    future: Future[ClaimOutcome] = field(default_factory=Future)


class ClaimCommitter:
    """Collects the claims of one shard and appends them to its log in batches.

    A claim that arrives while the shard is idle is appended at once; claims that
    arrive before the next append may start form one batch.

    Parameters
    ----------
    log_store : ClaimLogStore
        The shard's log.
    lease : SharedLease
        Lease that the log's entries are stored under.
    horizon : RetryHorizon
        Maximum age of ids that may be claimed.
    appends_per_s : float
        Maximum rate of appends, per second.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Source of monotonic and Unix time.
    """

    def __init__(
        self,
        log_store: ClaimLogStore,
        lease: SharedLease,
        horizon: RetryHorizon,
        appends_per_s: float,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._log_store = log_store
        self._lease = lease
        self._interval_s = 1 / appends_per_s
        self._metrics = metrics
        self._clock = clock
        self._log = ClaimLog(horizon)
        self._is_log_current = False
        self._queue_changed = threading.Condition()
        self._queue: list[_PendingClaim] = []
        self._thread: threading.Thread | None = None
        self._stopped = threading.Event()

    def submit(self, claim: Claim) -> Future[ClaimOutcome]:
        """Queue a claim; the future's outcome is the claim that holds the id.

        The outcome fails with `REQUEST_ID_TOO_OLD` for an id beyond the horizon, and
        with `CLAIM_UNAVAILABLE` if the log can't be reached. In the latter case the
        claim may be in the log, but it was not reported as the holder.
        """
        pending = _PendingClaim(claim)
        with self._queue_changed:
            self._queue.append(pending)
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run_commit_loop, name="claim-committer", daemon=True
                )
                self._thread.start()
            self._queue_changed.notify()
        return pending.future

    def stop(self) -> None:
        """Stop the thread that appends."""
        self._stopped.set()
        with self._queue_changed:
            self._queue_changed.notify()

    def _run_commit_loop(self) -> None:
        while not self._stopped.is_set():
            with self._queue_changed:
                if not self._queue:
                    self._queue_changed.wait(IDLE_WAIT_S)
                    continue
                queued, self._queue = self._queue, []
            pending_claims = [
                p for p in queued if p.future.set_running_or_notify_cancel()
            ]
            started_at = self._clock.monotonic()
            try:
                self._commit(pending_claims)
            except Exception:
                logger.exception("claims were not committed")
                _fail_pending(pending_claims, "internal error in the claim committer")
            spent_s = self._clock.monotonic() - started_at
            self._stopped.wait(max(0.0, self._interval_s - spent_s))

    def _commit(self, pending_claims: list[_PendingClaim]) -> None:
        last_error = "too many concurrent appends by other nodes"
        failed_reads = 0
        for _ in range(MAX_COMMIT_ATTEMPTS):
            if not self._is_log_current:
                read = self._log_store.read_new_entries(self._log)
                if isinstance(read, Err):
                    last_error = read.failure().detail
                    failed_reads += 1
                    if failed_reads >= MAX_FAILED_READS:
                        break
                    continue
                self._is_log_current = True
            # The lease is obtained after this clock reading and lasts for at least the
            # retention time from then on, so that the entry outlasts the ids that are
            # young enough now, however long the append takes.
            now_ms = self._clock.unix_ms()
            decision = self._log.decide([p.claim for p in pending_claims], now_ms)
            pending_claims = _resolve_decided(pending_claims, decision)
            if decision.append is None:
                return
            appended = self._append(decision)
            if isinstance(appended, Success):
                _resolve_held(pending_claims, self._log)
                return
            last_error = appended.failure().detail
            # If the append succeeded and only its reply was lost, the next read finds
            # the entry, and its claims count as held by the nodes that made them.
            self._is_log_current = False
        _fail_pending(pending_claims, last_error)

    def _append(self, decision: Decision) -> Result[None, Failure]:
        append = decision.append
        assert append is not None
        leased = self._lease.get()
        if isinstance(leased, Err):
            return leased
        appended = self._log_store.append(append, leased.unwrap())
        self._metrics.count("claim_appends")
        if isinstance(appended, Err):
            self._lease.invalidate()
            return appended
        outcome = appended.unwrap()
        if not outcome.succeeded:
            self._metrics.count("claim_appends_lost")
            return Err(
                Failure(
                    ResultCode.CLAIM_UNAVAILABLE, "another entry was appended first"
                )
            )
        self._metrics.count("claims_appended", len(append.batch.claims))
        self._log.confirm(append, outcome.revision)
        return Success(None)


def _resolve_decided(
    pending_claims: Sequence[_PendingClaim], decision: Decision
) -> list[_PendingClaim]:
    """Complete the claims that the decision settles and return the others."""
    undecided = []
    for pending in pending_claims:
        request_id = pending.claim.request_id
        holder = decision.holder_by_id.get(request_id)
        if holder is not None:
            pending.future.set_result(Success(holder))
            continue
        if request_id in decision.too_old:
            detail = "the id became too old before it was claimed"
            failure = Failure(ResultCode.REQUEST_ID_TOO_OLD, detail, RunState.UNKNOWN)
            pending.future.set_result(Err(failure))
            continue
        undecided.append(pending)
    return undecided


def _resolve_held(pending_claims: Sequence[_PendingClaim], log: ClaimLog) -> None:
    for pending in pending_claims:
        holder = log.find(pending.claim.request_id)
        assert holder is not None
        pending.future.set_result(Success(holder))


def _fail_pending(pending_claims: Sequence[_PendingClaim], detail: str) -> None:
    failure = Failure(ResultCode.CLAIM_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S)
    for pending in pending_claims:
        if not pending.future.done():
            pending.future.set_result(Err(failure))


__all__ = ("ClaimCommitter", "ClaimOutcome")
