"""Open connections stop carrying data in both directions while new ones work."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest
import uuid6
from returns.result import Success
from tests.silent_relay import SilentRelay

from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.expected_output import compute_expected_output
from persimmonlink_client import EntryClient, PipelineCall

if TYPE_CHECKING:
    from collections.abc import Iterator

DEADLINE_MS = 8_000
SLOW_FACTOR = 40.0


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    with Deployment(DeploymentPlan(node_count=1)) as started:
        yield started


def _build_body(text: str, **more: Any) -> dict[str, Any]:
    body = {"account": "festival-crew", "input": text, "deadline_ms": DEADLINE_MS}
    return {**body, "request_id": str(uuid6.uuid7()), **more}


def _post(deployment: Deployment, pipeline: str, body: dict[str, Any]) -> Any:
    node = deployment.node_by_id["entry-1"]
    path = f"/v1/pipelines/{pipeline}/requests"
    return deployment.request("POST", node, path, body)


def _compute_expected_output(deployment: Deployment, pipeline: str, text: str) -> str:
    specs = {(r["kind"], r["name"]): r["spec"] for r in deployment.records}
    return compute_expected_output(specs["pipeline", pipeline]["stages"], specs, text)


def _list_services(deployment: Deployment, pipeline: str) -> list[str]:
    specs = {(r["kind"], r["name"]): r["spec"] for r in deployment.records}
    return [stage["service"] for stage in specs["pipeline", pipeline]["stages"]]


def _list_runs(
    deployment: Deployment, service: str, request_id: str
) -> list[dict[str, Any]]:
    return [
        run
        for run in deployment.read_runs(service)
        if run["request_id"].startswith(request_id)
    ]


def _silence_while_running(
    deployment: Deployment, service: str, request_id: str
) -> None:
    """Silence the server that runs a request, as soon as the run has started."""

    def find_runs() -> Any:
        return _list_runs(deployment, service, request_id)

    server_id = deployment.wait_for(find_runs)[0]["server_id"]
    deployment.inject_fault(server_id, "silent")


def test_silent_engine_stream_is_resumed_and_run_once(deployment: Deployment) -> None:
    service = _list_services(deployment, "kit-return")[-1]
    servers = deployment.list_servers(service)
    for server_id in servers:
        deployment.inject_fault(server_id, "slow", factor=SLOW_FACTOR)
    body = _build_body("silent engine")
    with ThreadPoolExecutor(1) as threads:
        posted = threads.submit(_post, deployment, "kit-return", body)
        run = deployment.wait_for(
            lambda: [
                run
                for run in _list_runs(deployment, service, body["request_id"])
                if run["tokens"] > 0
            ]
        )[0]
        deployment.inject_fault(run["server_id"], "silent")
        for server_id in servers:
            deployment.inject_fault(server_id, "slow", factor=1.0)
        status, answer = posted.result()
    assert status == 200
    assert answer["output"] == _compute_expected_output(
        deployment, "kit-return", "silent engine"
    )
    runs = _list_runs(deployment, service, body["request_id"])
    assert [run["outcome"] for run in runs] == ["completed"]


def test_silent_repeatable_call_is_sent_elsewhere(deployment: Deployment) -> None:
    service = _list_services(deployment, "kit-return")[0]
    servers = deployment.list_servers(service)
    for server_id in servers:
        deployment.inject_fault(server_id, "slow", factor=SLOW_FACTOR)
    body = _build_body("silent encoder")
    with ThreadPoolExecutor(1) as threads:
        posted = threads.submit(_post, deployment, "kit-return", body)
        _silence_while_running(deployment, service, body["request_id"])
        for server_id in servers:
            deployment.inject_fault(server_id, "slow", factor=1.0)
        status, answer = posted.result()
    assert status == 200
    assert answer["output"] == _compute_expected_output(
        deployment, "kit-return", "silent encoder"
    )
    runs = _list_runs(deployment, service, body["request_id"])
    assert len({run["server_id"] for run in runs}) == 2


def test_silent_non_repeatable_call_is_unknown_and_never_sent_again(
    deployment: Deployment,
) -> None:
    for server_id in deployment.list_servers("ledger"):
        deployment.inject_fault(server_id, "slow", factor=SLOW_FACTOR)
    body = _build_body("silent booking", repeatable=False)
    with ThreadPoolExecutor(1) as threads:
        posted = threads.submit(_post, deployment, "booking", body)
        _silence_while_running(deployment, "ledger", body["request_id"])
        _, problem = posted.result()
    for server_id in deployment.list_servers("ledger"):
        deployment.inject_fault(server_id, "clear")
    assert (problem["code"], problem["run_state"]) == (3003, "unknown")
    _, again = _post(deployment, "booking", body)
    assert (again["code"], again["run_state"]) == (3003, "unknown")
    assert len(_list_runs(deployment, "ledger", body["request_id"])) == 1


@pytest.mark.parametrize("is_stream", [False, True])
def test_caller_whose_connection_went_silent_gets_the_kept_answer(
    deployment: Deployment, is_stream: bool
) -> None:
    relay = SilentRelay(deployment.node_by_id["entry-1"].http_address)
    # The client's ids are pinned to the node behind the relay, so it uses no other.
    client = EntryClient([relay.address])
    text = f"silent caller {is_stream}"
    for server_id in deployment.list_servers("ledger"):
        deployment.inject_fault(server_id, "slow", factor=SLOW_FACTOR)
    call = PipelineCall("booking", "festival-crew", text, DEADLINE_MS, repeatable=False)
    before = {run["request_id"] for run in deployment.read_runs("ledger")}
    outcomes: list[Any] = []

    def send() -> None:
        if is_stream:
            outcomes.append(list(client.stream(call))[-1])
            return
        outcomes.append(client.call(call))

    thread = threading.Thread(target=send)
    thread.start()
    deployment.wait_for(
        lambda: {r["request_id"] for r in deployment.read_runs("ledger")} - before
    )
    relay.silence()
    for server_id in deployment.list_servers("ledger"):
        deployment.inject_fault(server_id, "slow", factor=1.0)
    thread.join()
    relay.close()
    (outcome,) = outcomes
    assert isinstance(outcome, Success), outcome
    answer = outcome.unwrap()
    assert answer.output == _compute_expected_output(deployment, "booking", text)
    runs = {run["request_id"] for run in deployment.read_runs("ledger")} - before
    assert runs == {f"{answer.request_id}/book/1"}
