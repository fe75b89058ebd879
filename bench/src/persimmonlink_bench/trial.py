"""Runs a scenario once under one policy and collects what happened."""

from __future__ import annotations

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.expected_output import compute_expected_output
from persimmonlink_bench.generator import CallRecord, GeneratorPlan, PlannedCall
from persimmonlink_bench.process import ChildProcess, start_process
from persimmonlink_bench.process_usage import read_usage
from persimmonlink_bench.scenario import Event, EventAction, Policy, Scenario
from persimmonlink_bench.workload import Arrival, Workload

if TYPE_CHECKING:
    from collections.abc import Callable

START_MARGIN_S = 2.0
MAX_CALLS_PER_S_PER_GENERATOR = 60.0
GENERATOR_THREADS = 400
GENERATOR_EXIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Trial:
    """The collected data of one run.

    Parameters
    ----------
    workload : Workload
        Stage times and pool sizes.
    arrivals : list of Arrival
        Requests to send, by their intended time.
    records : list of CallRecord
        Result of each arrival, in the same order.
    correct : list of bool
        Whether each answer is the expected output of its request.
    runs_by_service : dict
        Runs that the servers recorded, by service.
    counters : dict
        Sums of the counters of the nodes that run at the end, by name.
    node_cpu_s : dict of str to float
        Processor time of each node during the load, in seconds.
    node_rss_bytes : dict of str to int
        Resident memory of each node that runs at the end, in bytes.
    ledger_by_server : dict
        Record of each server without its runs, such as peak concurrency and crashes.
    machine_load : tuple of float
        One-minute load average of the machine, before and after the run.
    """

    workload: Workload
    arrivals: list[Arrival]
    records: list[CallRecord]
    correct: list[bool]
    runs_by_service: dict[str, list[dict[str, Any]]]
    counters: dict[str, float]
    node_cpu_s: dict[str, float]
    node_rss_bytes: dict[str, int]
    ledger_by_server: dict[str, dict[str, Any]]
    machine_load: tuple[float, float]


def run_trial(
    scenario: Scenario,
    policy: Policy,
    load: float,
    seed: int,
    report_progress: Callable[[str], None],
) -> Trial:
    """Run a scenario once under a policy.

    Parameters
    ----------
    scenario : Scenario
        Scenario to run.
    policy : Policy
        Settings of the nodes.
    load : float
        Request rate relative to the capacity of the bottleneck service.
    seed : int
        Seed of the arrivals.
    report_progress : callable
        Called with a short text about the elapsed time of the run.

    Raises
    ------
    TimeoutError
        The deployment was not ready, or a generator did not exit in time.
    RuntimeError
        The deployment failed, or a generator exited without records.
    """
    deployment = build_deployment(scenario, policy)
    with deployment, tempfile.TemporaryDirectory(prefix="persimmonlink-bench-") as path:
        workload = Workload(scenario, deployment.records, deployment.vms)
        arrivals = workload.generate_arrivals(load, seed)
        return _TrialRun(
            deployment, workload, arrivals, Path(path), report_progress
        ).measure()


def build_deployment(scenario: Scenario, policy: Policy) -> Deployment:
    """Return the deployment of a scenario, not yet started."""
    times = scenario.backends
    engine_arguments = ["--step-ms", times.step_ms, "--step-ms-per-stream", 0]
    engine_arguments += [
        "--prefill-ms",
        times.prefill_ms,
        "--max-running",
        times.engine_slots,
    ]
    plain_arguments = ["--work-ms", times.work_ms, "--concurrency", times.plain_slots]
    deployment = Deployment(
        DeploymentPlan(
            scenario.user,
            scenario.nodes,
            tuple(str(argument) for argument in engine_arguments),
            tuple(str(argument) for argument in plain_arguments),
            settings=policy.settings,
        )
    )
    for record in deployment.records:
        if record["kind"] != "service":
            continue
        is_engine = record["spec"]["kind"] == "engine"
        slots = times.engine_slots if is_engine else times.plain_slots
        record["spec"]["warm_slots"] = slots
    return deployment


