"""Stage times, pool sizes and arrivals of a scenario."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from persimmonlink_bench.scenario import ArrivalPattern, BackendTimes, Flow, Scenario

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

DEFAULT_MAX_TOKENS = 16
MAX_ARRIVALS = 20_000


@dataclass(frozen=True)
class StageTime:
    """The time that one stage takes on an idle server.

    Parameters
    ----------
    stage : str
        Name of the stage.
    service : str
        Service that runs it.
    minimum_s : float
        Minimum time for which a slot is held, in seconds.
    mean_s : float
        Mean time for which a slot is held, in seconds.
    """

    stage: str
    service: str
    minimum_s: float
    mean_s: float


@dataclass(frozen=True)
class Arrival:
    """One request to send.

    Parameters
    ----------
    at_s : float
        Intended time of sending, in seconds after the run's start.
    flow : Flow
        Flow that the request belongs to.
    entry : int
        Index of the node that receives the request, from 0.
    text : str
        Input, unique within the run.
    """

    at_s: float
    flow: Flow
    entry: int
    text: str


class Workload:
    """A scenario applied to the configuration and servers of its user.

    Parameters
    ----------
    scenario : Scenario
        Flows and backend times.
    records : sequence of dict
        Configuration records.
    vms : sequence of dict
        VMs of the user; only backend servers are used.
    """

    def __init__(
        self,
        scenario: Scenario,
        records: Sequence[dict[str, Any]],
        vms: Sequence[dict[str, Any]],
    ) -> None:
        self.scenario = scenario
        self.specs: dict[tuple[str, str], dict[str, Any]] = {
            (record["kind"], record["name"]): record["spec"] for record in records
        }
        self.domains_by_service: dict[str, list[str]] = {}
        for vm in vms:
            if vm["role"] != "backend":
                continue
            self.domains_by_service.setdefault(vm["service"], []).append(vm["domain"])

    def list_stage_times(self, pipeline: str) -> list[StageTime]:
        """Return the times of each stage of a pipeline, in order."""
        times = []
        for stage in self.specs["pipeline", pipeline]["stages"]:
            service = stage["service"]
            is_engine = self.specs["service", service]["kind"] == "engine"
            tokens = stage.get("max_tokens", DEFAULT_MAX_TOKENS)
            backends = self.scenario.backends
            minimum_s = _minimum_stage_s(backends, tokens, is_engine)
            # A stream waits on average half a step before its first step and half a
            # step after its last.
            mean_s = minimum_s + is_engine * backends.step_ms / 1000
            times.append(StageTime(stage["name"], service, minimum_s, mean_s))
        return times

    def is_repeatable(self, pipeline: str) -> bool:
        """Whether every stage of a pipeline may be executed more than once."""
        stages = self.specs["pipeline", pipeline]["stages"]
        return all(stage.get("repeatable", True) for stage in stages)

    def count_slots(self, service: str) -> int:
        """Return the total slots of a service's servers."""
        servers = len(self.domains_by_service[service])
        return servers * self.count_server_slots(service)

    def count_slots_in(self, service: str, domain: str) -> int:
        """Return the total slots of a service's servers in one failure domain."""
        servers = self.domains_by_service[service].count(domain)
        return servers * self.count_server_slots(service)

    def count_server_slots(self, service: str) -> int:
        """Return the slots of one server of a service."""
        backends = self.scenario.backends
        if self.specs["service", service]["kind"] == "engine":
            return backends.engine_slots
        return backends.plain_slots

    def demand_by_service(self) -> dict[str, float]:
        """Return the mean slot seconds per request, by service."""
        total = sum(flow.share for flow in self.scenario.flows)
        demand: dict[str, float] = {}
        for flow in self.scenario.flows:
            for time in self.list_stage_times(flow.pipeline):
                part = flow.share / total * time.mean_s
                demand[time.service] = demand.get(time.service, 0.0) + part
        return demand

    def find_bottleneck_service(self) -> str:
        """Return the service that saturates first as the request rate grows."""
        demand = self.demand_by_service()
        return max(demand, key=lambda name: demand[name] / self.count_slots(name))

    def capacity_per_s(self) -> float:
        """Return the request rate that saturates the bottleneck, in requests/s."""
        bottleneck = self.find_bottleneck_service()
        return self.count_slots(bottleneck) / self.demand_by_service()[bottleneck]

    def generate_arrivals(self, load: float, seed: int) -> list[Arrival]:
        """Return the arrivals of one run, sorted by time.

        The same load and seed give the same arrivals.

        Raises
        ------
        ValueError
            There are more than `MAX_ARRIVALS`.
        """
        rate = load * self.capacity_per_s()
        total = sum(flow.share for flow in self.scenario.flows)
        arrivals: list[Arrival] = []
        for number, flow in enumerate(self.scenario.flows):
            rng = random.Random(f"{seed}/{load}/{number}")
            flow_rate = rate * flow.share / total
            for at_s in _draw_arrival_times(
                flow, flow_rate, self.scenario.duration_s, rng
            ):
                entry = _draw_entry(flow, self.scenario.nodes, rng)
                text = f"{flow.account} {seed} {number} {len(arrivals)}"
                arrivals.append(Arrival(at_s, flow, entry, text))
        if len(arrivals) > MAX_ARRIVALS:
            raise ValueError(f"{len(arrivals)} arrivals exceed {MAX_ARRIVALS}")
        return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _minimum_stage_s(times: BackendTimes, tokens: int, is_engine: bool) -> float:
    if not is_engine:
        return times.work_ms / 1000
    # A stream may join a step that is already running, so its first step may take no
    # time.
    return (times.prefill_ms + (tokens - 1) * times.step_ms) / 1000


