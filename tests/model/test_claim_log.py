"""Each id is held permanently by one claim, in whatever order the log is read."""

from __future__ import annotations

import itertools
import random
import uuid
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from persimmonlink_model.claim_log import Append, Claim, ClaimBatch, ClaimLog, LogHead
from persimmonlink_model.request_id import RetryHorizon

HORIZON = RetryHorizon(horizon_s=10.0, skew_s=1.0)
LEASE_REUSE_MS = 2_000
TTL_MS = int(HORIZON.retention_s * 1000) + LEASE_REUSE_MS
COMMITTERS = 2
IDS = 2


def build_id(created_at_ms: int, number: int) -> str:
    value = (created_at_ms << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


@dataclass(frozen=True)
class _Entry:
    sequence: int
    batch: ClaimBatch
    expires_at_ms: int


@dataclass
class _Store:
    """Log in a linearizable store whose entries expire with their leases."""

    revision: int = 1
    head: LogHead | None = None
    entries: list[_Entry] = field(default_factory=list)

    def read(self, start: int) -> tuple[list[ClaimBatch], LogHead | None]:
        found = [e for e in self.entries if e.sequence >= start]
        return [e.batch for e in sorted(found, key=lambda e: e.sequence)], self.head

    def append(self, append: Append, expires_at_ms: int) -> int:
        """Return the revision, or 0 if the head has moved or the entry exists."""
        head_revision = self.head.revision if self.head else 0
        taken = {entry.sequence for entry in self.entries}
        if head_revision != append.head_revision or append.sequence in taken:
            return 0
        self.revision += 1
        self.head = LogHead(append.sequence, self.revision)
        self.entries.append(_Entry(append.sequence, append.batch, expires_at_ms))
        return self.revision

    def expire(self, now_ms: int) -> None:
        self.entries = [e for e in self.entries if e.expires_at_ms > now_ms]


@dataclass
class _Committer:
    name: str
    log: ClaimLog = field(default_factory=lambda: ClaimLog(HORIZON))


@dataclass(frozen=True)
class _Call:
    """Append in transit: it takes effect once, at any later time, or never."""

    committer: _Committer
    append: Append
    expires_at_ms: int


class ClaimLogMachine(RuleBasedStateMachine):
    """Several committers, each of which may consider itself the shard's owner."""

    calls = Bundle("calls")
    replies = Bundle("replies")
    reads = Bundle("reads")

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.now_ms = 1_000_000
        self.committers = [_Committer(f"node-{n}") for n in range(COMMITTERS)]
        self.nonces = itertools.count()
        self.ids = [build_id(self.now_ms, n) for n in range(IDS)]
        self.random = random.Random(7)
        self.holders_by_id: dict[str, set[Claim]] = {}

    def _record_holder(self, holder: Claim) -> None:
        self.holders_by_id.setdefault(holder.request_id, set()).add(holder)

    @rule(target=reads, number=st.integers(0, COMMITTERS - 1))
    def read(self, number: int) -> tuple[_Committer, list[ClaimBatch], LogHead | None]:
        committer = self.committers[number]
        batches, head = self.store.read(committer.log.next_sequence)
        return committer, batches, head

    @rule(read=reads)
    def deliver_read(
        self, read: tuple[_Committer, list[ClaimBatch], LogHead | None]
    ) -> None:
        """Apply a read, possibly again or after later reads."""
        committer, batches, head = read
        committer.log.apply_read(batches, head)

    @rule(number=st.integers(0, COMMITTERS - 1), index=st.integers(0, IDS - 1))
    def commit(self, number: int, index: int) -> None:
        """Read new entries and commit a claim without delays."""
        self.deliver_read(self.read(number))
        call = self.decide(number, {index}, 0)
        self.deliver_reply(self.apply(call))

    @rule(
        target=calls,
        number=st.integers(0, COMMITTERS - 1),
        indexes=st.sets(st.integers(0, IDS - 1), min_size=1),
        lease_age_ms=st.sampled_from([0, LEASE_REUSE_MS - 1]),
    )
    def decide(self, number: int, indexes: set[int], lease_age_ms: int) -> _Call | None:
        committer = self.committers[number]
        claims = []
        for index in sorted(indexes):
            nonce = str(next(self.nonces))
            claims.append(Claim(self.ids[index], committer.name, "1", nonce))
        decision = committer.log.decide(claims, self.now_ms)
        for holder in decision.holder_by_id.values():
            self._record_holder(holder)
        if decision.append is None:
            return None
        expires_at_ms = self.now_ms - lease_age_ms + TTL_MS
        return _Call(committer, decision.append, expires_at_ms)

    @rule(target=replies, call=consumes(calls))
    def apply(self, call: _Call | None) -> tuple[_Call, int] | None:
        if call is None:
            return None
        return call, self.store.append(call.append, call.expires_at_ms)

    @rule(reply=consumes(replies))
    def deliver_reply(self, reply: tuple[_Call, int] | None) -> None:
        """Confirm a successful append; a reply that is never drawn is lost."""
        if reply is None or not reply[1]:
            return
        call, revision = reply
        call.committer.log.confirm(call.append, revision)
        for claim in call.append.batch.claims:
            self._record_holder(claim)

    @rule(step_ms=st.sampled_from([100, 10_900, TTL_MS - 1, TTL_MS]))
    def advance_clock(self, step_ms: int) -> None:
        self.now_ms += step_ms
        self.store.expire(self.now_ms)

    @rule(index=st.integers(0, IDS - 1), ahead_ms=st.sampled_from([0, 999]))
    def create_new_id(self, index: int, ahead_ms: int) -> None:
        number = self.random.getrandbits(60)
        self.ids[index] = build_id(self.now_ms + ahead_ms, number)

    @rule(number=st.integers(0, COMMITTERS - 1))
    def restart(self, number: int) -> None:
        """Replace a committer by a new one that first reads the whole log."""
        committer = _Committer(f"node-{number}")
        committer.log.apply_read(*self.store.read(1))
        self.committers[number] = committer

    @invariant()
    def each_id_is_held_by_one_claim(self) -> None:
        for holders in self.holders_by_id.values():
            assert len(holders) == 1


ClaimLogMachine.TestCase.settings = settings(max_examples=400, stateful_step_count=25)
TestClaimLog = ClaimLogMachine.TestCase


def test_sequence_of_an_expired_entry_is_not_reused() -> None:
    store = _Store()
    stale, fresh = ClaimLog(HORIZON), ClaimLog(HORIZON)
    now_ms = 1_000_000
    delayed_id, other_id = build_id(now_ms, 1), build_id(now_ms, 2)
    late = stale.decide([Claim(delayed_id, "a", "1")], now_ms).append
    first = fresh.decide([Claim(other_id, "b", "1")], now_ms).append
    assert late is not None
    assert first is not None
    fresh.confirm(first, store.append(first, now_ms + TTL_MS))
    second = fresh.decide([Claim(delayed_id, "b", "1")], now_ms).append
    assert second is not None
    assert store.append(second, now_ms + TTL_MS)
    store.expire(now_ms + TTL_MS)
    assert not store.entries
    assert store.append(late, now_ms + 2 * TTL_MS) == 0


def test_id_that_became_too_old_while_waiting_is_not_claimed() -> None:
    log = ClaimLog(HORIZON)
    request_id = build_id(1_000_000, 1)
    decision = log.decide([Claim(request_id, "a", "1")], 1_000_000 + 11_001)
    assert decision.too_old == {request_id}
    assert decision.append is None
