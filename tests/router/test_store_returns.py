"""A node that finds the store late knows from its peers when it was back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from tests.router.rig import make_rig, run, wait_until

from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.cluster_view import ClusterView
from persimmonlink_router.http_client import ConnectError
from persimmonlink_router.peer_messages import HoldNotice, SharedFacts
from persimmonlink_router.store_contact import OUTAGE_EXPIRY_GRACE_S, StoreContact
from persimmonlink_router.store_returns import StoreReturns
from persimmonlink_stand_ins.metadata_store import StoreFaults

CONTACT_S = 3.0  # Time after an outage from which a node must act on departures.
DRAIN_S = 2.0  # Time from a departure until no send may begin.
BACK_S = 1.8  # Time after an outage in which running servers are written again.
HEARD_S = 1.0  # Time in which a heartbeat of a peer arrives.
FREQUENT_WRITES = 60
WRITE_INTERVAL_S = 0.07
LATER_S = 0.25
KEPT_S = 1.5  # Time for which a server is surely kept whose entry may have expired.
LATE_INTERVAL_S = 3.4  # Interval of the node that finds the store late.


def has_server(router) -> bool:
    return "desk-0" in router.cluster_view.servers.server_by_id


async def play_outage(rig, late) -> float:
    """Let the store fail; return when it is back, just after a call of a late node."""
    late._follower._backoff._get_calm_interval_s = lambda: LATE_INTERVAL_S
    rig.store.faults = StoreFaults(status=503)
    await wait_until(lambda: late._follower._backoff._failures >= 2)
    failures = late._follower._backoff._failures
    await wait_until(lambda: late._follower._backoff._failures > failures)
    rig.store.faults = StoreFaults()
    return boot_time()


def write_server(rig, seq: int) -> None:
    entry = rig.server_by_id["desk-0"].build_entry("desk", seq=seq)
    rig.store.put("servers/desk-0", entry)


def test_a_departure_is_final_in_time_at_a_node_that_finds_the_store_late():
    async def scenario():
        async with make_rig(routers=3) as rig:
            late = rig.routers[2]
            back_at = await play_outage(rig, late)
            await asyncio.sleep(BACK_S)
            write_server(rig, 2)
            await asyncio.sleep(back_at + CONTACT_S - boot_time())
            rig.store.delete("servers/desk-0")
            await asyncio.sleep(DRAIN_S)
            assert not any(has_server(router) for router in rig.routers)

    run(scenario())


def test_a_server_that_is_written_again_late_is_kept_by_all_nodes():
    async def scenario():
        async with make_rig(routers=3) as rig:
            late = rig.routers[2]
            write_server(rig, 1)
            await wait_until(lambda: all(has_server(router) for router in rig.routers))
            rig.store.faults = StoreFaults(status=503)
            await asyncio.sleep(0.1)
            rig.store.delete("servers/desk-0")
            back_at = await play_outage(rig, late)
            while boot_time() < back_at + BACK_S:
                assert all(has_server(router) for router in rig.routers)
                await asyncio.sleep(0.01)
            write_server(rig, 2)
            while boot_time() < back_at + BACK_S + LATE_INTERVAL_S:
                assert all(has_server(router) for router in rig.routers)
                await asyncio.sleep(0.01)

    run(scenario())


def test_a_node_that_alone_lost_the_store_puts_no_removal_off_when_it_is_back():
    async def scenario():
        async with make_rig(routers=2) as rig:
            late = rig.routers[1]
            await asyncio.sleep(OUTAGE_EXPIRY_GRACE_S)
            # As in a large cluster, where a node seldom asks its peers.
            late.membership.mirror_exchange.pull_if_behind = ignore
            pool = late._adapters.store._pool
            exchange, pool.exchange = pool.exchange, refuse
            await wait_until(lambda: not late.cluster_view.is_in_contact)
            await asyncio.sleep(CONTACT_S)
            rig.store.delete("servers/desk-0")
            pool.exchange = exchange
            await wait_until(lambda: late.cluster_view.is_in_contact)
            await wait_until(lambda: not has_server(late), HEARD_S)

    run(scenario())


async def ignore(*_) -> None:
    """Do nothing in place of a call."""


async def refuse(*_) -> None:
    """Refuse a call to the store."""
    raise ConnectError("refused by the test")


def make_lost_contact(failed_at: float) -> StoreContact:
    """Return a contact that was lost at 10 and whose last call failed later."""
    contact = StoreContact()
    contact.record_contact(9.0)
    contact.record_loss(10.0, "", 10.0)
    contact.record_loss(failed_at, "", failed_at)
    return contact


def test_the_grace_counts_from_when_a_peer_had_the_store_again():
    contact = make_lost_contact(13.0)
    assert contact.record_return(13.5)
    assert contact.find_lapse_end(14.0) == 13.5 + OUTAGE_EXPIRY_GRACE_S
    assert not contact.record_contact(15.9)
    assert contact.find_lapse_end(15.0) == 13.5 + OUTAGE_EXPIRY_GRACE_S
    assert contact.find_lapse_end(15.9) is None
    assert contact.find_return() == 13.5


def test_a_return_before_the_last_failure_does_not_shorten_the_grace():
    contact = make_lost_contact(13.0)
    assert not contact.record_return(12.9)
    assert contact.record_return(13.5)
    contact.record_loss(16.0, "", 16.0)
    assert contact.record_contact(19.0)
    assert contact.find_lapse_end(19.0) == 19.0 + OUTAGE_EXPIRY_GRACE_S


def test_a_peer_that_tells_of_the_return_later_shortens_the_grace():
    contact = make_lost_contact(13.0)
    assert contact.record_contact(15.9)
    assert contact.record_return(13.5)
    assert not contact.record_return(14.0)
    assert contact.find_lapse_end(15.9) is None


def test_a_node_that_did_not_lose_the_store_defers_nothing_for_a_peer_that_did():
    contact = StoreContact()
    contact.record_contact(9.0)
    assert not contact.record_return(9.5)
    assert contact.find_lapse_end(10.0) is None
    contact.record_loss(10.0, "", 10.0)
    contact.record_return(10.2)
    assert not contact.record_contact(10.5)
    assert contact.find_lapse_end(10.6) is None


def test_no_return_shortens_the_grace_after_a_copy_was_restored():
    contact = make_lost_contact(13.0)
    contact.record_contact(15.0)
    contact.record_restore(15.0)
    assert not contact.record_return(13.5)
    assert contact.find_lapse_end(15.0) == 15.0 + OUTAGE_EXPIRY_GRACE_S


@dataclass(frozen=True)
class OlderFacts:
    """Facts as builds without `store_returned_age_s` write and read them."""

    holds: tuple[HoldNotice, ...] = ()


def test_facts_of_and_to_builds_without_the_new_field_are_read():
    codec = MessagePackCodec()
    read = codec.decode(codec.encode(OlderFacts(), OlderFacts), SharedFacts)
    assert read.store_returned_age_s is None
    newer = SharedFacts(store_returned_age_s=1.5)
    assert codec.decode(codec.encode(newer, SharedFacts), OlderFacts) == OlderFacts()


@pytest.mark.parametrize("age_s", [-1.0, float("nan"), float("inf"), 1e9])
def test_an_odd_age_from_a_peer_changes_nothing(age_s):
    view = ClusterView(None, lambda: None)
    now = boot_time()
    view.record_contact(now - 9.0)
    view.record_contact_loss(now - 8.0, "")
    returns = StoreReturns(view, lambda: None)
    assert not returns.apply_facts(SharedFacts(store_returned_age_s=age_s), "n1")
    assert view.find_store_return() is None


def test_a_peer_that_was_served_all_along_ends_the_grace():
    contact = make_lost_contact(13.0)
    contact.record_contact(15.9)
    assert contact.record_served_peer(13.2, 1.0)
    assert contact.find_lapse_end(15.9) is None


def test_a_peer_that_was_served_only_before_the_last_failure_tells_nothing():
    contact = make_lost_contact(13.0)
    assert not contact.record_served_peer(12.9, 1.0)
    contact.record_contact(15.9)
    assert not contact.record_served_peer(12.9, 1.0)
    assert contact.find_lapse_end(16.0) == 15.9 + OUTAGE_EXPIRY_GRACE_S


def test_a_peer_that_was_served_only_before_a_watch_was_given_up_tells_nothing():
    contact = StoreContact()
    contact.record_contact(1.0)
    contact.record_doubt(100.0, "a watch was given up")
    assert not contact.record_served_peer(99.9, 1.0)
    assert not contact.record_return(99.9)
    assert contact.record_contact(102.0)
    assert contact.find_lapse_end(102.0) == 102.0 + OUTAGE_EXPIRY_GRACE_S


@pytest.mark.parametrize("stall_s", [2.3, 2.6])
def test_a_server_whose_entry_ends_while_the_store_stands_still_is_kept(stall_s):
    async def scenario():
        async with make_rig(routers=3) as rig:
            runs = asyncio.Event()
            runs.set()
            rig.store._hold_if_silent = lambda _: runs.wait()
            write_server(rig, 1)
            for number in range(FREQUENT_WRITES):
                rig.store.put("servers/other", {"seq": number})
                await asyncio.sleep(WRITE_INTERVAL_S)
            # The last node gives its watch up later than the others.
            rig.routers[2]._follower._patience.record_response(LATER_S)
            runs.clear()
            await asyncio.sleep(LATER_S)
            rig.store.delete("servers/desk-0")
            await asyncio.sleep(stall_s - LATER_S)
            runs.set()
            kept_until = boot_time() + KEPT_S
            while boot_time() < kept_until:
                assert all(has_server(router) for router in rig.routers)
                await asyncio.sleep(0.01)

    run(scenario())
