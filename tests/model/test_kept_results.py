"""A request that ran is not run anew while its id is kept.

A retry may only resume it after its completed stages.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from persimmonlink_model.kept_results import (
    ID_OVERHEAD_BYTES,
    KeptResult,
    KeptResults,
    Progress,
    Registration,
    RequestPhase,
)
from persimmonlink_model.request import Answer

RETENTION_S = 10.0
MAX_BYTES = 100
IDS = st.sampled_from(["a", "b", "c"])
BODIES = st.sampled_from(["one", "two"])


class KeptResultsMachine(RuleBasedStateMachine):
    """Requests that are registered, finished, evicted, transferred and expired."""

    def __init__(self) -> None:
        super().__init__()
        self.kept = KeptResults(RETENTION_S, MAX_BYTES)
        self.now = 0.0
        self.body_by_running_id: dict[str, str] = {}
        self.ran_at_by_id: dict[str, float] = {}
        self.body_by_id: dict[str, str] = {}

    @rule(request_id=IDS, body=BODIES)
    def register(self, request_id: str, body: str) -> None:
        registration = self.kept.register(request_id, body, self.now)
        if request_id in self.body_by_running_id:
            assert registration in (Registration.KNOWN, Registration.OTHER_BODY)
            return
        if registration is Registration.NEW:
            ran_at = self.ran_at_by_id.get(request_id)
            assert ran_at is None or self.now - ran_at >= RETENTION_S
            self.ran_at_by_id.pop(request_id, None)
            self.body_by_running_id[request_id] = body
        if registration is Registration.RESUMED:
            assert body == self.body_by_id[request_id]
            known = self.kept.find(request_id)
            assert known is not None
            assert known.progress == Progress(request_id, ())
            self.body_by_running_id[request_id] = body

    @rule(request_id=IDS, size=st.integers(0, 150), is_resumable=st.booleans())
    def finish(self, request_id: str, size: int, is_resumable: bool) -> None:
        if request_id not in self.body_by_running_id:
            return
        known = self.kept.find(request_id)
        assert known is not None
        self.ran_at_by_id[request_id] = known.started_at
        self.body_by_id[request_id] = self.body_by_running_id.pop(request_id)
        progress = Progress(request_id, ()) if is_resumable else None
        self.kept.finish(request_id, Answer(request_id, "x"), size, progress)

    @rule(request_id=IDS)
    def unregister(self, request_id: str) -> None:
        if request_id not in self.body_by_running_id:
            return
        if request_id in self.ran_at_by_id:
            return
        del self.body_by_running_id[request_id]
        self.kept.unregister(request_id)

    @rule(request_id=IDS, age_s=st.floats(0, RETENTION_S - 1), size=st.integers(0, 150))
    def import_result(self, request_id: str, age_s: float, size: int) -> None:
        started_at = self.now - age_s
        answer = Answer(request_id, "x")
        result = KeptResult(
            request_id, "one", RequestPhase.FINISHED, started_at, answer, size
        )
        if self.kept.import_result(result):
            self.ran_at_by_id[request_id] = started_at
            self.body_by_id[request_id] = "one"

    @rule(step_s=st.floats(0, RETENTION_S))
    def advance_clock(self, step_s: float) -> None:
        self.now += step_s
        self.kept.discard_expired(self.now)

    @rule(max_bytes=st.integers(0, 1000))
    def list_for_transfer(self, max_bytes: int) -> None:
        transferred = self.kept.list_finished(max_bytes)
        assert (
            sum(ID_OVERHEAD_BYTES + result.size for result in transferred) <= max_bytes
        )
        for result in transferred:
            assert result.phase is RequestPhase.FINISHED
            assert result.outcome is None or result.outcome == Answer(
                result.request_id, "x"
            )

    @invariant()
    def bytes_are_bounded_and_counted(self) -> None:
        used = sum(result.size for result in self.kept.result_by_id.values())
        assert self.kept.used_bytes == used <= MAX_BYTES


KeptResultsMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30
)
TestKeptResults = KeptResultsMachine.TestCase
