"""Pieces of admitted requests in stages not yet started, by service."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.stage_chain import StageChain


class PieceCounts:
    """Numbers of pieces by service, priority and client account."""

    def __init__(self) -> None:
        self._counts_by_service: dict[str, dict[int, Counter[str]]] = {}

    def adjust(self, chain: StageChain, index: int, sign: int) -> None:
        """Add the pieces of a stage of a request, or with -1 subtract them."""
        need = chain.job.stages[index]
        counts_by_priority = self._counts_by_service.setdefault(need.service, {})
        counts = counts_by_priority.setdefault(chain.job.priority, Counter())
        counts[chain.job.account] += sign * need.pieces
        if not counts[chain.job.account]:
            del counts[chain.job.account]
        if not counts:
            del counts_by_priority[chain.job.priority]

    def copy_counts(self, service: str) -> dict[int, Counter[str]]:
        """Return the numbers of a service by priority and account."""
        counts_by_priority = self._counts_by_service.get(service, {})
        return {p: Counter(counts) for p, counts in counts_by_priority.items()}


class StageBacklog:
    """Counts of unsent pieces, updated with each change because they are read often.

    Attributes
    ----------
    unsent : PieceCounts
        Pieces of all stages that have not been started.
    ready : PieceCounts
        Those whose inputs exist, and which wait for servers only.
    """

    def __init__(self) -> None:
        self.unsent = PieceCounts()
        self.ready = PieceCounts()
        self._unsent_stages_by_chain: dict[StageChain, set[int]] = {}
        self._ready_stages_by_chain: dict[StageChain, set[int]] = {}

    def add(self, chain: StageChain) -> None:
        """Count the pieces of all stages of a request."""
        stages = {i for i, need in enumerate(chain.job.stages) if need.pieces}
        self._unsent_stages_by_chain[chain] = stages
        self._ready_stages_by_chain[chain] = set()
        for index in stages:
            self.unsent.adjust(chain, index, 1)

    def record_ready(self, chain: StageChain, index: int) -> None:
        """Count the pieces of a stage as waiting for servers only."""
        ready = self._ready_stages_by_chain.get(chain)
        if ready is None or index in ready:
            return
        if index in self._unsent_stages_by_chain[chain]:
            ready.add(index)
            self.ready.adjust(chain, index, 1)

    def record_sent(self, chain: StageChain, index: int) -> None:
        """Stop counting the pieces of a stage, as the first of them was sent."""
        unsent = self._unsent_stages_by_chain.get(chain, set())
        if index not in unsent:
            return
        unsent.remove(index)
        self.unsent.adjust(chain, index, -1)
        ready = self._ready_stages_by_chain[chain]
        if index in ready:
            ready.remove(index)
            self.ready.adjust(chain, index, -1)

    def remove(self, chain: StageChain) -> None:
        """Stop counting a request that has ended."""
        for index in self._unsent_stages_by_chain.pop(chain, set()):
            self.unsent.adjust(chain, index, -1)
        for index in self._ready_stages_by_chain.pop(chain, set()):
            self.ready.adjust(chain, index, -1)


__all__ = ("PieceCounts", "StageBacklog")
