"""Planned stops under load, with callers that cache their entry answers."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest
from returns.result import Failure as Err

from persimmonlink_bench.deployment import Deployment, DeploymentPlan
from persimmonlink_bench.expected_output import compute_expected_output
from persimmonlink_client import EntryClient, PipelineAnswer, PipelineCall
from persimmonlink_client.transport import HttpTransport

if TYPE_CHECKING:
    from collections.abc import Iterator

TTL_S = 1.0
DEADLINE_MS = 10_000
CALLERS = 6


class RecordingTransport(HttpTransport):
    """Records each failed attempt, which the client's retries would hide."""

    def __init__(self) -> None:
        super().__init__()
        self.failures: list[str] = []

    def exchange(
        self, method: str, address: str, path: str, timeout_s: float, body: Any = None
    ) -> Any:
        replied = super().exchange(method, address, path, timeout_s, body)
        self._record_failure(method, address, replied)
        return replied

    def open_stream(self, address: str, path: str, timeout_s: float, body: Any) -> Any:
        replied = super().open_stream(address, path, timeout_s, body)
        self._record_failure("POST", address, replied)
        return replied

    def _record_failure(self, method: str, address: str, replied: Any) -> None:
        if method != "POST":
            return
        if isinstance(replied, Err):
            self.failures.append(f"{address}: {replied.failure()}")
            return
        status = getattr(replied.unwrap(), "status", 200)
        if status != 200:
            self.failures.append(f"{address}: {status} {replied.unwrap()}")


class Load:
    """Threads that send plain, streamed and non-repeatable requests until stopped."""

    def __init__(self, deployment: Deployment) -> None:
        self._specs = {(r["kind"], r["name"]): r["spec"] for r in deployment.records}
        self._addresses = [n.http_address for n in deployment.node_by_id.values()]
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.failures: list[str] = []
        self.booked: list[str] = []
        self.finished = 0
        self._threads = [
            threading.Thread(target=self._call_until_stopped, args=(number,))
            for number in range(CALLERS)
        ]

    def __enter__(self) -> Load:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call_until_stopped(self, caller: int) -> None:
        transport = RecordingTransport()
        rotated = self._addresses[caller % 3 :] + self._addresses[: caller % 3]
        client = EntryClient(rotated, transport=transport)
        for number in itertools.count():
            if self._stopped.is_set():
                break
            self._call(client, f"caller {caller} item {number}", number % 3)
        with self._lock:
            self.failures += transport.failures

    def _call(self, client: EntryClient, text: str, kind: int) -> None:
        pipeline = "booking" if kind == 2 else "kit-return"
        call = PipelineCall(
            pipeline, "festival-crew", text, DEADLINE_MS, repeatable=kind != 2
        )
        outcome = list(client.stream(call))[-1] if kind == 1 else client.call(call)
        stages = self._specs["pipeline", pipeline]["stages"]
        expected = compute_expected_output(stages, self._specs, text)
        with self._lock:
            self.finished += 1
            if isinstance(outcome, Err):
                self.failures.append(f"{text}: {outcome.failure()}")
                return
            answer = outcome.unwrap()
            assert isinstance(answer, PipelineAnswer)
            if answer.output != expected:
                self.failures.append(f"{text}: unexpected output")
            if kind == 2:
                self.booked.append(answer.request_id)


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    settings = {"entry": {"ttl_s": TTL_S}}
    with Deployment(DeploymentPlan(node_count=3, settings=settings)) as started:
        yield started


def _list_advertised(deployment: Deployment, node_id: str) -> set[str]:
    node = deployment.node_by_id[node_id]
    _, answer = deployment.request("GET", node, "/v1/entry")
    return {each["address"] for each in answer["addresses"]}


def test_rolling_replacement_under_load_fails_no_request(
    deployment: Deployment,
) -> None:
    addresses = {n.http_address for n in deployment.node_by_id.values()}
    with Load(deployment) as load:
        for node_id in list(deployment.node_by_id):
            time.sleep(TTL_S)
            child = deployment.node_by_id[node_id].child
            child.terminate()
            # A second signal must not abort the graceful stop.
            child.terminate()
            assert child.wait() == 0
            deployment.start_node(node_id)
            deployment.wait_until_serving(node_id)
            for other in deployment.node_by_id:
                deployment.wait_for(
                    lambda other=other: _list_advertised(deployment, other) == addresses
                )
    assert load.finished > CALLERS
    assert load.failures == []
    runs = Counter(
        run["request_id"].split("/")[0] for run in deployment.read_runs("ledger")
    )
    assert {runs[request_id] for request_id in load.booked} == {1}


def test_leaving_node_is_not_advertised_and_still_serves(
    deployment: Deployment,
) -> None:
    node = deployment.node_by_id["entry-1"]
    others = _list_advertised(deployment, "entry-1") - {node.http_address}
    node.child.terminate()
    deployment.wait_for(lambda: _list_advertised(deployment, "entry-1") == others)
    _, answer = deployment.request("GET", node, "/v1/entry")
    assert answer["id_prefix"] == ""
    body = {"account": "festival-crew", "input": "x", "deadline_ms": DEADLINE_MS}
    path = "/v1/pipelines/kit-return/requests"
    assert deployment.request("POST", node, path, body)[0] == 200
    for other in ("entry-2", "entry-3"):
        assert node.http_address not in _list_advertised(deployment, other)
    assert node.child.wait() == 0
