"""Log lines of the coordinator about admissions, batches and completed stages."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from persimmonlink_router.pending_piece import PendingPiece
    from persimmonlink_router.send_basis import SendBasis
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_admission import Admission
    from persimmonlink_router.stage_chain import StageChain
    from persimmonlink_router.stage_job import StageJob
    from persimmonlink_router.wire_messages import PieceResult


def log_admission(
    job: StageJob, admission: Admission, waiting: Mapping[str, int]
) -> None:
    """Log an admission decision and the pieces that wait for each service."""
    logger.bind(
        request=job.request_id,
        outcome=admission.outcome.value,
        predicted_s=round(admission.predicted_s, 3),
        deadline_left_s=round(job.deadline_left_s, 3),
        objective_left_s=round(job.objective_left_s, 3),
        retry_after_s=round(admission.retry_after_s, 3),
        has_turn=admission.has_turn,
        waiting=waiting,
        account=job.account,
    ).info("stages.admission_decided")


def log_completion(chain: StageChain) -> None:
    """Log how long each stage of a request waited and ran."""
    now = boot_time()
    logger.bind(
        request=chain.job.request_id,
        took_s=round(now - chain.arrived_at, 3),
        objective_left_s=round(chain.objective_at - now, 3),
        stages=[
            {
                "service": need.service,
                "pieces": need.pieces,
                "waited_s": round(times.sent_at - times.ready_at, 3),
                "ran_s": round(times.done_at - times.sent_at, 3),
            }
            for need, times in zip(chain.job.stages, chain.times, strict=True)
            if need.pieces
        ],
    ).info("stages.completed")


def log_batch(
    server: Server,
    batch: Sequence[PendingPiece],
    results: Sequence[PieceResult] | None,
    started_at: float,
    expected_s: float,
    bases: Sequence[SendBasis],
) -> None:
    """Log a batch, the time that its call took, and the failures of its pieces.

    Parameters
    ----------
    server : Server
        Server of the batch.
    batch : sequence of PendingPiece
        Its pieces.
    results : sequence of PieceResult or None
        Results of the pieces; None if the call failed or was refused.
    started_at : float
        Boot time at which the call was begun, in seconds.
    expected_s : float
        Time that it was expected to take, in seconds.
    bases : sequence of SendBasis
        What the node knew of the server as it sent; empty if nothing was sent.
    """
    failures = Counter(r.failure for r in results or () if r.failure is not None)
    logger.bind(
        server=server.server_id,
        service=server.service,
        pieces=len(batch),
        requests=sorted({piece.chain.job.request_id for piece in batch}),
        took_s=round(boot_time() - started_at, 3),
        expected_s=round(expected_s, 3),
        outcome="no_results" if results is None else "done",
        failures=dict(failures),
        sent_on=[basis.describe(started_at) for basis in bases],
    ).info("stages.batch_completed")


__all__ = ("log_admission", "log_batch", "log_completion")
