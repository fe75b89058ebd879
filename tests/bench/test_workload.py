"""Scenarios, arrivals, max-min shares, the offline bound and latency measurement."""

from __future__ import annotations

import heapq
import time
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Err

from persimmonlink_bench.bound import bound_attainment
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.figures import compute_jain_index
from persimmonlink_bench.generator import Generator, GeneratorPlan, PlannedCall
from persimmonlink_bench.run import run
from persimmonlink_bench.scenario import (
    SCENARIOS_PATH,
    ArrivalPattern,
    Flow,
    Scenario,
    read_policies,
    read_scenario,
)
from persimmonlink_bench.workload import Workload, allocate_max_min

WEIGHTS = st.dictionaries(
    st.sampled_from("abcde"),
    st.tuples(st.floats(0.1, 50), st.floats(0.5, 8)),
    min_size=1,
)


def _build_workload(
    deadline_ms: int = 2000, pattern: ArrivalPattern = ArrivalPattern.POISSON
) -> Workload:
    flow = Flow("festival-crew", "kit-return", 1.0, deadline_ms=deadline_ms)
    flow = replace(flow, pattern=pattern)
    scenario = Scenario("test", "trentside", (1.0,), (flow,), duration_s=6.0)
    deployment = Deployment(DeploymentPlan("trentside"))
    return Workload(scenario, deployment.records, deployment.list_backend_vms())


@pytest.mark.parametrize("path", sorted(SCENARIOS_PATH.glob("*.json")), ids=str)
def test_every_scenario_is_valid(path) -> None:
    scenario = read_scenario(path.stem).unwrap()
    deployment = Deployment(DeploymentPlan(scenario.user))
    workload = Workload(scenario, deployment.records, deployment.list_backend_vms())
    for load in scenario.loads:
        assert workload.generate_arrivals(load, 1)
    assert read_policies().unwrap()["default"].settings == {}


def test_faults_of_a_scenario_are_listed_with_their_paths(tmp_path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"about": "x", "user": "me", "loads": [], "flows": [{}], "a": 1}')
    read = read_scenario(str(path))
    assert isinstance(read, Err)
    paths = {fault.path for fault in read.failure()}
    assert {"user", "loads", "a", "flows[0].account"} <= paths
    assert run([str(path)]) == 2


@given(WEIGHTS, st.floats(0, 120))
def test_allocation_is_weighted_max_min(values, total) -> None:
    demand = {name: value[0] for name, value in values.items()}
    weights = {name: value[1] for name, value in values.items()}
    shares = allocate_max_min(total, demand, weights)
    assert sum(shares.values()) == pytest.approx(min(total, sum(demand.values())))
    highest = max(shares[name] / weights[name] for name in shares)
    for name, amount in shares.items():
        assert amount <= demand[name] * (1 + 1e-9)
        # A share below the highest one per weight must equal the demand.
        if amount / weights[name] < highest * (1 - 1e-6):
            assert amount == pytest.approx(demand[name])


@given(st.integers(0, 1000), st.sampled_from(list(ArrivalPattern)))
def test_arrivals_depend_only_on_the_seed(seed, pattern) -> None:
    workload = _build_workload(pattern=pattern)
    arrivals = workload.generate_arrivals(0.5, seed)
    assert arrivals == workload.generate_arrivals(0.5, seed)
    assert all(0 <= a.at_s < 6 for a in arrivals)
    assert len({a.text for a in arrivals}) == len(arrivals)


def _count_met_by_list_schedule(workload, arrivals, slots, *, by_deadline) -> int:
    """Return how many requests a list schedule of the engine stage answers in time.

    Each request occupies one slot without preemption; all other stages are left out.
    """
    work_s = workload.list_stage_times("kit-return")[-1].minimum_s
    free_at = [0.0] * slots
    jobs = [(a.at_s, a.at_s + a.flow.deadline_ms / 1000) for a in arrivals]
    if not by_deadline:
        jobs.reverse()
    met = 0
    for release_s, deadline_s in jobs:
        start_s = max(release_s, free_at[0])
        if start_s + work_s > deadline_s:
            continue
        heapq.heapreplace(free_at, start_s + work_s)
        met += 1
    return met


@given(
    st.integers(0, 10_000),
    st.floats(0.2, 3.0),
    st.integers(900, 3000),
    st.booleans(),
)
def test_bound_is_never_below_what_a_schedule_reaches(
    seed, load, deadline_ms, by_deadline
) -> None:
    workload = _build_workload(deadline_ms)
    arrivals = workload.generate_arrivals(load, seed)
    slots = workload.count_slots("assistant")
    met = _count_met_by_list_schedule(
        workload, arrivals, slots, by_deadline=by_deadline
    )
    # Extends the deadline by the minimum time of the stages that the schedule omits.
    omitted_s = sum(t.minimum_s for t in workload.list_stage_times("kit-return")[:-1])
    longer_flow = replace(
        workload.scenario.flows[0], deadline_ms=deadline_ms + round(omitted_s * 1000)
    )
    arrivals = [replace(arrival, flow=longer_flow) for arrival in arrivals]
    bound = bound_attainment(workload, arrivals, lambda s, _: workload.count_slots(s))
    assert bound * len(arrivals) >= met - 1e-6


def test_bound_is_limited_by_capacity_in_overload() -> None:
    workload = _build_workload()
    arrivals = workload.generate_arrivals(3.0, 1)
    bound = bound_attainment(workload, arrivals, lambda s, _: workload.count_slots(s))
    assert 0.3 < bound < 0.6


def test_jain_of_equal_shares_is_one() -> None:
    assert compute_jain_index([2.0, 2.0, 2.0]) == pytest.approx(1.0)
    assert compute_jain_index([1.0, 0.0, 0.0]) == pytest.approx(1 / 3)


def test_latency_counts_from_the_intended_time_of_sending() -> None:
    body = {"account": "a", "input": "x", "deadline_ms": 1}
    call = PlannedCall(1.0, ("127.0.0.1:1", "127.0.0.1:1"), "kit-return", body)
    plan = GeneratorPlan(time.monotonic() - 100.0, 1, (call,))
    (record,) = Generator(plan).run()
    assert record.status == 0
    assert record.late_s >= 99.0
    assert record.seconds >= record.late_s
