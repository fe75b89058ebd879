"""What a node says of a request that only another node may run."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Success

from persimmonlink_model.deadline import Deadline
from persimmonlink_model.request import RequestBody
from persimmonlink_model.request_id import RequestId
from persimmonlink_model.result_code import Failure, RunState
from persimmonlink_node.answer_fetcher import AnswerFetcher
from persimmonlink_node.pipeline_request import PipelineRequest
from persimmonlink_node.request_claimer import ClaimHolder
from persimmonlink_peers.answer_messages import (
    AnswerState,
    FetchAnswer,
    FetchedAnswer,
)
from persimmonlink_peers.message import Sender


class FixedClock:
    def monotonic(self) -> float:
        return 0.0


class FakePeers:
    """Members of whom nothing is known, and links that reply as scripted."""

    sender = Sender("a", "1")

    def __init__(self, forwarded: AnswerState) -> None:
        self._forwarded = forwarded

    def find(self, _node_id: str) -> None:
        return None

    def call_and_wait(
        self, _node_id: str, message: Any, _type: type, _timeout_s: float
    ) -> Any:
        if isinstance(message, FetchAnswer):
            return Success(FetchedAnswer(AnswerState.NOTHING))
        return Success(FetchedAnswer(self._forwarded))


def forward(state: AnswerState) -> Failure:
    peers: Any = FakePeers(state)
    clock: Any = FixedClock()
    unused: Any = None
    request = PipelineRequest(
        RequestId("r-1", 0),
        "digest",
        RequestBody("x"),
        "p",
        unused,
        unused,
        Deadline(5.0),
    )
    fetcher = AnswerFetcher(peers, peers, clock)
    return fetcher.fetch_or_forward(request, ClaimHolder("b", "7", "n")).failure()


@pytest.mark.parametrize("state", [AnswerState.NOTHING, AnswerState.RUNNING])
def test_a_holder_that_replies_nothing_is_not_said_to_have_ended(state: AnswerState):
    failure = forward(state)
    assert failure.run_state is RunState.UNKNOWN
    assert "has ended" not in failure.detail
    assert failure.retry_after_s


def test_a_holder_of_another_incarnation_has_ended():
    failure = forward(AnswerState.OTHER_INCARNATION)
    assert failure.run_state is RunState.UNKNOWN
    assert "has ended" in failure.detail
