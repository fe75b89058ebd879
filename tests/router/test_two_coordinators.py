"""Two nodes that coordinate stages at the same servers, as while they are cut apart."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import pytest
from loguru import logger
from tests.router.stage_play import Caller, PlayedCalls, StagePlay, make_scheduler

from persimmonlink_router.wire_messages import PieceFailure, PieceResult

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_scheduler import StageScheduler

SERVERS = 6
MAX_GONE_SHARE = 0.01  # Of the pieces; each is work that is done again.
CALLERS = [Caller("all", 1.0, (1, 4, 6), 12.0, retries=0)]


@pytest.fixture(autouse=True)
def without_log_lines():
    logger.disable("persimmonlink_router")
    yield
    logger.enable("persimmonlink_router")


class SharedCalls(PlayedCalls):
    """Calls to servers that others call too, which read inputs as a call begins."""

    def __init__(self, spec_by_service: dict[str, Any]) -> None:
        super().__init__(spec_by_service)
        self._lock_by_server: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._handles: set[str] = set()
        self._made = 0
        self.count_by_failure: Counter[PieceFailure | None] = Counter()

    def release(self, results: Sequence[Any]) -> None:
        """Delete results."""
        self._handles.difference_update(result.handle for result in results)

    async def run_batch(
        self, server: Server, pieces: Sequence[Any], timeout_s: float, on_sent: Any
    ) -> list[PieceResult]:
        """Return the results once the calls before have ended."""
        async with self._lock_by_server[server.server_id]:
            results = [self._make_result(piece) for piece in pieces]
            if any(result.handle for result in results):
                await super().run_batch(server, pieces, timeout_s, on_sent)
        self.count_by_failure.update(result.failure for result in results)
        self._handles.update(result.handle for result in results if result.handle)
        return results

    def _make_result(self, piece: Any) -> PieceResult:
        if not self._handles.issuperset(piece.inputs):
            return PieceResult(failure=PieceFailure.INPUT_GONE)
        self._made += 1
        return PieceResult(handle=f"h{self._made}")


class TwoCoordinators(StagePlay):
    """Callers of whom each half has a coordinator of its own."""

    async def _run(self, phases: Sequence[tuple[float, float]]) -> None:
        self.calls = SharedCalls(self.SPEC_BY_SERVICE)
        self._others = [
            make_scheduler(self.SPEC_BY_SERVICE, self._servers) for _ in range(2)
        ]
        for scheduler in self._others:
            scheduler._calls = scheduler.dispatcher._calls = self.calls
        await super()._run(phases)

    def _choose_scheduler(self, number: int) -> StageScheduler:
        return self._others[number % 2]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for scheduler in self._others:
                scheduler.tick()


@pytest.mark.parametrize("load", [0.6, 1.5])
def test_inputs_are_kept_for_a_call_that_waits_behind_another_coordinator_s(load):
    play = TwoCoordinators(CALLERS, 1, servers=SERVERS)
    play.run([(10.0, load)])
    counts = play.calls.count_by_failure
    share = counts[PieceFailure.INPUT_GONE] / counts.total()
    assert share <= MAX_GONE_SHARE, counts
