"""Requests through all stages of a deployment of separate processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest
import uuid6

from persimmonlink_bench.caller import Caller
from persimmonlink_bench.expected_output import compute_expected_output

if TYPE_CHECKING:
    from persimmonlink_bench.deployment import Deployment

KIT_RETURN = "/v1/pipelines/kit-return/requests"
DEADLINE_MS = 20_000


def _send(deployment: Deployment, path: str, body: object) -> tuple[int, Any]:
    node = next(iter(deployment.node_by_id.values()))
    return deployment.request("POST", node, path, body)


def _list_all_runs(deployment: Deployment) -> list[dict[str, Any]]:
    services = {vm["service"] for vm in deployment.vms if vm["service"]}
    return [run for name in services for run in deployment.read_runs(name)]


def test_hundred_concurrent_requests_each_get_their_own_answer(
    trentside: Deployment,
) -> None:
    caller = Caller([n.http_address for n in trentside.node_by_id.values()])
    specs = {(r["kind"], r["name"]): r["spec"] for r in trentside.records}
    stages = specs["pipeline", "kit-return"]["stages"]

    def call(number: int) -> bool:
        body = {
            "account": "festival-crew",
            "input": f"item {number}",
            "stream": number % 2 == 0,
            "deadline_ms": DEADLINE_MS,
        }
        outcome = caller.call("kit-return", body)
        expected = compute_expected_output(stages, specs, f"item {number}")
        return outcome.ok and outcome.output == expected

    with ThreadPoolExecutor(25) as pool:
        assert all(pool.map(call, range(100)))


def test_repeated_id_gets_the_first_answer_and_runs_once(trentside: Deployment) -> None:
    request_id = str(uuid6.uuid7())
    body = {
        "account": "festival-crew",
        "input": "one tent",
        "request_id": request_id,
        "repeatable": False,
        "deadline_ms": DEADLINE_MS,
    }
    path = "/v1/pipelines/booking/requests"
    first = _send(trentside, path, body)
    second = _send(trentside, path, body)
    assert first[0] == 200
    assert second == first
    runs = [r["request_id"] for r in trentside.read_runs("ledger")]
    assert [r for r in runs if r.startswith(request_id)] == [f"{request_id}/book/1"]


def _create_expired_id() -> str:
    old_ms = int(time.time() * 1000) - 3_600_000
    return str(uuid6.UUID(int=(old_ms << 80) | (7 << 76) | (2 << 62) | 1))


BAD_REQUESTS = [
    (KIT_RETURN, {"input": "x"}, 1004),
    (KIT_RETURN, {"account": "festival-crew", "input": 7}, 1002),
    (KIT_RETURN, {"account": "festival-crew"}, 1002),
    (KIT_RETURN, {"account": "nobody", "input": "x"}, 1005),
    ("/v1/pipelines/none/requests", {"account": "festival-crew", "input": "x"}, 1006),
    (KIT_RETURN, {"account": "festival-crew", "input": "x", "deadline_ms": 0}, 1007),
    (KIT_RETURN, {"account": "festival-crew", "input": "x", "request_id": "a"}, 1008),
    (KIT_RETURN, {"account": "festival-crew", "input": "x" * 1_100_000}, 1003),
    ("/v1/nothing", {}, 1011),
]


@pytest.mark.parametrize(("path", "body", "code"), BAD_REQUESTS)
def test_bad_input_has_its_own_code_and_runs_nothing(
    trentside: Deployment, path: str, body: object, code: int
) -> None:
    before = len(_list_all_runs(trentside))
    _, problem = _send(trentside, path, body)
    assert (problem["code"], problem["run_state"]) == (code, "not_run")
    assert len(_list_all_runs(trentside)) == before


def test_malformed_json_is_refused(trentside: Deployment) -> None:
    node = next(iter(trentside.node_by_id.values()))
    url = f"http://{node.http_address}{KIT_RETURN}"
    response = trentside._http.request("POST", url, body=b"{not json")
    assert response.status == 400
    assert response.headers["Content-Type"] == "application/problem+json"
    assert response.json()["code"] == 1001


def test_id_older_than_the_retry_horizon_is_not_run_now(trentside: Deployment) -> None:
    body = {
        "account": "festival-crew",
        "input": "x",
        "request_id": _create_expired_id(),
    }
    _, problem = _send(trentside, KIT_RETURN, body)
    assert (problem["code"], problem["run_state"]) == (1009, "unknown")


def test_same_id_with_another_body_is_refused(trentside: Deployment) -> None:
    body = {
        "account": "festival-crew",
        "input": "x",
        "request_id": str(uuid6.uuid7()),
        "deadline_ms": DEADLINE_MS,
    }
    assert _send(trentside, KIT_RETURN, body)[0] == 200
    _, problem = _send(trentside, KIT_RETURN, body | {"input": "y"})
    assert problem["code"] == 1010
