"""Builds the pending pieces of a stage that is ready to run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from persimmonlink_router.pending_piece import PendingPiece

if TYPE_CHECKING:
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.stage_chain import StageChain


def build_pending_pieces(
    chain: StageChain, index: int, cluster_view: ClusterView, now: float
) -> list[PendingPiece]:
    """Return the pieces of a stage that have no result yet."""
    domain = _choose_preferred_domain(chain, index)
    inputs_expire_at = _find_inputs_expiry(chain, index, cluster_view, now)
    return [
        PendingPiece(
            chain,
            index,
            number,
            chain.epoch(index),
            now,
            domain,
            inputs_expire_at,
        )
        for number in range(chain.job.stages[index].pieces)
        if not chain.has_result(index, number)
    ]


def _find_inputs_expiry(
    chain: StageChain, index: int, cluster_view: ClusterView, now: float
) -> float:
    """Return the boot time at which the first input of a stage expires."""
    expire_at = float("inf")
    for other in chain.job.stages[index].after:
        service = cluster_view.find_service(chain.job.stages[other].service)
        if service is None or service.batch is None:
            continue
        made_at = chain.times[other].first_result_at or now
        expire_at = min(expire_at, made_at + service.batch.result_ttl_s)
    return expire_at


def _choose_preferred_domain(chain: StageChain, index: int) -> str:
    """Return the domain with the most input and output bytes.

    These bytes cross domains if the stage runs elsewhere. Each piece reads all inputs
    of its stage, and the request itself reads the results of the final stages.
    """
    need = chain.job.stages[index]
    bytes_by_domain: Counter[str] = Counter()
    for result in chain.list_inputs(index):
        bytes_by_domain[result.server.domain] += result.size * need.pieces
    if chain.is_final(index) and chain.job.answer_domain:
        bytes_by_domain[chain.job.answer_domain] += need.result_bytes * need.pieces
    if not bytes_by_domain:
        return ""
    return max(bytes_by_domain, key=lambda d: (bytes_by_domain[d], d))


__all__ = ("build_pending_pieces",)
