"""Requests whose stages cannot finish by the deadline are refused at once."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Err

from persimmonlink_model.deadline import Deadline
from persimmonlink_model.record import AccountSpec, PipelineSpec, StageSpec
from persimmonlink_model.request import RequestBody
from persimmonlink_model.request_id import RequestId
from persimmonlink_model.result_code import ResultCode, RunState
from persimmonlink_node.deadline_policy import PredictivePolicy
from persimmonlink_node.pipeline_request import PipelineRequest

STAGES = (StageSpec("encode", "encoder"), StageSpec("generate", "assistant"))


class FixedClock:
    """A clock whose time is set by the test."""

    now = 0.0

    def monotonic(self) -> float:
        return self.now

    def unix_ms(self) -> int:
        return int(self.now * 1000)


def _build_request(left_s: float) -> PipelineRequest:
    return PipelineRequest(
        RequestId("id", 0),
        "",
        RequestBody("input", "a"),
        "p",
        PipelineSpec(STAGES),
        AccountSpec(),
        Deadline(left_s),
    )


def _observe_service_times(
    policy: PredictivePolicy, seconds_by_stage: dict[str, float]
) -> None:
    request = _build_request(1.0)
    for stage in STAGES:
        for _ in range(10):
            policy.observe(request, stage, seconds_by_stage[stage.name])


@given(st.floats(0.01, 1.0), st.floats(0.01, 1.0), st.floats(0.0, 3.0))
def test_refused_exactly_when_the_stages_do_not_fit(
    encode_s: float, generate_s: float, left_s: float
) -> None:
    policy = PredictivePolicy(FixedClock())
    _observe_service_times(policy, {"encode": encode_s, "generate": generate_s})
    planned = policy.plan(_build_request(left_s), STAGES[0])
    needed_s = encode_s + generate_s
    if isinstance(planned, Err):
        failure = planned.failure()
        assert left_s < needed_s * 1.05
        assert failure.code is ResultCode.DEADLINE_UNREACHABLE
        assert failure.run_state is RunState.NOT_RUN
        assert failure.retry_after_s is not None
        return
    assert left_s > needed_s * 0.95
    start_by = planned.unwrap().start_by
    assert abs(start_by.expires_at - (left_s - needed_s)) <= 0.05 * needed_s


def test_queue_of_a_later_stage_counts_at_the_first_stage() -> None:
    clock = FixedClock()
    policy = PredictivePolicy(clock)
    _observe_service_times(policy, {"encode": 0.01, "generate": 0.1})
    request = _build_request(3.0)
    entry = policy.on_wait_started(request, STAGES[1])
    clock.now = 2.0
    policy.on_wait_ended(STAGES[1], entry, served=True)
    policy.on_wait_started(request, STAGES[1])
    policy.on_wait_started(request, STAGES[1])
    policy.on_wait_started(request, STAGES[1])
    assert isinstance(policy.plan(request, STAGES[0]), Err)
