"""The figures of one run."""

from __future__ import annotations

from dataclasses import dataclass

TIMELINE_STEP_S = 2.0


@dataclass(frozen=True)
class RunFigures:
    """The figures that runs are compared by; fractions are between 0 and 1.

    Parameters
    ----------
    requests : int
        Number of requests counted, without those of the warm-up.
    generator_late_p99_s : float
        99th percentile of the delay between intended and actual sending, in seconds.
    valid : bool
        Whether that percentile is within the limit of a valid run.
    wrong_answers : int
        Answers that differ from the expected output of their request.
    attainment : float
        Fraction of the requests answered completely before their deadline.
    bound : float
        Upper bound on the attainment of any policy, over all requests including those
        of the warm-up.
    attainment_by_account, attainment_by_class, attainment_by_window : dict
        Attainment by account, by request class and by the last event before arrival.
    goodput_per_s : float
        Requests answered completely before their deadline, per second.
    latency_s : dict
        Percentiles of the time from the intended sending to the end of the answer, in
        seconds, over answered requests.
    share_by_account : dict
        Slot seconds of the bottleneck service that an account's answers in time
        needed, over the account's fair share of their sum by weighted max-min.
    jain : float
        Jain's fairness index of `share_by_account`.
    cost_by_stage : dict
        Slot seconds spent on answers in time, by stage, from the servers' records.
    late_cost, wasted_cost : float
        Fraction of all slot seconds spent on late answers or on uncompleted runs of
        correctly answered requests, and on requests without a correct answer.
    counted_cost, counted_wasted_cost : float
        Total and wasted cost as counted by the nodes, in server seconds.
    outcomes : dict
        Number of requests by HTTP status and result code.
    node_cpu : float
        Mean processor time of a node per second, in cores.
    node_cpu_ms_per_request : float
        Processor time of all nodes per request, in milliseconds.
    node_rss_mb : float
        Largest resident memory of a node, in MB.
    peak_cold : int
        Largest number of concurrent runs on any server while it was cold.
    fall_overs : int
        Times that a cold server crashed because of too many concurrent runs.
    timeline : tuple of float or None
        Attainment by time of arrival, in steps of `TIMELINE_STEP_S`; None where no
        request was counted.
    machine_load : tuple of float
        Load average of the machine before and after the run.
    """

    requests: int
    generator_late_p99_s: float
    valid: bool
    wrong_answers: int
    attainment: float
    bound: float
    attainment_by_account: dict[str, float]
    attainment_by_class: dict[str, float]
    attainment_by_window: dict[str, float]
    goodput_per_s: float
    latency_s: dict[str, float]
    share_by_account: dict[str, float]
    jain: float
    cost_by_stage: dict[str, float]
    late_cost: float
    wasted_cost: float
    counted_cost: float
    counted_wasted_cost: float
    outcomes: dict[str, int]
    node_cpu: float
    node_cpu_ms_per_request: float
    node_rss_mb: float
    peak_cold: int
    fall_overs: int
    timeline: tuple[float | None, ...] = ()
    machine_load: tuple[float, float] = (0.0, 0.0)


__all__ = ("TIMELINE_STEP_S", "RunFigures")
