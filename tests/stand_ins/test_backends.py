"""Faults and overload of the stand-in engines and plain servers."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest
import urllib3

from persimmonlink_stand_ins.engine import EngineOptions, EngineServer
from persimmonlink_stand_ins.plain_service import PlainServer
from persimmonlink_stand_ins.work import generate, run_stage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from persimmonlink_stand_ins.backend import BackendServer

POOL = urllib3.PoolManager(retries=False, timeout=10, maxsize=20)
PROMPT = "p " * 100


@pytest.fixture
def register() -> Iterator[Callable[[BackendServer], str]]:
    servers: list[BackendServer] = []

    def add(server: BackendServer) -> str:
        servers.append(server)
        return server.url

    yield add
    for server in servers:
        server.stop()


def open_stream(url: str, request_id: str, offset: int = 0) -> urllib3.BaseHTTPResponse:
    body = {"request_id": request_id, "prompt": PROMPT, "max_tokens": 40}
    body |= {"stream": True, "stream_offset": offset}
    return POOL.request(
        "POST", f"{url}/v1/completions", json=body, preload_content=False, timeout=2
    )


def read_tokens(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    for chunk in response.stream():
        for line in chunk.decode().splitlines():
            if line.startswith("data: {"):
                yield json.loads(line[6:])["choices"][0]["text"]


def read_completion(url: str, request_id: str, offset: int = 0) -> list[str]:
    return list(read_tokens(open_stream(url, request_id, offset)))


def post_stage(url: str, request_id: str) -> dict[str, Any]:
    body = {"request_id": request_id, "stage": "s", "account": "a", "input": "x"}
    return POOL.request("POST", f"{url}/v1/run", json=body).json()


def inject_fault(url: str, **body: Any) -> None:
    assert POOL.request("POST", f"{url}/fault", json=body).status == 200


def test_stream_resumed_after_silence_returns_all_tokens(
    register: Callable[..., str],
) -> None:
    server = EngineServer("e1", options=EngineOptions(step_ms=100))
    url = register(server)
    stream = read_tokens(open_stream(url, "r1"))
    tokens = [next(stream)]
    inject_fault(url, kind="silent", seconds=1)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        tokens.extend(stream)
    assert len(tokens) < 40
    tokens += read_completion(url, "r1", offset=len(tokens))
    assert tokens == generate(PROMPT, 40)
    outcomes = [run["outcome"] for run in server.report()["runs"]]
    assert outcomes == ["completed"]


def test_overloaded_cold_engine_restarts(register: Callable[..., str]) -> None:
    options = EngineOptions(cold=True, step_ms=100, fall_over_s=0.2)
    server = EngineServer("e1", options=options)
    url = register(server)
    old_incarnation = server.warm_up.incarnation
    with ThreadPoolExecutor(3) as pool:
        futures = [pool.submit(read_completion, url, f"r{n}") for n in range(3)]
    for future in futures:
        assert isinstance(future.exception(), urllib3.exceptions.HTTPError)
    report = server.report()
    assert (report["fall_overs"], report["peak_running_cold"]) == (1, 3)
    assert [run["outcome"] for run in report["runs"]] == ["aborted"] * 3
    assert server.warm_up.incarnation != old_incarnation


def test_cancelled_stream_stops(register: Callable[..., str]) -> None:
    server = EngineServer("e1", options=EngineOptions(step_ms=100))
    url = register(server)
    response = open_stream(url, "r1")
    next(read_tokens(response))
    response.close()
    POOL.request("DELETE", f"{url}/v1/completions/r1")
    report = server.report()
    assert (report["cancelled"], server.count_runs()) == (1, (0, 0))
    assert report["tokens"] < 40


@pytest.mark.parametrize("kind", ["die_after_read", "dead"])
def test_response_is_lost(register: Callable[..., str], kind: str) -> None:
    server = PlainServer("p1")
    url = register(server)
    inject_fault(url, kind=kind, count=1, seconds=30)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        post_stage(url, "r1")
    assert len(server.report()["runs"]) == (1 if kind == "die_after_read" else 0)


def test_refused_request_is_marked_as_not_run(register: Callable[..., str]) -> None:
    server = PlainServer("p1")
    url = register(server)
    inject_fault(url, kind="refuse", seconds=30)
    body = {"request_id": "r1", "stage": "s", "input": "x"}
    response = POOL.request("POST", f"{url}/v1/run", json=body)
    assert (response.status, response.headers["X-Not-Run"]) == (503, "1")
    inject_fault(url, kind="clear")
    assert post_stage(url, "r1")["output"] == run_stage("s", "x")
    inject_fault(url, kind="wrong_id", count=1)
    assert post_stage(url, "r2")["request_id"] != "r2"
    assert [run["request_id"] for run in server.report()["runs"]] == ["r1", "r2"]
