"""Times of a peer that no node sends have no effect that lasts."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from returns.result import Success
from tests.router.test_cluster_membership import (
    build_member,
    build_membership,
    receive_heartbeat,
)
from tests.router.test_crash_guard import CAUSE, PEER, make_guard, make_server

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_messages import (
    CrashReport,
    ReportCrashes,
)
from persimmonlink_router.crash_reports import REPORT_LIFETIME_S
from persimmonlink_router.foreign_values import MAX_SECONDS
from persimmonlink_router.holds import HOLD_S, Holds
from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.peer_messages import (
    HoldNotice,
)
from persimmonlink_router.permit_messages import (
    PermitReply,
)
from persimmonlink_router.report_outbox import read_report
from persimmonlink_router.server_limiter import ServerLimiter
from persimmonlink_router.shared_rate import MAX_WAIT_S
from persimmonlink_router.store_contact import OUTAGE_EXPIRY_GRACE_S
from persimmonlink_router.wire_messages import ResponseInfo

LIMITED = ResponseInfo("", True, False, False, False, rate_limit_per_s=1.0)
ODD_TIMES_S = [-MAX_SECONDS, -100.0, MAX_SECONDS]


@pytest.mark.parametrize("steady_s", ODD_TIMES_S)
@pytest.mark.parametrize("age_s", ODD_TIMES_S)
def test_a_heartbeat_with_odd_times_of_the_store_puts_no_removal_off(age_s, steady_s):
    now = boot_time()
    membership = build_membership()
    contact = membership._cluster_view._contact
    contact.record_contact(now)
    contact.record_loss(now, "cut", now)
    receive_heartbeat(
        membership, build_member("odd", 2), store_age_s=age_s, store_steady_s=steady_s
    )
    returned_at = now + 3.0
    contact.record_contact(returned_at)
    assert contact.find_lapse_end(returned_at + OUTAGE_EXPIRY_GRACE_S + 0.1) is None


@pytest.mark.parametrize("age_s", ODD_TIMES_S)
def test_a_decision_with_an_odd_age_is_released_by_a_later_one(age_s):
    now = boot_time()
    holds = Holds()
    hold = HoldNotice(("bad",), "odd", age_s, HOLD_S, 4)
    release = HoldNotice(("bad",), "n", 0.0, HOLD_S, 4, is_released=True)
    holds.add_notice(hold, now)
    holds.add_notice(release, now + 1)
    assert holds.find(["bad"], now + 2) is None


@pytest.mark.parametrize("age_s", ODD_TIMES_S)
def test_an_end_with_an_odd_age_is_not_kept_for_longer_than_others(age_s):
    now = boot_time()
    end = read_report(CrashReport("s", (CAUSE,), age_s, age_s), now)
    assert now + REPORT_LIFETIME_S - end.ended_at >= REPORT_LIFETIME_S
    assert end.sent_at <= now


@pytest.mark.parametrize("age_s", ODD_TIMES_S)
def test_a_response_with_an_odd_age_clears_no_later_suspect(age_s):
    guard = make_guard()
    message = ReportCrashes(PEER, (), {CAUSE: age_s})
    asyncio.run(guard.handle_report(message))
    later = boot_time() + 1.0
    assert not guard._cleared.was_served_since(CAUSE, later)


@pytest.mark.parametrize("wait_s", ODD_TIMES_S)
def test_a_refusal_with_an_odd_wait_pauses_a_server_no_longer_than_others(wait_s):
    async def scenario():
        async def call(*_):
            return Success(PermitReply(is_granted=False, wait_s=wait_s))

        membership = build_membership()
        for number in range(3):
            member = build_member(f"odd-{number}", 2)
            membership.members.apply_direct_update(member, boot_time())
        membership.channel = lambda _: SimpleNamespace(call=call)
        view = membership._cluster_view
        limiter = ServerLimiter(membership, view, RouterMetrics())
        servers = [make_server(f"s{number}") for number in range(20)]
        for server in servers:
            limiter.record_response(server, LIMITED)
            await limiter.try_acquire(server)
        now = boot_time()
        waits = [view.servers.pause_left_s(server, now) for server in servers]
        assert max(waits) <= MAX_WAIT_S

    asyncio.run(scenario())
