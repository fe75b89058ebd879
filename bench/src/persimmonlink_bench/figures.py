"""Computes the figures of one run from its calls and the servers' records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_bench.bound import bound_attainment
from persimmonlink_bench.run_figures import TIMELINE_STEP_S, RunFigures
from persimmonlink_bench.scenario import EventAction
from persimmonlink_bench.workload import Arrival, allocate_max_min

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_bench.generator import CallRecord
    from persimmonlink_bench.trial import Trial

LATE_P99_LIMIT_S = 0.05
DEFAULT_WEIGHT = 1.0


@dataclass
class _Cost:
    """Slot seconds by the outcome of the request that they were spent on.

    Runs that didn't complete count as late if the request got a correct answer.
    """

    useful_by_stage: dict[str, float] = field(default_factory=dict)
    late: float = 0.0
    wasted: float = 0.0

    @property
    def total(self) -> float:
        return sum(self.useful_by_stage.values()) + self.late + self.wasted


def compute_figures(trial: Trial) -> RunFigures:
    """Return the figures of a run.

    Attainment, goodput, latency, shares and outcomes leave out the requests of the
    warm-up. The bound, wrong answers, costs and processor time include them.
    """
    scenario = trial.workload.scenario
    counted_numbers = [
        number
        for number, arrival in enumerate(trial.arrivals)
        if arrival.at_s >= scenario.warm_up_s
    ]
    arrivals = [trial.arrivals[number] for number in counted_numbers]
    records = [trial.records[number] for number in counted_numbers]
    hits = [_is_hit(trial, number) for number in counted_numbers]
    cost = _sum_cost(trial)
    shares = _compute_shares(trial, arrivals, hits)
    late_p99_s = quantile([r.late_s for r in trial.records], 0.99)
    window_s = scenario.duration_s - scenario.warm_up_s
    cpu_s = sum(trial.node_cpu_s.values())
    return RunFigures(
        len(counted_numbers),
        late_p99_s,
        late_p99_s <= LATE_P99_LIMIT_S,
        _count_wrong_answers(trial),
        _fraction_true(hits),
        bound_attainment(
            trial.workload,
            trial.arrivals,
            lambda s, at: _count_available_slots(trial, s, at),
        ),
        _compute_attainment_by(hits, [arrival.flow.account for arrival in arrivals]),
        _compute_attainment_by(
            hits, [arrival.flow.request_class for arrival in arrivals]
        ),
        _compute_attainment_by(
            hits, [_label_window(trial, arrival) for arrival in arrivals]
        ),
        sum(hits) / window_s,
        _summarize_latency(records),
        shares,
        compute_jain_index(list(shares.values())),
        cost.useful_by_stage,
        cost.late / cost.total if cost.total else 0.0,
        cost.wasted / cost.total if cost.total else 0.0,
        _sum_counters(trial, "cost."),
        _sum_counters(trial, "cost_wasted."),
        _count_outcomes(records),
        cpu_s / scenario.duration_s / max(1, len(trial.node_cpu_s)),
        1000 * cpu_s / max(1, len(trial.arrivals)),
        max(trial.node_rss_bytes.values(), default=0) / 1e6,
        max(one["peak_running_cold"] for one in trial.ledger_by_server.values()),
        sum(one["fall_overs"] for one in trial.ledger_by_server.values()),
        _build_timeline(hits, arrivals, scenario.duration_s),
        trial.machine_load,
    )


def compute_jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal, 0 if all are zero."""
    squares = sum(value * value for value in values)
    if not squares:
        return 0.0
    return sum(values) ** 2 / (len(values) * squares)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile, such as the median at `fraction` 0.5; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _is_hit(trial: Trial, number: int) -> bool:
    deadline_s = trial.arrivals[number].flow.deadline_ms / 1000
    return trial.correct[number] and trial.records[number].seconds <= deadline_s


def _count_wrong_answers(trial: Trial) -> int:
    pairs = zip(trial.records, trial.correct, strict=True)
    return sum(bool(record.output) and not correct for record, correct in pairs)


def _fraction_true(hits: Sequence[bool]) -> float:
    return sum(hits) / len(hits) if hits else 0.0


def _compute_attainment_by(
    hits: Sequence[bool], names: Sequence[str]
) -> dict[str, float]:
    hits_by_name: dict[str, list[bool]] = {}
    for hit, name in zip(hits, names, strict=True):
        hits_by_name.setdefault(name, []).append(hit)
    return {name: _fraction_true(hits_by_name[name]) for name in sorted(hits_by_name)}


