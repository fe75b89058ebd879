"""Pieces of admitted requests that have not been sent, by service and priority."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.stage_chain import StageChain


class StageBacklog:
    """Counts kept up to date with each request, as sums are asked for often."""

    def __init__(self) -> None:
        self._active_by_service: dict[str, Counter[int]] = {}
        self._deferred_by_service: Counter[str] = Counter()
        self._unsent_stages_by_chain: dict[StageChain, set[int]] = {}
        self._deferred_chains: set[StageChain] = set()

    def add(self, chain: StageChain, *, is_deferred: bool) -> None:
        """Count all stages of a request."""
        stages = {i for i, need in enumerate(chain.job.stages) if need.pieces}
        self._unsent_stages_by_chain[chain] = stages
        if is_deferred:
            self._deferred_chains.add(chain)
        for index in stages:
            self._adjust(chain, index, chain.job.stages[index].pieces)

    def activate(self, chain: StageChain) -> None:
        """Count a request that was deferred as begun."""
        stages = self._unsent_stages_by_chain.get(chain, set())
        for index in stages:
            self._adjust(chain, index, -chain.job.stages[index].pieces)
        self._deferred_chains.discard(chain)
        for index in stages:
            self._adjust(chain, index, chain.job.stages[index].pieces)

    def record_sent(self, chain: StageChain, index: int) -> None:
        """Count a stage as sent."""
        stages = self._unsent_stages_by_chain.get(chain, set())
        if index in stages:
            stages.remove(index)
            self._adjust(chain, index, -chain.job.stages[index].pieces)

    def remove(self, chain: StageChain) -> None:
        """Forget a request that is over."""
        for index in self._unsent_stages_by_chain.pop(chain, set()):
            self._adjust(chain, index, -chain.job.stages[index].pieces)
        self._deferred_chains.discard(chain)

    def count_active_by_priority(self, service: str) -> Counter[int]:
        """Return the pieces of begun requests by priority."""
        return Counter(self._active_by_service.get(service, {}))

    def count_deferred(self, service: str) -> int:
        """Return the pieces of requests that wait to be begun."""
        return self._deferred_by_service[service]

    def _adjust(self, chain: StageChain, index: int, piece_count: int) -> None:
        service = chain.job.stages[index].service
        if chain in self._deferred_chains:
            self._deferred_by_service[service] += piece_count
            return
        counter = self._active_by_service.setdefault(service, Counter())
        counter[chain.job.priority] += piece_count


__all__ = ("StageBacklog",)
