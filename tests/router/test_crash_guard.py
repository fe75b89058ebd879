"""A node that knows a suspect by its peers' word alone lets it run one at a time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_guard import CrashGuard
from persimmonlink_router.crash_messages import ReportCrashes
from persimmonlink_router.crash_reports import CrashReporter
from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.peer_messages import HoldNotice, SharedFacts
from persimmonlink_router.permit_messages import AskTrial
from persimmonlink_router.report_outbox import build_report
from persimmonlink_router.server_ends import InterruptedRequest
from persimmonlink_router.servers import Server

if TYPE_CHECKING:
    from persimmonlink_router.hold_records import HoldRecords

CAUSE = "request:1"
PEER = Sender("n1", "1")
SUSPICION = SharedFacts((), {CAUSE: 10.0})


def make_guard(records: HoldRecords | None = None) -> CrashGuard:
    own = Member("own", "1", "a", "", "")
    peers = SimpleNamespace(
        sender=Sender("own", "1"), list_serving_members=lambda: [own]
    )
    no_records = SimpleNamespace(save=lambda _: None, flush=lambda: None)
    return CrashGuard(
        peers,
        CrashReporter(peers),
        records or no_records,
        lambda: None,
        RouterMetrics(),
    )


def make_server(server_id: str) -> Server:
    return Server(server_id, 1, "desk", f"{server_id}:1", "a", 4, False, 0.0)


def make_request(sent_at: float, interrupted_at: float) -> InterruptedRequest:
    return InterruptedRequest("r", CAUSE, (), sent_at, None, interrupted_at)


async def ask(guard: CrashGuard) -> bool:
    reply = await guard.trials.handle_ask(AskTrial(PEER, CAUSE))
    return reply.is_granted


def test_a_node_without_the_evidence_grants_one_permit_for_a_suspect():
    async def scenario():
        guard = make_guard()
        guard.apply_facts(SUSPICION, "n1")
        assert await ask(guard)
        assert not await ask(guard)

    asyncio.run(scenario())


def test_a_response_to_a_suspect_ends_its_permits_at_a_node_without_the_evidence():
    async def scenario():
        guard = make_guard()
        guard.apply_facts(SUSPICION, "n1")
        assert await ask(guard)
        await guard.handle_report(ReportCrashes(PEER, (), {CAUSE: 0.1}))
        assert await ask(guard)
        assert await ask(guard)

    asyncio.run(scenario())


def test_a_response_of_its_own_ends_the_permits_too():
    async def scenario():
        guard = make_guard()
        guard.record_served((), CAUSE)
        guard.apply_facts(SUSPICION, "n1")
        assert await ask(guard)
        assert await ask(guard)

    asyncio.run(scenario())


def test_a_late_message_on_the_first_end_does_not_hide_that_of_the_repeat():
    async def scenario():
        reports = []
        observer, keeper = make_guard(), make_guard()
        observer._reporter.add_ends = reports.append
        now = boot_time()
        for server, sent_s, ended_s in (("s1", 0.09, 0.05), ("s2", 0.045, 0.01)):
            request = make_request(now - sent_s, now - ended_s)
            observer.record_server_end(make_server(server), [request])
        assert observer._evidence.count_ends(CAUSE) == 2
        for ends, delay_s in zip(reports, (0.03, 0.0), strict=True):
            report = build_report(ends[0], boot_time() - delay_s)
            await keeper.handle_report(ReportCrashes(PEER, (report,)))
        assert keeper._evidence.count_ends(CAUSE) == 2

    asyncio.run(scenario())


def test_two_servers_that_run_a_request_at_once_and_end_together_count_once():
    async def scenario():
        observer = make_guard()
        now = boot_time()
        for server, ended_s in (("s1", 0.05), ("s2", 0.01)):
            request = make_request(now - 0.09, now - ended_s)
            observer.record_server_end(make_server(server), [request])
        assert observer._evidence.count_ends(CAUSE) == 1

    asyncio.run(scenario())


def test_a_decision_of_an_older_node_on_a_path_holds_all_its_queries():
    guard = make_guard()
    notice = HoldNotice((CAUSE,), "older", 1.0, 60.0, 3, False, ("desk/v1",))
    guard.apply_facts(SharedFacts((notice,), {}), "older")
    assert guard.find_hold([CAUSE, "request:exact:1"]) is not None


def test_a_suspect_of_an_older_node_takes_turns_with_it():
    guard = make_guard()
    guard.apply_facts(SUSPICION, "older")
    assert guard.list_suspects([CAUSE, "request:exact:1"]) == [CAUSE]