class _TrialRun:
    """Generates the load on a started deployment and collects the data of the run."""

    def __init__(
        self,
        deployment: Deployment,
        workload: Workload,
        arrivals: list[Arrival],
        path: Path,
        report_progress: Callable[[str], None],
    ) -> None:
        self._deployment = deployment
        self._workload = workload
        self._arrivals = arrivals
        self._directory = path
        self._report_progress = report_progress
        self._generators: list[ChildProcess] = []

    def measure(self) -> Trial:
        load_average_before = os.getloadavg()[0]
        start_at = time.monotonic() + START_MARGIN_S
        try:
            generator_count = self._start_generators(start_at)
            cpu_before = self._read_cpu()
            self._run_events(start_at)
            records = self._collect_records(generator_count)
        finally:
            for generator in self._generators:
                if generator.is_running():
                    generator.kill()
                generator.log_path.unlink(missing_ok=True)
        cpu_by_node = {
            node_id: max(0.0, cpu_s - cpu_before.get(node_id, 0.0))
            for node_id, cpu_s in self._read_cpu().items()
        }
        pairs = zip(self._arrivals, records, strict=True)
        correct = [self._is_correct(arrival, record) for arrival, record in pairs]
        runs, ledgers = self._read_ledgers()
        return Trial(
            self._workload,
            self._arrivals,
            records,
            correct,
            runs,
            self._sum_counters(),
            cpu_by_node,
            self._read_rss(),
            ledgers,
            (load_average_before, os.getloadavg()[0]),
        )

    def _start_generators(self, start_at: float) -> int:
        rate = len(self._arrivals) / self._workload.scenario.duration_s
        count = 1 + int(rate // MAX_CALLS_PER_S_PER_GENERATOR)
        for number in range(count):
            calls = [self._plan_call(a) for a in self._arrivals[number::count]]
            plan = GeneratorPlan(start_at, GENERATOR_THREADS, tuple(calls))
            path = self._directory / f"plan-{number}.json"
            path.write_bytes(msgspec.json.encode(plan))
            arguments = ["--plan", str(path)]
            arguments += ["--records", str(self._directory / f"records-{number}.json")]
            module = "persimmonlink_bench.generator"
            self._generators.append(
                start_process(f"generator-{number}", module, arguments)
            )
        return count

    def _plan_call(self, arrival: Arrival) -> PlannedCall:
        addresses = [n.http_address for n in self._deployment.node_by_id.values()]
        rotated_addresses = addresses[arrival.entry :] + addresses[: arrival.entry]
        flow = arrival.flow
        body = {
            "account": flow.account,
            "input": arrival.text,
            "deadline_ms": flow.deadline_ms,
            "repeatable": self._workload.is_repeatable(flow.pipeline),
            "request_class": flow.request_class,
        }
        return PlannedCall(arrival.at_s, tuple(rotated_addresses), flow.pipeline, body)

    def _run_events(self, start_at: float) -> None:
        """Apply the scenario's events at their times until all generators exit."""
        scenario = self._workload.scenario
        events = sorted(scenario.events, key=lambda event: event.at_s)
        timeout_at = start_at + scenario.duration_s + GENERATOR_EXIT_TIMEOUT_S
        while any(generator.is_running() for generator in self._generators):
            now = time.monotonic()
            if now > timeout_at:
                raise TimeoutError("a load generator did not exit in time")
            while events and now - start_at >= events[0].at_s:
                self._apply_event(events.pop(0))
            self._report_progress(
                f"{max(0.0, now - start_at):4.0f}/{scenario.duration_s:.0f} s"
            )
            time.sleep(POLL_INTERVAL_S)

    def _apply_event(self, event: Event) -> None:
        deployment = self._deployment
        if event.action is EventAction.KILL:
            deployment.node_by_id[event.target].child.kill()
        elif event.action is EventAction.START:
            deployment.start_node(event.target)
        elif event.action is EventAction.COLD:
            deployment.inject_fault(event.target, "cold")
        else:
            is_drain = event.action is EventAction.DRAIN
            state = "drained" if is_drain else "in_service"
            record = {"kind": "domain", "name": event.target, "spec": {"state": state}}
            deployment.apply_configuration([record])

    def _collect_records(self, count: int) -> list[CallRecord]:
        record_by_position: dict[int, CallRecord] = {}
        for number in range(count):
            path = self._directory / f"records-{number}.json"
            if not path.exists():
                raise RuntimeError(self._generators[number].read_log())
            records = msgspec.json.decode(path.read_bytes(), type=list[CallRecord])
            for record in records:
                record_by_position[record.number * count + number] = record
        return [record_by_position[position] for position in range(len(self._arrivals))]

    def _is_correct(self, arrival: Arrival, record: CallRecord) -> bool:
        specs = self._workload.specs
        stages = specs["pipeline", arrival.flow.pipeline]["stages"]
        return record.output == compute_expected_output(stages, specs, arrival.text)

    def _read_ledgers(self) -> tuple[dict[str, list], dict[str, dict]]:
        runs_by_service: dict[str, list[dict[str, Any]]] = {}
        ledger_by_server: dict[str, dict[str, Any]] = {}
        for service in self._workload.domains_by_service:
            # Read at the control port: an overloaded server doesn't answer at its own
            # port for a while.
            ledgers = self._deployment.read_ledgers(service)
            for server_id, ledger in ledgers.items():
                runs_by_service.setdefault(service, []).extend(ledger.pop("runs"))
                ledger_by_server[server_id] = ledger
        return runs_by_service, ledger_by_server

    def _sum_counters(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for node in self._deployment.node_by_id.values():
            if not node.child.is_running():
                continue
            _, metrics = self._deployment.request("GET", node, "/v1/admin/metrics")
            for name, value in metrics["counters"].items():
                total[name] = total.get(name, 0.0) + value
        return total

    def _read_cpu(self) -> dict[str, float]:
        usage = {}
        for node_id, node in self._deployment.node_by_id.items():
            if node.child.is_running():
                usage[node_id] = read_usage(node.child.process.pid).cpu_s
        return usage

    def _read_rss(self) -> dict[str, int]:
        usage = {}
        for node_id, node in self._deployment.node_by_id.items():
            if node.child.is_running():
                usage[node_id] = read_usage(node.child.process.pid).rss_bytes
        return usage


__all__ = ("Trial", "build_deployment", "run_trial")
