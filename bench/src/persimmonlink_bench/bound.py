"""An upper bound on the requests that any policy could answer in time.

Each pool is looked at alone and is allowed everything that helps: it knows all
arrivals in advance, preempts and resumes work for nothing, may put all of its slots on
one request, and every other stage of a request takes its least time with no waiting.
A request's work for the pool must then lie between its arrival plus the least time of
the earlier stages and its deadline less the least time of the later ones. Under these
rules the sets of work that can be done in time form a matroid whose rank is what
earliest deadline first processes, so taking the shortest work first, and parts of
requests where a whole one doesn't fit, gives the largest number. Each rule only widens
what a real system can do, so the number is an upper bound, and so is the least of the
bounds of all pools.
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
    """Return the largest part of requests that could be answered in time.

    Parameters
    ----------
    workload : Workload
        Stage times.
    arrivals : sequence of Arrival
        All requests of the run.
    slots_at : callable
        Slots of a service that work at a time.

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
    """Return the pool's jobs, and how many requests don't need it."""
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
                # A request that can't make it at all counts nowhere.
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
    """Return the slot seconds done by earliest deadline first."""
    waiting: list[list[float]] = []
    pending = sorted(jobs, key=lambda job: job.release_s)
    position = 0
    done_s = 0.0
    now = 0.0
    while position < len(pending) or waiting:
        # A step's whole capacity may go to what is released inside it.
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