def _label_window(trial: Trial, arrival: Arrival) -> str:
    """Return the label of the last event up to an arrival; `start` before the first."""
    window = "start"
    for event in sorted(trial.workload.scenario.events, key=lambda e: e.at_s):
        if arrival.at_s >= event.at_s:
            window = f"{event.at_s:g} s {event.action.value} {event.target}"
    return window


def _count_available_slots(trial: Trial, service: str, at_s: float) -> float:
    """Return the slots available at a time.

    The slots of a drained domain count until the longest minimum stage time after the
    drain, because runs that started before it still finish.
    """
    total = trial.workload.count_slots(service)
    drained_at_by_domain: dict[str, float] = {}
    for event in trial.workload.scenario.events:
        if event.action is EventAction.DRAIN and at_s >= event.at_s:
            drained_at_by_domain[event.target] = event.at_s
        if event.action is EventAction.RESTORE and at_s >= event.at_s:
            drained_at_by_domain.pop(event.target, None)
    longest_s = max(
        time.minimum_s
        for flow in trial.workload.scenario.flows
        for time in trial.workload.list_stage_times(flow.pipeline)
    )
    for domain, drained_at_s in drained_at_by_domain.items():
        if at_s >= drained_at_s + longest_s:
            total -= trial.workload.count_slots_in(service, domain)
    return total


def _sum_cost(trial: Trial) -> _Cost:
    """Return the slot seconds that the servers recorded, by outcome of the request."""
    cost = _Cost()
    number_by_id = {record.request_id: n for n, record in enumerate(trial.records)}
    for runs in trial.runs_by_service.values():
        for run in runs:
            request_id, stage, _ = run["request_id"].rsplit("/", 2)
            number = number_by_id.get(request_id)
            if number is None or run["finished_at"] is None:
                continue
            seconds = run["finished_at"] - run["started_at"]
            if _is_hit(trial, number) and run["outcome"] == "completed":
                useful = cost.useful_by_stage.get(stage, 0.0)
                cost.useful_by_stage[stage] = useful + seconds
            elif trial.correct[number]:
                cost.late += seconds
            else:
                cost.wasted += seconds
    return cost


def _compute_shares(
    trial: Trial, arrivals: Sequence[Arrival], hits: Sequence[bool]
) -> dict[str, float]:
    """Return each account's use of the bottleneck service over its fair share.

    The fair share is the weighted max-min allocation of what all accounts got. Each
    request counts with the minimum slot seconds that it needs, so that demand and use
    have the same unit.
    """
    bottleneck = trial.workload.find_bottleneck_service()
    demand: dict[str, float] = {}
    served: dict[str, float] = {}
    for arrival, hit in zip(arrivals, hits, strict=True):
        account = arrival.flow.account
        for time in trial.workload.list_stage_times(arrival.flow.pipeline):
            if time.service != bottleneck:
                continue
            demand[account] = demand.get(account, 0.0) + time.minimum_s
            served[account] = served.get(account, 0.0) + time.minimum_s * hit
    weights = {
        account: trial.workload.specs["account", account].get("weight", DEFAULT_WEIGHT)
        for account in demand
    }
    fair_shares = allocate_max_min(sum(served.values()), demand, weights)
    return {
        name: served[name] / fair_shares[name]
        for name in sorted(fair_shares)
        if fair_shares[name]
    }


def _sum_counters(trial: Trial, prefix: str) -> float:
    return sum(v for name, v in trial.counters.items() if name.startswith(prefix))


def _count_outcomes(records: Sequence[CallRecord]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in records:
        name = f"{record.status}/{record.code}" if record.code else str(record.status)
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def _summarize_latency(records: Sequence[CallRecord]) -> dict[str, float]:
    seconds = [record.seconds for record in records if record.output]
    return {f"p{int(q * 100)}": quantile(seconds, q) for q in (0.5, 0.95, 0.99)}


def _build_timeline(
    hits: Sequence[bool], arrivals: Sequence[Arrival], duration_s: float
) -> tuple[float | None, ...]:
    steps: list[list[bool]] = [[] for _ in range(int(duration_s / TIMELINE_STEP_S) + 1)]
    for hit, arrival in zip(hits, arrivals, strict=True):
        steps[int(arrival.at_s / TIMELINE_STEP_S)].append(hit)
    return tuple(_fraction_true(step) if step else None for step in steps)


__all__ = (
    "LATE_P99_LIMIT_S",
    "compute_figures",
    "compute_jain_index",
    "quantile",
)
