"""Reports of ended servers outlive the nodes that saw and combined them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from returns.result import Failure, Success

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import ServerEnd
from persimmonlink_router.crash_reports import (
    KEEPER_CHECK_INTERVAL_S,
    MIN_KEEPERS,
    REPORT_LIFETIME_S,
    CrashReporter,
)
from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.report_outbox import RETRY_PAUSE_S

SEND_S = 0.1  # Enough for a report that is sent at once.
CAUSE = "request:1"


def make_member(node_id: str, domain: str = "a") -> Member:
    return Member(node_id, "1", domain, "", node_id)


@dataclass
class Peers:
    """A cluster as one node sees it, and what it sends to the others."""

    members: list[Member]
    sender: Sender = field(default_factory=lambda: Sender("own", "1"))
    reports_by_node_id: dict[str, list] = field(default_factory=dict)
    failing_ids: set[str] = field(default_factory=set)
    silent_ids: set[str] = field(default_factory=set)

    def list_serving_members(self):
        return self.members

    def channel(self, address):
        return PeerChannelStub(self, address)

    def count_ends(self, node_id: str) -> int:
        reports = self.reports_by_node_id.get(node_id, [])
        return sum(len(report.crashes) for report in reports)


@dataclass
class PeerChannelStub:
    """Keeps the messages to one node, or fails."""

    peers: Peers
    node_id: str

    async def call(self, message, _reply_type, timeout_s):
        if self.node_id in self.peers.silent_ids:
            await asyncio.sleep(timeout_s)
            return Failure("timed out")
        if self.node_id in self.peers.failing_ids:
            return Failure("refused")
        self.peers.reports_by_node_id.setdefault(self.node_id, []).append(message)
        return Success(Acknowledgement())


def make_end(server: str = "s1") -> ServerEnd:
    return ServerEnd(server, frozenset([CAUSE]), boot_time())


def test_three_members_combine_reports_where_there_are_fewer_domains():
    peers = Peers([make_member(f"n{index}") for index in range(6)])
    assert len(CrashReporter(peers).list_keepers()) == MIN_KEEPERS


def test_one_member_of_each_domain_combines_reports_where_there_are_enough():
    peers = Peers([make_member(f"n{i}", "abcd"[i % 4]) for i in range(12)])
    keepers = CrashReporter(peers).list_keepers()
    assert sorted(member.domain for member in keepers) == ["a", "b", "c", "d"]


def test_what_peers_reported_goes_only_to_members_that_combine_later():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "n2", "own")])
        reporter = CrashReporter(peers)
        reporter.add_ends([make_end("seen here")])
        reporter.tick()
        await asyncio.sleep(SEND_S)
        served_at = boot_time()
        reporter.keep_reports([make_end("seen by n1")], {CAUSE: served_at})
        reporter.flush()
        await asyncio.sleep(SEND_S)
        assert peers.count_ends("n2") == 1
        peers.members = [make_member(n) for n in ("n1", "n3", "own")]
        await asyncio.sleep(KEEPER_CHECK_INTERVAL_S)
        reporter.tick()
        await asyncio.sleep(SEND_S)
        assert peers.count_ends("n1") == 1
        assert peers.count_ends("n3") == 2
        assert CAUSE in peers.reports_by_node_id["n3"][0].served_age_s_by_part

    asyncio.run(scenario())


def test_an_end_that_several_peers_reported_is_passed_on_once():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "own")])
        reporter = CrashReporter(peers)
        for _ in range(3):
            reporter.keep_reports([make_end()], {})
        peers.members = [make_member(n) for n in ("n2", "own")]
        reporter.tick()
        await asyncio.sleep(SEND_S)
        assert peers.count_ends("n2") == 1

    asyncio.run(scenario())


def test_a_report_that_failed_is_sent_again_and_an_old_one_is_not():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "own")], failing_ids={"n1"})
        reporter = CrashReporter(peers)
        reporter.add_ends([make_end("old")])
        await asyncio.sleep(SEND_S)
        reporter.discard_expired(boot_time() + REPORT_LIFETIME_S)
        reporter.add_ends([make_end("new")])
        await asyncio.sleep(SEND_S)
        peers.failing_ids.clear()
        reporter.flush()
        await asyncio.sleep(SEND_S)
        assert peers.count_ends("n1") == 1

    asyncio.run(scenario())


def test_an_end_seen_while_a_member_is_silent_reaches_the_others_at_once():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "n2", "own")], silent_ids={"n1"})
        reporter = CrashReporter(peers)
        reporter.add_ends([make_end("first")])
        await asyncio.sleep(SEND_S)
        assert peers.count_ends("n2") == 1
        reporter.add_ends([make_end("second")])
        await asyncio.sleep(SEND_S)
        assert peers.count_ends("n2") == 2

    asyncio.run(scenario())


def test_a_report_that_failed_is_sent_again_before_the_next_sweep():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "own")], failing_ids={"n1"})
        reporter = CrashReporter(peers)
        reporter.add_ends([make_end()])
        await asyncio.sleep(SEND_S)
        peers.failing_ids.clear()
        await asyncio.sleep(RETRY_PAUSE_S + SEND_S)
        assert peers.count_ends("n1") == 1

    asyncio.run(scenario())


def test_a_member_that_combines_no_more_gets_nothing_after_a_failure():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "own")], failing_ids={"n1"})
        reporter = CrashReporter(peers)
        reporter.add_ends([make_end()])
        await asyncio.sleep(SEND_S)
        peers.failing_ids.clear()
        peers.members = [make_member(n) for n in ("n2", "own")]
        reporter.flush()
        await asyncio.sleep(RETRY_PAUSE_S + SEND_S)
        assert (peers.count_ends("n1"), peers.count_ends("n2")) == (0, 1)

    asyncio.run(scenario())


def test_a_member_that_the_reporting_node_does_not_know_gets_its_report():
    async def scenario():
        peers = Peers([make_member(n) for n in ("n1", "new", "own")])
        reporter = CrashReporter(peers)
        served_at = boot_time()
        receiver_ids = ("seer", "n1", "n2", "own")
        reporter.keep_reports([make_end()], {CAUSE: served_at}, receiver_ids)
        await asyncio.sleep(SEND_S)
        assert (peers.count_ends("n1"), peers.count_ends("new")) == (0, 1)
        report = peers.reports_by_node_id["new"][0]
        assert CAUSE in report.served_age_s_by_part
        assert report.receiver_ids == ("n1", "new")

    asyncio.run(scenario())
