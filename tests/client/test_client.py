"""Client library against fake nodes over HTTP."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from returns.result import Failure, Success
from tests.client.fake_node import FakeNode, Request, Response, problem

from persimmonlink_client import EntryClient, PipelineCall
from persimmonlink_model.result_code import ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Callable

CALL = PipelineCall("kit-return", "crew", "tent 4", deadline_ms=2000)
BOOKING = PipelineCall("booking", "crew", "tent 4", 2000, repeatable=False)


def _entry(*addresses: str, prefix: str = "n1-", ttl_s: float = 60) -> Response:
    listed = [{"address": each, "domain": f"d{i}"} for i, each in enumerate(addresses)]
    return Response({"addresses": listed, "ttl_s": ttl_s, "id_prefix": prefix})


def _answer_of(request_id: str) -> Response:
    stages = [{"stage": "encode", "server_id": "e1", "seconds": 0.1, "cost": 0.1}]
    body = {"request_id": request_id, "output": "ok", "complete": True}
    return Response({**body, "stages": stages, "unknown_field": 1})


def _serve(node: FakeNode, post: list, get: list | None = None) -> None:
    """Answer POST and GET requests from queues; a callable gets the request id."""

    def handle(request: Request) -> Response:
        if request.path == "/v1/entry":
            return _entry(node.address)
        queue = post if request.method == "POST" else get
        item = queue.pop(0)
        if isinstance(item, Response):
            return item
        return item(request.body["request_id"] if request.body else request.path[13:])

    node.handle = handle


def _ids(node: FakeNode) -> list[str]:
    return [each.body["request_id"] for each in node.received("POST")]


BROKEN = Response({}, is_broken=True)


def test_entry_answer_is_cached_for_its_ttl(node: FakeNode) -> None:
    now = [0.0]
    _serve(node, [_answer_of] * 3)
    client = EntryClient([node.address], clock=lambda: now[0])
    for now[0] in (0.0, 59.0, 61.0):
        assert isinstance(client.call(CALL), Success)
    assert [each.path for each in node.received("GET")] == ["/v1/entry"] * 2


def test_entry_vm_of_own_domain_is_preferred(
    node: FakeNode, other_node: FakeNode
) -> None:
    _serve(other_node, [_answer_of])
    node.handle = lambda _: _entry(node.address, other_node.address)
    outcome = EntryClient([node.address], domain="d1").call(CALL)
    assert outcome.unwrap().output == "ok"
    assert not node.received("POST")


def test_only_non_repeatable_ids_carry_the_prefix(node: FakeNode) -> None:
    _serve(node, [_answer_of] * 2)
    client = EntryClient([node.address])
    client.call(CALL)
    client.call(BOOKING)
    plain, pinned = _ids(node)
    assert uuid.UUID(plain).version == 7
    assert pinned.startswith("n1-")
    assert uuid.UUID(pinned.removeprefix("n1-")).version == 7


def test_lost_answer_is_fetched_without_a_second_send(node: FakeNode) -> None:
    _serve(node, [BROKEN], [problem(3006, "unknown", 409), _answer_of])
    outcome = EntryClient([node.address]).call(BOOKING)
    assert outcome.unwrap().request_id == _ids(node)[0]
    assert len(_ids(node)) == 1


def test_lost_request_is_sent_again_under_the_same_id(node: FakeNode) -> None:
    _serve(node, [BROKEN, _answer_of], [problem(2007, "unknown", 404)])
    outcome = EntryClient([node.address]).call(BOOKING)
    assert isinstance(outcome, Success)
    assert len(set(_ids(node))) == 1


def test_refusal_after_a_lost_answer_does_not_claim_not_run(node: FakeNode) -> None:
    refusal = problem(1010, "not_run", 409)
    _serve(node, [BROKEN, refusal], [problem(2007, "unknown", 404)])
    failure = EntryClient([node.address]).call(BOOKING).failure()
    assert failure.run_state is RunState.UNKNOWN
    assert _ids(node)[0] in failure.detail


def test_refusal_is_retried_after_its_delay_under_a_new_id(node: FakeNode) -> None:
    pauses: list[float] = []
    refusal = problem(2001, "not_run", retry_after_s=0.5)
    _serve(node, [refusal, _answer_of])
    client = EntryClient([node.address], sleep=pauses.append)
    assert isinstance(client.call(BOOKING), Success)
    assert pauses == [0.5]
    assert len(set(_ids(node))) == 2


def test_retry_after_header_past_the_deadline_prevents_a_retry(
    node: FakeNode,
) -> None:
    refusal = problem(2001, "not_run")
    refusal.headers["Retry-After"] = "60"
    _serve(node, [refusal])
    failure = EntryClient([node.address]).call(CALL).failure()
    assert failure.code is ResultCode.OVERLOADED
    assert failure.run_state is RunState.NOT_RUN
    assert failure.retry_after_s == 60
    assert len(_ids(node)) == 1


def test_refusal_is_retried_at_another_address(
    node: FakeNode, other_node: FakeNode
) -> None:
    _serve(other_node, [_answer_of])

    def handle(request: Request) -> Response:
        if request.path == "/v1/entry":
            return _entry(node.address, other_node.address)
        return problem(2004, "not_run")

    node.handle = handle
    assert isinstance(EntryClient([node.address]).call(CALL), Success)
    assert len(node.received("POST")) == 1


def test_unknown_outcome_reported_by_a_node_is_final(node: FakeNode) -> None:
    _serve(node, [problem(3003, "unknown", 502)])
    failure = EntryClient([node.address]).call(BOOKING).failure()
    assert failure.code is ResultCode.OUTCOME_UNKNOWN


def test_answer_to_another_request_is_never_returned(node: FakeNode) -> None:
    _serve(node, [lambda _: _answer_of("other")], [_answer_of])
    assert EntryClient([node.address]).call(CALL).unwrap().request_id == _ids(node)[0]


def test_unreachable_entry_vms_are_reported_as_not_run() -> None:
    failure = EntryClient(["127.0.0.1:1"]).call(CALL).failure()
    assert failure.code is ResultCode.PEER_UNREACHABLE
    assert failure.run_state is RunState.NOT_RUN


def _lines(*sequences: int, is_complete: bool = True) -> Callable[[str], Response]:
    def build(request_id: str) -> Response:
        parts = [{"sequence": n, "text": f"t{n}"} for n in sequences]
        end = {"sequence": max(sequences) + 1, **_answer_of(request_id).body}
        return Response(lines=(*parts, end) if is_complete else tuple(parts))

    return build


def test_stream_yields_each_part_once_and_the_whole_answer(node: FakeNode) -> None:
    _serve(node, [_lines(0, 1, 1, 2)])
    items = [each.unwrap() for each in EntryClient([node.address]).stream(CALL)]
    assert [each.text for each in items[:-1]] == ["t0", "t1", "t2"]
    assert items[-1].output == "ok"


def test_broken_or_incomplete_stream_ends_with_the_stored_answer(
    node: FakeNode,
) -> None:
    for lines in (_lines(0, 1, is_complete=False), _lines(0, 1, 3)):
        _serve(node, [lines], [_answer_of])
        items = [each.unwrap() for each in EntryClient([node.address]).stream(CALL)]
        assert [each.text for each in items[:-1]] == ["t0", "t1"]
        assert items[-1].complete


def test_problem_in_a_stream_is_its_last_item(node: FakeNode) -> None:
    end = {"sequence": 0, "complete": False, "problem": problem(3002, "ran").body}
    _serve(node, [Response(lines=(end,))])
    (only,) = EntryClient([node.address]).stream(CALL)
    assert isinstance(only, Failure)
    assert only.failure().code is ResultCode.STAGE_FAILED


def test_cancel_and_fetch_send_the_request_id(node: FakeNode) -> None:
    node.handle = lambda request: (
        _entry(node.address) if request.path == "/v1/entry" else _answer_of("r1")
    )
    client = EntryClient([node.address])
    assert client.fetch("r1").unwrap().output == "ok"
    assert client.cancel("r1") == Success(None)
    assert node.received("DELETE")[0].path == "/v1/requests/r1"