def _draw_arrival_times(
    flow: Flow, rate: float, duration_s: float, rng: random.Random
) -> Iterator[float]:
    if flow.pattern is ArrivalPattern.POISSON:
        at_s = rng.expovariate(rate)
        while at_s < duration_s:
            yield at_s
            at_s += rng.expovariate(rate)
        return
    burst_s = flow.burst_period_s / flow.burst_factor
    in_bursts_s = rng.expovariate(rate * flow.burst_factor)
    while True:
        bursts, offset_s = divmod(in_bursts_s, burst_s)
        at_s = bursts * flow.burst_period_s + offset_s
        if at_s >= duration_s:
            return
        yield at_s
        in_bursts_s += rng.expovariate(rate * flow.burst_factor)


def _draw_entry(flow: Flow, nodes: int, rng: random.Random) -> int:
    if not flow.entry:
        return rng.randrange(nodes)
    return int(flow.entry.rpartition("-")[2]) - 1


def allocate_max_min(
    total: float, demand_by_name: Mapping[str, float], weight_by_name: dict[str, float]
) -> dict[str, float]:
    """Divide an amount by weighted max-min fairness.

    Parameters
    ----------
    total : float
        Amount to divide.
    demand_by_name : Mapping of str to float
        Upper limit of each share.
    weight_by_name : dict of str to float
        Weight of each name.

    Returns
    -------
    dict of str to float
        Share of each name.
    """
    share_by_name: dict[str, float] = {}
    unsatisfied_names = set(demand_by_name)
    remaining = min(total, sum(demand_by_name.values()))
    while unsatisfied_names:
        weights = sum(weight_by_name[name] for name in unsatisfied_names)
        level = remaining / weights
        satisfied = [
            n
            for n in unsatisfied_names
            if demand_by_name[n] <= level * weight_by_name[n]
        ]
        if not satisfied:
            for name in unsatisfied_names:
                share_by_name[name] = level * weight_by_name[name]
            break
        for name in satisfied:
            share_by_name[name] = demand_by_name[name]
            remaining -= demand_by_name[name]
            unsatisfied_names.remove(name)
    return share_by_name


__all__ = ("Arrival", "StageTime", "Workload", "allocate_max_min")
