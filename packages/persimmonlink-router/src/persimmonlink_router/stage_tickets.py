"""Makes the tickets of a stage that has become ready."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from persimmonlink_router.stage_queue import Ticket

if TYPE_CHECKING:
    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.stage_chain import StageChain


def make_tickets(
    chain: StageChain, index: int, beliefs: Beliefs, now: float
) -> list[Ticket]:
    """Return a ticket for each piece of a stage that has no result yet."""
    domain, crossing_bytes = _choose_domain(chain, index)
    inputs = chain.find_inputs(index)
    inputs_end_at = _find_inputs_end(chain, index, beliefs, now)
    return [
        Ticket(
            chain,
            index,
            number,
            chain.epoch(index),
            now,
            domain,
            crossing_bytes,
            inputs_end_at,
            float(sum(result.size for result in inputs)),
        )
        for number in range(chain.job.stages[index].pieces)
        if not chain.has_result(index, number)
    ]


def _find_inputs_end(
    chain: StageChain, index: int, beliefs: Beliefs, now: float
) -> float:
    """Return when the first of a stage's inputs is no longer kept."""
    end_at = float("inf")
    for other in chain.job.stages[index].after:
        service = beliefs.find_service(chain.job.stages[other].service)
        if service is None or service.batch is None:
            continue
        made_at = chain.times[other].first_done_at or now
        end_at = min(end_at, made_at + service.batch.result_life_s)
    return end_at


def _choose_domain(chain: StageChain, index: int) -> tuple[str, float]:
    """Return where a stage is run best, and the bytes that cross otherwise.

    Each piece reads all inputs of its stage, and the request itself the results of
    the last stages.
    """
    need = chain.job.stages[index]
    bytes_by_domain: Counter[str] = Counter()
    for result in chain.find_inputs(index):
        bytes_by_domain[result.server.domain] += result.size * need.pieces
    if chain.is_last(index) and chain.job.answer_domain:
        bytes_by_domain[chain.job.answer_domain] += need.result_bytes * need.pieces
    if not bytes_by_domain:
        return "", 0.0
    domain = max(bytes_by_domain, key=lambda d: (bytes_by_domain[d], d))
    return domain, float(bytes_by_domain[domain])


__all__ = ("make_tickets",)
