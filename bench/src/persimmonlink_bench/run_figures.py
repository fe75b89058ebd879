"""The figures that one run is judged by."""

from __future__ import annotations

from dataclasses import dataclass

TIMELINE_STEP_S = 2.0


@dataclass(frozen=True)
class RunFigures:
    """What one run is judged by; parts are between 0 and 1.

    Parameters
    ----------
    requests : int
        Requests counted, those of the warm-up left out.
    generator_late_p99_s : float
        How late requests were sent, 99th percentile, in seconds.
    valid : bool
        Whether requests were sent at their intended times.
    wrong_answers : int
        Answers that are not the whole answer to their own request.
    attainment : float
        Part of the requests answered whole before their deadline.
    bound : float
        The most that any policy could reach.
    attainment_by_account, attainment_by_class, attainment_by_window : dict
        Attainment of parts of the requests.
    goodput_per_s : float
        Requests answered whole before their deadline, a second.
    latency_s : dict
        Percentiles of answered requests from the intended sending, in seconds.
    share_by_account : dict
        Slot seconds of the busiest service that answers in time needed, over what the
        account is due of their sum by weighted max-min.
    jain : float
        Jain's index of those.
    cost_by_stage : dict
        Slot seconds run for answers in time, by stage, from the servers' record.
    late_cost, wasted_cost : float
        Part of all slot seconds that went into late answers, and into none.
    counted_cost, counted_wasted_cost : float
        The same as the nodes count them, in their server seconds.
    outcomes : dict
        Requests by HTTP status and result code.
    node_cpu : float
        Mean processor time of a node a second, in cores.
    node_cpu_ms_per_request : float
        Processor time of all nodes for each request, in milliseconds.
    node_rss_mb : float
        Largest memory of a node, in MB.
    peak_cold : int
        Most that any server ran at once while it was cold.
    fall_overs : int
        Times that a cold server fell over.
    timeline : tuple of float or None
        Attainment by time of arrival, in steps of `TIMELINE_STEP_S`; None where no
        request was counted.
    machine_load : tuple of float
        Load average of the machine before and after.
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
