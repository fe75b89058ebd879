"""What a request costs the coordinator of stages, in calm and while many wait."""

from __future__ import annotations

import time

import pytest
from loguru import logger
from tests.fuzz.cost import assert_linear
from tests.router.chains import SPEC, make_chain
from tests.router.stage_play import Caller, StagePlay

from persimmonlink_router.stage_queue import PendingPiece, StageQueue

PIECES_PER_STAGE = 8
ACCOUNTS = 16
SERVERS = 18  # Of each service.
MAX_COST_RATIO = 2.0  # The work for a request doesn't depend on how many wait.
ROUNDS = 3
CALLERS = [
    Caller("urgent", 0.4, (1, 8, 6), 12.0, priority=0, account="a", retries=1),
    Caller("long", 0.4, (1, 8, 6), 15.0, priority=1, account="b", retries=1),
    Caller("short", 0.2, (2, 0, 0), 4.0, priority=2, account="c", retries=1),
]


@pytest.fixture(autouse=True)
def without_log_lines():
    logger.disable("persimmonlink_router")
    yield
    logger.enable("persimmonlink_router")


def make_pieces(count: int) -> list[list[PendingPiece]]:
    """Return so many pieces, in stages of requests of all accounts."""
    stages = []
    for index in range(count // PIECES_PER_STAGE):
        chain = make_chain(
            request_id=str(index),
            account=f"account-{index % ACCOUNTS}",
            priority=index % 3,
            piece_counts=(PIECES_PER_STAGE,),
            deadline_s=12.0 + index % 7,
        )
        stages.append(
            [PendingPiece(chain, 0, n, 0, 0.0) for n in range(PIECES_PER_STAGE)]
        )
    return stages


def queue_and_pop_all(stages: list[list[PendingPiece]]) -> None:
    queue = StageQueue()
    for pieces in stages:
        queue.put(pieces)
    while queue.pop_batch(SPEC, 1e9, 0.0).pieces:
        pass


def test_a_call_costs_no_more_as_more_pieces_wait():
    assert_linear(queue_and_pop_all, make_pieces, 400)


def measure_cost_s(load: float) -> float:
    """Return the processor time for a try of a caller, in seconds."""
    play = StagePlay(CALLERS, 1, servers=SERVERS)
    started_s = time.process_time()
    outcomes = play.run([(4.0, load)]).values()
    spent_s = time.process_time() - started_s
    tries = sum(each.served + len(each.refused_after_s) for each in outcomes)
    return spent_s / tries


@pytest.mark.timeout(300)
def test_a_request_costs_the_coordinator_no_more_while_many_wait():
    calm_s = min(measure_cost_s(0.7) for _ in range(ROUNDS))
    overload_s = min(measure_cost_s(2.5) for _ in range(ROUNDS))
    assert overload_s <= MAX_COST_RATIO * calm_s, (calm_s, overload_s)
