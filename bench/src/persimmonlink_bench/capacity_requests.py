"""Processor time and added latency of a node's request path."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3

from persimmonlink_bench.caller import Caller
from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.figures import quantile
from persimmonlink_bench.generator import CallRecord, GeneratorPlan, PlannedCall
from persimmonlink_bench.process import ChildProcess, start_process
from persimmonlink_bench.process_usage import read_usage

if TYPE_CHECKING:
    from persimmonlink_bench.capacity_table import Row
    from persimmonlink_bench.scenario import Policy

ACCOUNT = "festival-crew"
START_MARGIN_S = 1.5
SETTLE_S = 1.0
FAST_PLAIN_ARGUMENTS = ("--work-ms", "5", "--concurrency", "64")
FAST_ENGINE_ARGUMENTS = (
    "--step-ms",
    "4",
    "--step-ms-per-stream",
    "0",
    "--prefill-ms",
    "5",
)
ENGINE_SLOTS = 32
PLAIN_SLOTS = 64
STAGE_TIMEOUT_MS = 30_000
PIPELINES: dict[str, list[dict[str, Any]]] = {
    "one-plain": [{"name": "encode", "service": "encoder"}],
    "three-plain": [
        {"name": "encode", "service": "encoder"},
        {"name": "retrieve", "service": "retriever"},
        {"name": "rerank", "service": "reranker"},
    ],
    "tokens-16": [{"name": "generate", "service": "assistant", "max_tokens": 16}],
    "tokens-128": [{"name": "generate", "service": "assistant", "max_tokens": 128}],
}


def build_single_node_deployment(
    policy: Policy,
    plain_arguments: tuple[str, ...] = FAST_PLAIN_ARGUMENTS,
    request_threads: int = 200,
) -> Deployment:
    """Return a deployment of one node and fast stand-ins, not yet started."""
    settings = {section: dict(values) for section, values in policy.settings.items()}
    settings.setdefault("limits", {})["request_threads"] = request_threads
    engine_arguments = (*FAST_ENGINE_ARGUMENTS, "--max-running", str(ENGINE_SLOTS))
    plan = DeploymentPlan(
        "trentside", 1, engine_arguments, plain_arguments, settings=settings
    )
    deployment = Deployment(plan)
    for record in deployment.records:
        if record["kind"] == "service":
            is_engine = record["spec"]["kind"] == "engine"
            slots = ENGINE_SLOTS if is_engine else PLAIN_SLOTS
            record["spec"] |= {
                "warm_slots": slots,
                "first_byte_timeout_ms": STAGE_TIMEOUT_MS,
            }
    for name, stages in PIPELINES.items():
        spec = {"stages": stages, "deadline_ms": STAGE_TIMEOUT_MS}
        deployment.records.append({"kind": "pipeline", "name": name, "spec": spec})
    return deployment


def measure_requests(
    policy: Policy, rate: float, seconds: float, *, stream: bool
) -> list[Row]:
    """Measure the processor time per request of each pipeline at one request rate.

    Parameters
    ----------
    policy : Policy
        Settings of the node.
    rate : float
        Request rate, in requests per second.
    seconds : float
        Duration of each pipeline's load and of the idle measurement, in seconds.
    stream : bool
        Whether answers are streamed.
    """
    rows: list[Row] = []
    with build_single_node_deployment(policy) as deployment:
        (node,) = deployment.node_by_id.values()
        idle_cores = _measure_idle_cores(node.child.process.pid, seconds)
        for pipeline, stages in PIPELINES.items():
            records, cores = _run_load(deployment, pipeline, rate, seconds, stream)
            answered = sum(bool(record.output) for record in records)
            late_s = [record.late_s for record in records]
            rows.append(
                {
                    "stages": len(stages),
                    "tokens": sum(stage.get("max_tokens", 0) for stage in stages),
                    "stream": int(stream),
                    "requests_per_s": answered / seconds,
                    "failed": len(records) - answered,
                    "cores": cores,
                    "idle_cores": idle_cores,
                    "cpu_ms_per_request": 1000
                    * (cores - idle_cores)
                    * seconds
                    / max(1, answered),
                    "latency_p50_ms": 1000
                    * quantile([record.seconds for record in records], 0.5),
                    "sent_late_p99_ms": 1000 * quantile(late_s, 0.99),
                }
            )
    return rows


def derive_costs(rows: list[Row]) -> Row:
    """Return the processor time of one request, one plain stage and one token, in ms.

    Each is a difference between pipelines at the last rate that was measured. Also
    returns how many tokens and requests one core processes per second.
    """
    row_by_shape = {(int(row["stages"]), int(row["tokens"])): row for row in rows}
    cpu_ms_by_shape = {
        shape: row["cpu_ms_per_request"] for shape, row in row_by_shape.items()
    }
    stage_ms = (cpu_ms_by_shape[3, 0] - cpu_ms_by_shape[1, 0]) / 2
    token_ms = (cpu_ms_by_shape[1, 128] - cpu_ms_by_shape[1, 16]) / 112
    four_stages_ms = (
        cpu_ms_by_shape[3, 0]
        + cpu_ms_by_shape[1, 16]
        - (cpu_ms_by_shape[1, 0] - stage_ms)
    )
    return {
        "cpu_ms_a_request_without_stages": cpu_ms_by_shape[1, 0] - stage_ms,
        "cpu_ms_a_plain_stage": stage_ms,
        "cpu_ms_a_token": token_ms,
        "tokens_a_core_second": 1000 / token_ms,
        "cpu_ms_a_request_of_four_stages_and_16_tokens": four_stages_ms,
        "requests_of_four_stages_a_core_second": 1000 / four_stages_ms,
    }


def _measure_idle_cores(pid: int, seconds: float) -> float:
    time.sleep(SETTLE_S)
    before = read_usage(pid).cpu_s
    time.sleep(seconds)
    return (read_usage(pid).cpu_s - before) / seconds


def _run_load(
    deployment: Deployment, pipeline: str, rate: float, seconds: float, stream: bool
) -> tuple[list[CallRecord], float]:
    (node,) = deployment.node_by_id.values()
    pid = node.child.process.pid
    with tempfile.TemporaryDirectory(prefix="persimmonlink-bench-") as directory:
        generator, start_at = start_load_generator(
            deployment, Path(directory), pipeline, rate, seconds, stream=stream
        )
        try:
            time.sleep(max(0.0, start_at - time.monotonic()))
            before = read_usage(pid).cpu_s
            generator.wait(seconds + STAGE_TIMEOUT_MS / 1000)
            cores = (read_usage(pid).cpu_s - before) / seconds
            raw = (Path(directory) / "records.json").read_bytes()
        finally:
            if generator.is_running():
                generator.kill()
            generator.log_path.unlink(missing_ok=True)
    return msgspec.json.decode(raw, type=list[CallRecord]), cores


def start_load_generator(
    deployment: Deployment,
    directory: Path,
    pipeline: str,
    rate: float,
    seconds: float,
    *,
    stream: bool = False,
) -> tuple[ChildProcess, float]:
    """Start a generator of evenly spaced calls; return it and its `start_at`."""
    addresses = [node.http_address for node in deployment.node_by_id.values()]
    calls = []
    for number in range(int(rate * seconds)):
        body = {
            "account": ACCOUNT,
            "input": f"request {number}",
            "deadline_ms": STAGE_TIMEOUT_MS,
            "stream": stream,
        }
        address = addresses[number % len(addresses)]
        calls.append(PlannedCall(number / rate, (address,), pipeline, body))
    start_at = time.monotonic() + START_MARGIN_S
    plan = GeneratorPlan(start_at, 200, tuple(calls))
    plan_path = directory / "plan.json"
    plan_path.write_bytes(msgspec.json.encode(plan))
    arguments = ["--plan", str(plan_path), "--records", str(directory / "records.json")]
    child = start_process("generator", "persimmonlink_bench.generator", arguments)
    return child, start_at


def measure_overhead(policy: Policy, pairs: int, rate: float) -> Row:
    """Measure the latency that a node adds to direct calls of the stand-ins.

    Requests through the node alternate with direct calls of the same stages.

    Parameters
    ----------
    policy : Policy
        Settings of the node.
    pairs : int
        Number of requests sent through the node, and as many directly.
    rate : float
        Background load of the node, in requests per second.
    """
    with build_single_node_deployment(policy) as deployment:
        seconds = pairs * 0.06 + 2.0
        with tempfile.TemporaryDirectory(prefix="persimmonlink-bench-") as directory:
            generator = None
            if rate:
                generator, start_at = start_load_generator(
                    deployment, Path(directory), "three-plain", rate, seconds
                )
                time.sleep(max(0.0, start_at - time.monotonic()) + SETTLE_S)
            try:
                node_times_s, direct_times_s = _time_pairs(deployment, pairs)
            finally:
                if generator is not None:
                    generator.kill()
                    generator.log_path.unlink(missing_ok=True)
    row: Row = {"background_requests_per_s": rate, "pairs": pairs}
    for name, fraction in (("p50", 0.5), ("p99", 0.99)):
        node_ms = 1000 * quantile(node_times_s, fraction)
        direct_ms = 1000 * quantile(direct_times_s, fraction)
        row |= {
            f"node_{name}_ms": node_ms,
            f"direct_{name}_ms": direct_ms,
            f"added_{name}_ms": node_ms - direct_ms,
        }
    return row


def _time_pairs(deployment: Deployment, pairs: int) -> tuple[list[float], list[float]]:
    (node,) = deployment.node_by_id.values()
    caller = Caller([node.http_address])
    http = urllib3.PoolManager(retries=False)
    node_times_s, direct_times_s = [], []
    for number in range(pairs):
        body = {"account": ACCOUNT, "input": f"pair {number}"}
        body["request_class"] = "overhead"
        outcome = caller.call("three-plain", body)
        if not outcome.ok:
            raise RuntimeError(f"request through the node failed: {outcome.problem}")
        node_times_s.append(outcome.seconds)
        started_at = time.monotonic()
        _call_directly(deployment, http, number)
        direct_times_s.append(time.monotonic() - started_at)
    return node_times_s, direct_times_s


def _call_directly(
    deployment: Deployment, http: urllib3.PoolManager, number: int
) -> None:
    text = f"pair {number}"
    for stage in PIPELINES["three-plain"]:
        servers = deployment.list_servers(stage["service"])
        address = deployment.find_address(servers[number % len(servers)])
        body = {
            "request_id": f"direct-{number}/{stage['name']}/1",
            "stage": stage["name"],
            "account": ACCOUNT,
            "input": text,
        }
        answer = http.request(
            "POST", f"http://{address}/v1/run", body=msgspec.json.encode(body)
        )
        text = answer.json()["output"]


__all__ = (
    "ACCOUNT",
    "SETTLE_S",
    "STAGE_TIMEOUT_MS",
    "build_single_node_deployment",
    "derive_costs",
    "measure_overhead",
    "measure_requests",
    "start_load_generator",
)
