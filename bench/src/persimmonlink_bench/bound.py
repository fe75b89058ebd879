"""An upper bound on the requests that any policy could answer in time.

Each pool is relaxed on its own: the scheduler knows all arrivals in advance, preempts
and resumes work at no cost and may use all slots for one request, and every other stage
of a request takes its minimum time without queueing. The request's work in the pool
must then lie between its arrival plus the minimum time of the earlier stages and its
deadline minus the minimum time of the later stages. Under these rules the sets of work
that can be completed in time form a matroid whose rank is the work that earliest
deadline first processes. The greedy choice, shortest work first and fractions of a
request where a complete one doesn't fit, therefore maximizes the number of requests.
Each rule only relaxes the limits of a real system, so the number is an upper bound, and
so is the minimum over all pools.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_bench.workload import Arrival, Workload

SIMULATION_STEP_S = 0.01


@dataclass(frozen=True)
class _Job:
    release_s: float
    deadline_s: float
    work_s: float


def bound_attainment(
    workload: Workload,
    arrivals: Sequence[Arrival],
    slots_at: Callable[[str, float], float],
) -> float:
    """Return the largest fraction of requests that could be answered in time.

    Parameters
    ----------
    workload : Workload
        Stage times and flows of the scenario.
    arrivals : sequence of Arrival
        All requests of the run.
    slots_at : callable
        Returns the slots of a service that are available at a time in seconds.

    Returns
    -------
    float
        Between 0 and 1.
    """
    services = workload.demand_by_service()
    bound = float(len(arrivals))
    for service in services:
        jobs, without_service = _build_jobs(workload, arrivals, service)
        bound = min(
            bound, without_service + _max_completed_jobs(jobs, service, slots_at)
        )
    return bound / len(arrivals) if arrivals else 1.0


def _build_jobs(
    workload: Workload, arrivals: Sequence[Arrival], service: str
) -> tuple[list[_Job], int]:
    """Return the feasible jobs of a service and how many requests don't use it."""
    jobs = []
    without_service = 0
    times_by_pipeline = {
        flow.pipeline: workload.list_stage_times(flow.pipeline)
        for flow in workload.scenario.flows
    }
    for arrival in arrivals:
        times = times_by_pipeline[arrival.flow.pipeline]
        deadline_s = arrival.at_s + arrival.flow.deadline_ms / 1000
        earlier_stages_s = 0.0
        found = False
        for number, time in enumerate(times):
            if time.service == service:
                later_stages_s = sum(t.minimum_s for t in times[number + 1 :])
                release_s = arrival.at_s + earlier_stages_s
                job = _Job(release_s, deadline_s - later_stages_s, time.minimum_s)
                # Omit requests that miss their deadline even without queueing.
                if job.deadline_s - job.release_s >= job.work_s:
                    jobs.append(job)
                found = True
                break
            earlier_stages_s += time.minimum_s
        without_service += not found
    return jobs, without_service


def _max_completed_jobs(
    jobs: list[_Job], service: str, slots_at: Callable[[str, float], float]
) -> float:
    count = 0.0
    done_before_s = 0.0
    for work_s in sorted({job.work_s for job in jobs}):
        admitted = [job for job in jobs if job.work_s <= work_s]
        done_s = _simulate_edf(admitted, service, slots_at)
        count += (done_s - done_before_s) / work_s
        done_before_s = done_s
    return count


def _simulate_edf(
    jobs: list[_Job], service: str, slots_at: Callable[[str, float], float]
) -> float:
    """Return the slot seconds that earliest deadline first completes in time."""
    waiting: list[list[float]] = []
    pending = sorted(jobs, key=lambda job: job.release_s)
    position = 0
    done_s = 0.0
    now = 0.0
    while position < len(pending) or waiting:
        # Jobs released within a step may use its whole capacity, which keeps the
        # result an upper bound.
        while (
            position < len(pending)
            and pending[position].release_s < now + SIMULATION_STEP_S
        ):
            job = pending[position]
            heapq.heappush(waiting, [job.deadline_s, job.work_s])
            position += 1
        remaining_s = slots_at(service, now) * SIMULATION_STEP_S
        while waiting and remaining_s > 0:
            deadline_s, work_s = waiting[0]
            if deadline_s <= now:
                heapq.heappop(waiting)
                continue
            used_s = min(remaining_s, work_s)
            done_s += used_s
            remaining_s -= used_s
            if used_s >= work_s:
                heapq.heappop(waiting)
                continue
            waiting[0][1] = work_s - used_s
        now += SIMULATION_STEP_S
    return done_s


__all__ = ("bound_attainment",)
