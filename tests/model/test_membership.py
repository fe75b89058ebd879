"""Membership for any order of direct messages, reports, silence and restarts."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from persimmonlink_model.membership import (
    REPORTED_SUSPECT_AFTER_S,
    SUSPECT_AFTER_S,
    Member,
    MemberReport,
    Membership,
)

NAMES = st.sampled_from(["b", "c", "d"])
INCARNATIONS = st.integers(1, 4).map(str)
AGES = st.floats(0, 300)


def _member(node_id: str, incarnation: str, leaving: bool = False) -> Member:
    address = f"{node_id}{incarnation}"
    return Member(node_id, incarnation, "domain", address, address, leaving)


class MembershipMachine(RuleBasedStateMachine):
    """Compares the membership with a record of all updates applied to it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.membership = Membership("a")
        self.membership.apply_direct_update(_member("a", "1"), 0.0)
        self.newest_incarnation_by_id: dict[str, str] = {}
        self.left_incarnations: set[tuple[str, str]] = set()
        self.last_seen_at_by_id: dict[str, float] = {}

    def _record(self, member: Member, last_seen_at: float) -> None:
        newest_incarnation = max(
            self.newest_incarnation_by_id.get(member.node_id, ""), member.incarnation
        )
        self.newest_incarnation_by_id[member.node_id] = newest_incarnation
        if member.leaving:
            self.left_incarnations.add((member.node_id, member.incarnation))
        latest = max(
            self.last_seen_at_by_id.get(member.node_id, last_seen_at), last_seen_at
        )
        self.last_seen_at_by_id[member.node_id] = latest

    @rule(node_id=NAMES, incarnation=INCARNATIONS, leaving=st.booleans())
    def apply_direct_update(
        self, node_id: str, incarnation: str, leaving: bool
    ) -> None:
        member = _member(node_id, incarnation, leaving)
        is_old = incarnation < self.newest_incarnation_by_id.get(node_id, "")
        assert self.membership.apply_direct_update(member, self.now) is not is_old
        if not is_old:
            self._record(member, self.now)
            assert self.membership.is_neighbour(node_id, self.now)

    @rule(node_id=NAMES, incarnation=INCARNATIONS, leaving=st.booleans(), age_s=AGES)
    def report(
        self, node_id: str, incarnation: str, leaving: bool, age_s: float
    ) -> None:
        member = _member(node_id, incarnation, leaving)
        was_neighbour = self.membership.is_neighbour(node_id, self.now)
        self.membership.apply_relayed_report(MemberReport(member, age_s), self.now)
        self._record(member, self.now - age_s)
        assert self.membership.is_neighbour(node_id, self.now) is was_neighbour

    @rule(leaving=st.booleans(), age_s=AGES)
    def report_on_itself(self, leaving: bool, age_s: float) -> None:
        report = MemberReport(_member("a", "9", leaving), age_s)
        assert not self.membership.apply_relayed_report(report, self.now)

    @rule(node_id=NAMES)
    def become_unresponsive(self, node_id: str) -> None:
        self.membership.mark_unresponsive(node_id, self.now)
        assert not self.membership.is_live(node_id, self.now)

    @rule(seconds=st.sampled_from([0.4, 2.5, 190.0, 700.0]))
    def advance_clock(self, seconds: float) -> None:
        self.now += seconds
        self.membership.expire_silent(self.now)

    @invariant()
    def incarnations_never_go_back(self) -> None:
        for node_id, newest_incarnation in self.newest_incarnation_by_id.items():
            member = self.membership.find(node_id)
            assert member is None or member.incarnation == newest_incarnation

    @invariant()
    def leaving_is_kept_within_an_incarnation(self) -> None:
        for member in self.membership.list_active(self.now):
            assert (member.node_id, member.incarnation) not in self.left_incarnations

    @invariant()
    def silent_members_are_suspected(self) -> None:
        for node_id, last_seen_at in self.last_seen_at_by_id.items():
            silent_s = self.now - last_seen_at
            if silent_s >= REPORTED_SUSPECT_AFTER_S:
                assert not self.membership.is_live(node_id, self.now)
            if silent_s >= SUSPECT_AFTER_S:
                assert not self.membership.is_neighbour(node_id, self.now)

    @invariant()
    def own_node_is_always_live(self) -> None:
        assert self.membership.is_live("a", self.now)
        assert self.membership.find("a") is not None


MembershipMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None
)
TestMembership = MembershipMachine.TestCase


def test_silent_neighbour_is_not_live_again_after_an_older_report() -> None:
    membership = Membership("a")
    membership.apply_direct_update(_member("b", "1"), 10.0)
    report = MemberReport(_member("b", "1"), 2.0)
    assert not membership.apply_relayed_report(report, 12.5)
    assert not membership.is_live("b", 12.5)


def test_unresponsive_member_is_live_again_after_a_newer_report() -> None:
    membership = Membership("a")
    membership.apply_relayed_report(MemberReport(_member("b", "1"), 0.0), 10.0)
    assert membership.is_live("b", 40.0)
    membership.mark_unresponsive("b", 40.0)
    membership.apply_relayed_report(MemberReport(_member("b", "1"), 5.0), 41.0)
    assert not membership.is_live("b", 41.0)
    membership.apply_relayed_report(MemberReport(_member("b", "1"), 0.5), 42.0)
    assert membership.is_live("b", 42.0)
