"""A non-repeatable request runs at most once, whatever is lost or refused."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_client import EntryClient, PipelineCall
from persimmonlink_client.transport import Reply
from persimmonlink_model.result_code import Failure, ResultCode, RunState

POST_EVENTS = ("answer", "refuse", "unreachable", "lose_request", "lose_answer")
GET_EVENTS = ("answer", "unreachable", "running", "forgotten")


class FaultyTransport:
    """Two entry VMs that run each id once and fail according to a list of events."""

    def __init__(self, posts: list[str], last_post: str, gets: list[str]) -> None:
        self.posts = list(posts)
        self.last_post = last_post
        self.gets = list(gets)
        self.runs_by_id: Counter[str] = Counter()
        self.post_timeouts: list[float] = []

    def exchange(
        self, method: str, address: str, path: str, timeout_s: float, body: Any = None
    ) -> Result[Reply, Failure]:
        if method == "POST":
            self.post_timeouts.append(timeout_s)
        if path == "/v1/entry":
            listed = [{"address": "a"}, {"address": "b"}]
            entry = {"addresses": listed, "ttl_s": 9, "id_prefix": f"{address}-"}
            return _reply(200, entry)
        if method == "GET":
            return self._look_up(path.rsplit("/", 1)[1])
        return self._post(body["request_id"])

    def _look_up(self, request_id: str) -> Result[Reply, Failure]:
        event = self.gets.pop(0) if self.gets else "answer"
        if event == "unreachable":
            return _lost(RunState.NOT_RUN)
        if event == "running" and self.runs_by_id[request_id]:
            return _reply(409, {"code": 3006, "run_state": "unknown"})
        if self.runs_by_id[request_id] and event != "forgotten":
            return _answer(request_id)
        return _reply(404, {"code": 2007, "run_state": "unknown"})

    def _post(self, request_id: str) -> Result[Reply, Failure]:
        event = self.posts.pop(0) if self.posts else self.last_post
        if event == "refuse":
            return _reply(503, {"code": 2001, "run_state": "not_run"})
        if event == "unreachable":
            return _lost(RunState.NOT_RUN)
        if event == "lose_request":
            return _lost(RunState.UNKNOWN)
        self.runs_by_id[request_id] = 1
        if event == "lose_answer":
            return _lost(RunState.UNKNOWN)
        return _answer(request_id)


def _reply(status: int, body: Any) -> Result[Reply, Failure]:
    return Success(Reply(status, json.dumps(body).encode()))


def _answer(request_id: str) -> Result[Reply, Failure]:
    return _reply(200, {"request_id": request_id, "output": "", "complete": True})


def _lost(state: RunState) -> Result[Reply, Failure]:
    return Failed(Failure(ResultCode.PEER_UNREACHABLE, "lost", state))


@settings(max_examples=1000)
@example(["lose_answer", "refuse"], "answer", ["forgotten"], True)
@example(["lose_answer"], "refuse", ["forgotten"], False)
@given(
    posts=st.lists(st.sampled_from(POST_EVENTS), max_size=4),
    last_post=st.sampled_from(POST_EVENTS),
    gets=st.lists(st.sampled_from(GET_EVENTS), max_size=8),
    pinned=st.booleans(),
)
def test_request_runs_at_most_once_and_not_run_is_never_false(
    posts: list[str], last_post: str, gets: list[str], pinned: bool
) -> None:
    now = [0.0]

    def sleep(seconds: float) -> None:
        now[0] += seconds + 0.01

    transport = FaultyTransport(posts, last_post, gets)
    client = EntryClient(["a"], transport=transport, clock=lambda: now[0], sleep=sleep)
    call = PipelineCall("booking", "crew", "x", 1000, repeatable=False, pinned=pinned)
    outcome = client.call(call)
    runs = transport.runs_by_id.total()
    assert runs <= 1
    if isinstance(outcome, Success):
        assert transport.runs_by_id[outcome.unwrap().request_id] == 1
    elif outcome.failure().run_state is RunState.NOT_RUN:
        assert runs == 0


def test_silent_connection_times_out_in_time_for_a_lookup() -> None:
    now = [0.0]
    transport = FaultyTransport(["lose_answer"], "refuse", ["running", "answer"])
    client = EntryClient(
        ["a"],
        transport=transport,  # type: ignore[arg-type]
        clock=lambda: now[0],
        sleep=lambda seconds: now.__setitem__(0, now[0] + seconds),
    )
    outcome = client.call(PipelineCall("booking", "crew", "x", 4000, repeatable=False))
    assert isinstance(outcome, Success)
    assert transport.post_timeouts == [2.0]


@settings(max_examples=300)
@given(
    posts=st.lists(st.sampled_from(POST_EVENTS), max_size=6),
    last_post=st.sampled_from(POST_EVENTS),
    gets=st.lists(st.sampled_from(GET_EVENTS), max_size=8),
    pinned=st.booleans(),
)
def test_no_second_id_is_used_after_a_send_that_may_have_run(
    posts: list[str], last_post: str, gets: list[str], pinned: bool
) -> None:
    now = [0.0]
    sent: list[tuple[str, str]] = []

    class RecordingTransport(FaultyTransport):
        def _post(self, request_id: str) -> Result[Reply, Failure]:
            event = self.posts[0] if self.posts else self.last_post
            sent.append((request_id, event))
            return super()._post(request_id)

    client = EntryClient(
        ["a"],
        transport=RecordingTransport(posts, last_post, gets),  # type: ignore[arg-type]
        clock=lambda: now[0],
        sleep=lambda seconds: now.__setitem__(0, now[0] + seconds + 0.01),
    )
    client.call(PipelineCall("b", "c", "x", 1000, repeatable=False, pinned=pinned))
    for index, (request_id, event) in enumerate(sent):
        if event in ("refuse", "unreachable"):
            continue
        assert {later for later, _ in sent[index:]} == {request_id}
