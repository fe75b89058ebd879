"""Membership, the choice of the coordinator, and the count of nodes for limits."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from persimmonlink_peers.message import Sender
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.cluster_membership import (
    MEMBER_PREFIX,
    ClusterMembership,
)
from persimmonlink_router.cluster_view import ClusterView
from persimmonlink_router.node_counts import MIN_NODES_AT_STARTUP
from persimmonlink_router.peer_messages import RouterHeartbeat, RouterMember
from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_mirror import StoreMirror


class EmptyReader:
    prefixes = ()

    def read(self, item):
        return None


def build_member(name: str, seniority: int = 0, **changes) -> RouterMember:
    address = f"127.0.0.1:{1000 + sum(name.encode())}"
    values = {"revision": 1, **changes}
    return RouterMember(name, "1", "a", address, address, seniority=seniority, **values)


def build_membership(name: str = "me", seniority: int = 9) -> ClusterMembership:
    cluster_view = ClusterView(EmptyReader(), lambda: None)
    mirror = StoreMirror(lambda item: None)
    return ClusterMembership(
        build_member(name, seniority), (), cluster_view, mirror, dict
    )


def apply_entry(
    membership: ClusterMembership, member: RouterMember, revision: int
) -> None:
    value = msgspec.json.encode(member)
    key = MEMBER_PREFIX + member.node_id
    membership.apply_store_item(StoredItem(key, value, revision))


def receive_heartbeat(
    membership: ClusterMembership, member: RouterMember, **changes
) -> None:
    message = RouterHeartbeat(Sender(member.node_id, "1"), member, 5, True, **changes)
    asyncio.run(membership.handle_heartbeat(message))


def list_serving_ids(membership: ClusterMembership) -> list[str]:
    return [member.node_id for member in membership.list_serving_members()]


def test_the_member_with_the_most_seniority_coordinates():
    membership = build_membership()
    receive_heartbeat(membership, build_member("old", 3))
    apply_entry(membership, build_member("young"), 30)
    assert membership.choose_coordinator(set()) == "old"
    assert membership.choose_coordinator({"old"}) == "me"


def test_a_member_with_few_cores_does_not_coordinate():
    membership = build_membership()
    receive_heartbeat(membership, build_member("old-and-small", 3, cores=0.3))
    assert membership.choose_coordinator(set()) == "me"


def test_nodes_that_discover_a_member_differently_choose_the_same_coordinator():
    by_store, by_peer = build_membership("b", 20), build_membership("c", 30)
    apply_entry(by_store, build_member("first"), 4)
    receive_heartbeat(by_peer, build_member("first", 4))
    assert by_store.choose_coordinator(set()) == "first"
    assert by_peer.choose_coordinator(set()) == "first"


def test_a_leaving_or_unconfigured_member_is_not_listed_as_serving():
    membership = build_membership()
    receive_heartbeat(membership, build_member("leaving", 1, leaving=True))
    receive_heartbeat(membership, build_member("starting", 2, revision=0))
    assert list_serving_ids(membership) == ["me"]


def test_a_lease_expiry_does_not_remove_a_member_with_recent_heartbeats():
    membership = build_membership()
    receive_heartbeat(membership, build_member("cut-off", 1))
    membership.apply_store_item(StoredItem(MEMBER_PREFIX + "cut-off", None, 9))
    assert "cut-off" in list_serving_ids(membership)


def test_a_lease_expiry_removes_a_member_without_heartbeats():
    membership = build_membership()
    apply_entry(membership, build_member("far"), 4)
    assert "far" in list_serving_ids(membership)
    membership.apply_store_item(StoredItem(MEMBER_PREFIX + "far", None, 9))
    assert "far" not in list_serving_ids(membership)


def test_a_restarted_node_replaces_its_previous_incarnation():
    membership = build_membership()
    receive_heartbeat(membership, build_member("node-1", 3))
    restarted = build_member("node-2", 12)
    previous = membership.members.find("node-1")
    receive_heartbeat(
        membership,
        RouterMember(
            "node-2",
            "1",
            "a",
            restarted.http_address,
            previous.peer_address,
            revision=1,
        ),
    )
    assert "node-1" not in list_serving_ids(membership)


def test_a_member_reported_silent_by_a_peer_is_excluded_for_a_while():
    membership = build_membership()
    apply_entry(membership, build_member("far"), 4)
    receive_heartbeat(membership, build_member("peer", 2), silent_ids=("far",))
    assert "far" not in list_serving_ids(membership)


def test_limits_are_split_over_the_recent_peak_node_count(monkeypatch):
    membership = build_membership()
    assert membership.peak_node_count() == MIN_NODES_AT_STARTUP
    for index in range(MIN_NODES_AT_STARTUP + 3):
        apply_entry(membership, build_member(f"n{index}"), 10 + index)
    assert membership.peak_node_count() == MIN_NODES_AT_STARTUP + 4
    for index in range(MIN_NODES_AT_STARTUP + 3):
        item = StoredItem(f"{MEMBER_PREFIX}n{index}", None, 50 + index)
        membership.apply_store_item(item)
    assert membership.peak_node_count() == MIN_NODES_AT_STARTUP + 4
    later = boot_time() + 60
    monkeypatch.setattr(
        "persimmonlink_router.cluster_membership.boot_time", lambda: later
    )
    assert membership.peak_node_count() == 1


@pytest.mark.parametrize("value", [b"\xff", b"{}", b"[1]"])
def test_invalid_entries_are_ignored(value):
    membership = build_membership()
    membership.apply_store_item(StoredItem(MEMBER_PREFIX + "odd", value, 4))
    assert list_serving_ids(membership) == ["me"]


def test_a_nodes_own_previous_incarnation_is_not_a_member():
    membership = build_membership()
    previous = RouterMember(
        "me-before",
        "1",
        "a",
        membership.own_member.http_address,
        membership.own_member.peer_address,
        revision=1,
    )
    apply_entry(membership, previous, 2)
    assert list_serving_ids(membership) == ["me"]
    assert membership.choose_coordinator(set()) == "me"


def test_a_registered_member_without_recent_heartbeats_stays_alive(monkeypatch):
    membership = build_membership()
    far = build_member("far", 4)
    apply_entry(membership, far, 4)
    receive_heartbeat(membership, far)
    later = boot_time() + 10
    monkeypatch.setattr(
        "persimmonlink_router.cluster_membership.boot_time", lambda: later
    )
    assert membership.choose_coordinator(set()) == "far"
    assert membership.is_node_alive("far")


def test_a_registered_member_that_misses_heartbeats_is_excluded():
    membership = build_membership()
    apply_entry(membership, build_member("far"), 4)
    membership._record_missed_heartbeat("far")
    membership._record_missed_heartbeat("far")
    assert "far" not in list_serving_ids(membership)


def test_an_entry_completes_a_heartbeat_sent_before_registration():
    membership = build_membership(seniority=9)
    receive_heartbeat(membership, build_member("first", revision=0))
    apply_entry(membership, build_member("first"), 4)
    assert "first" in list_serving_ids(membership)
    assert membership.choose_coordinator(set()) == "first"


def test_a_heartbeat_sent_before_registration_keeps_the_registered_seniority():
    membership = build_membership(seniority=9)
    apply_entry(membership, build_member("first"), 4)
    receive_heartbeat(membership, build_member("first", revision=0))
    assert membership.choose_coordinator(set()) == "first"


def test_a_registered_member_that_is_no_neighbour_does_not_expire(monkeypatch):
    membership = build_membership()
    apply_entry(membership, build_member("far"), 4)
    later = boot_time() + 1000.0
    monkeypatch.setattr(
        "persimmonlink_router.cluster_membership.boot_time", lambda: later
    )
    membership._expire_stale_state()
    assert "far" in list_serving_ids(membership)


@pytest.mark.parametrize("order", [("again", "former"), ("former", "again")])
def test_a_restarted_node_is_known_in_any_order_of_its_entries(order):
    membership = build_membership(seniority=90)
    revision_by_name = {"former": 4, "again": 12}
    for name in order:
        member = replace(build_member(name), peer_address="127.0.0.1:7")
        apply_entry(membership, member, revision_by_name[name])
    assert list_serving_ids(membership) == ["again", "me"]
    assert membership.choose_coordinator(set()) == "again"
    membership.apply_store_item(StoredItem(MEMBER_PREFIX + "former", None, 13))
    assert list_serving_ids(membership) == ["again", "me"]


def test_a_late_entry_of_an_ended_run_hides_its_successor_no_longer_than_it_lasts():
    membership = build_membership()
    ended, successor = build_member("run-1"), build_member("run-2")
    successor = replace(successor, peer_address=ended.peer_address)
    apply_entry(membership, successor, 12)
    apply_entry(membership, ended, 20)
    membership.apply_store_item(StoredItem(MEMBER_PREFIX + "run-1", None, 30))
    assert list_serving_ids(membership) == ["me", "run-2"]


def test_a_late_heartbeat_of_an_ended_run_does_not_hide_its_successor():
    membership = build_membership()
    ended, successor = build_member("run-1", 3), build_member("run-2")
    successor = replace(successor, peer_address=ended.peer_address)
    apply_entry(membership, successor, 12)
    receive_heartbeat(membership, ended)
    assert "run-2" in list_serving_ids(membership)
