"""A node that knows a suspect by its peers' word alone lets it run one at a time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from persimmonlink_model.membership import Member
from persimmonlink_peers.message import Sender
from persimmonlink_router.crash_guard import CrashGuard
from persimmonlink_router.crash_reports import CrashReporter
from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.peer_messages import AskTrial, ReportCrashes, SharedFacts

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
