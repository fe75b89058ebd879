"""Pieces of admitted requests in stages not yet started, by service and priority."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.stage_chain import StageChain


class StageBacklog:
    """Counts of unsent pieces, updated with each change because they are read often."""

    def __init__(self) -> None:
        self._active_by_service: dict[str, Counter[int]] = {}
        self._deferred_by_service: Counter[str] = Counter()
        self._unsent_stages_by_chain: dict[StageChain, set[int]] = {}
        self._deferred_chains: set[StageChain] = set()

    def add(self, chain: StageChain, *, is_deferred: bool) -> None:
        """Count the pieces of all stages of a request."""
        stages = {i for i, need in enumerate(chain.job.stages) if need.pieces}
        self._unsent_stages_by_chain[chain] = stages
        if is_deferred:
            self._deferred_chains.add(chain)
        for index in stages:
            self._adjust(chain, index, chain.job.stages[index].pieces)

    def activate(self, chain: StageChain) -> None:
        """Count a deferred request as active."""
        stages = self._unsent_stages_by_chain.get(chain, set())
        for index in stages:
            self._adjust(chain, index, -chain.job.stages[index].pieces)
        self._deferred_chains.discard(chain)
        for index in stages:
            self._adjust(chain, index, chain.job.stages[index].pieces)

    def record_sent(self, chain: StageChain, index: int) -> None:
        """Stop counting the pieces of a stage, as the first of them was sent."""
        stages = self._unsent_stages_by_chain.get(chain, set())
        if index in stages:
            stages.remove(index)
            self._adjust(chain, index, -chain.job.stages[index].pieces)

    def remove(self, chain: StageChain) -> None:
        """Stop counting a request that has ended."""
        for index in self._unsent_stages_by_chain.pop(chain, set()):
            self._adjust(chain, index, -chain.job.stages[index].pieces)
        self._deferred_chains.discard(chain)

    def count_active_by_priority(self, service: str) -> Counter[int]:
        """Return the number of pieces of active requests by priority."""
        return Counter(self._active_by_service.get(service, {}))

    def count_deferred(self, service: str) -> int:
        """Return the number of pieces of deferred requests."""
        return self._deferred_by_service[service]

    def _adjust(self, chain: StageChain, index: int, piece_count: int) -> None:
        service = chain.job.stages[index].service
        if chain in self._deferred_chains:
            self._deferred_by_service[service] += piece_count
            return
        counter = self._active_by_service.setdefault(service, Counter())
        counter[chain.job.priority] += piece_count


__all__ = ("StageBacklog",)
