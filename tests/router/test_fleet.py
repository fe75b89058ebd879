"""Who is a member, who coordinates, and over how many nodes bounds are split."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from persimmonlink_peers.message import Sender
from persimmonlink_router.beliefs import Beliefs
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.fleet import MEMBER_PREFIX, STARTING_NODES, Fleet
from persimmonlink_router.peer_messages import RouterHeartbeat, RouterMember
from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_mirror import StoreMirror


class NoEntries:
    prefixes = ()

    def read(self, item):
        return None


def make_member(name: str, seniority: int = 0, **changes) -> RouterMember:
    address = f"127.0.0.1:{1000 + sum(name.encode())}"
    values = {"revision": 1, **changes}
    return RouterMember(name, "1", "a", address, address, seniority=seniority, **values)


def make_fleet(name: str = "me", seniority: int = 9) -> Fleet:
    beliefs = Beliefs(NoEntries(), lambda: None)
    mirror = StoreMirror(lambda item: None)
    return Fleet(make_member(name, seniority), (), beliefs, mirror, dict)


def store_entry(fleet: Fleet, member: RouterMember, revision: int) -> None:
    value = msgspec.json.encode(member)
    key = MEMBER_PREFIX + member.node_id
    fleet.take_store_item(StoredItem(key, value, revision))


def hear(fleet: Fleet, member: RouterMember, **changes) -> None:
    message = RouterHeartbeat(Sender(member.node_id, "1"), member, 5, True, **changes)
    asyncio.run(fleet.handle_heartbeat(message))


def entries(fleet: Fleet) -> list[str]:
    return [member.node_id for member in fleet.list_entries()]


def test_the_longest_member_coordinates():
    fleet = make_fleet()
    hear(fleet, make_member("old", 3))
    store_entry(fleet, make_member("young"), 30)
    assert fleet.choose_coordinator(set()) == "old"
    assert fleet.choose_coordinator({"old"}) == "me"


def test_a_member_with_few_cores_does_not_coordinate():
    fleet = make_fleet()
    hear(fleet, make_member("old-and-small", 3, cores=0.3))
    assert fleet.choose_coordinator(set()) == "me"


def test_nodes_that_learn_of_a_member_in_different_ways_choose_alike():
    by_store, by_peer = make_fleet("b", 20), make_fleet("c", 30)
    store_entry(by_store, make_member("first"), 4)
    hear(by_peer, make_member("first", 4))
    assert by_store.choose_coordinator(set()) == "first"
    assert by_peer.choose_coordinator(set()) == "first"


def test_a_leaving_or_unconfigured_member_takes_no_callers():
    fleet = make_fleet()
    hear(fleet, make_member("leaving", 1, leaving=True))
    hear(fleet, make_member("starting", 2, revision=0))
    assert entries(fleet) == ["me"]


def test_the_end_of_a_lease_does_not_outweigh_a_heartbeat():
    fleet = make_fleet()
    hear(fleet, make_member("cut-off", 1))
    fleet.take_store_item(StoredItem(MEMBER_PREFIX + "cut-off", None, 9))
    assert "cut-off" in entries(fleet)


def test_the_end_of_a_lease_ends_a_member_that_is_not_heard():
    fleet = make_fleet()
    store_entry(fleet, make_member("far"), 4)
    assert "far" in entries(fleet)
    fleet.take_store_item(StoredItem(MEMBER_PREFIX + "far", None, 9))
    assert "far" not in entries(fleet)


def test_a_node_that_starts_again_replaces_its_former_self():
    fleet = make_fleet()
    hear(fleet, make_member("node-1", 3))
    again = make_member("node-2", 12)
    former = fleet.members.find("node-1")
    hear(
        fleet,
        RouterMember(
            "node-2", "1", "a", again.http_address, former.peer_address, revision=1
        ),
    )
    assert "node-1" not in entries(fleet)


def test_a_member_that_peers_find_silent_is_left_out_for_a_while():
    fleet = make_fleet()
    store_entry(fleet, make_member("far"), 4)
    hear(fleet, make_member("peer", 2), silent_ids=("far",))
    assert "far" not in entries(fleet)


def test_bounds_are_split_over_the_most_nodes_seen_lately(monkeypatch):
    fleet = make_fleet()
    assert fleet.count_nodes() == STARTING_NODES
    for index in range(STARTING_NODES + 3):
        store_entry(fleet, make_member(f"n{index}"), 10 + index)
    assert fleet.count_nodes() == STARTING_NODES + 4
    for index in range(STARTING_NODES + 3):
        item = StoredItem(f"{MEMBER_PREFIX}n{index}", None, 50 + index)
        fleet.take_store_item(item)
    assert fleet.count_nodes() == STARTING_NODES + 4
    later = boot_time() + 60
    monkeypatch.setattr("persimmonlink_router.fleet.boot_time", lambda: later)
    assert fleet.count_nodes() == 1


@pytest.mark.parametrize("value", [b"\xff", b"{}", b"[1]"])
def test_unreadable_entries_are_passed_over(value):
    fleet = make_fleet()
    fleet.take_store_item(StoredItem(MEMBER_PREFIX + "odd", value, 4))
    assert entries(fleet) == ["me"]


def test_a_nodes_former_self_is_no_member():
    fleet = make_fleet()
    former = RouterMember(
        "me-before",
        "1",
        "a",
        fleet.own.http_address,
        fleet.own.peer_address,
        revision=1,
    )
    store_entry(fleet, former, 2)
    assert entries(fleet) == ["me"]
    assert fleet.choose_coordinator(set()) == "me"


def test_a_registered_member_that_was_heard_once_is_not_taken_for_dead(monkeypatch):
    fleet = make_fleet()
    far = make_member("far", 4)
    store_entry(fleet, far, 4)
    hear(fleet, far)
    later = boot_time() + 10
    monkeypatch.setattr("persimmonlink_router.fleet.boot_time", lambda: later)
    assert fleet.choose_coordinator(set()) == "far"
    assert fleet.is_answering("far")


def test_a_registered_member_that_does_not_answer_is_left_out():
    fleet = make_fleet()
    store_entry(fleet, make_member("far"), 4)
    fleet._note_miss("far")
    fleet._note_miss("far")
    assert "far" not in entries(fleet)


def test_a_member_that_spoke_before_it_registered_is_known_by_its_entry():
    fleet = make_fleet(seniority=9)
    hear(fleet, make_member("first", revision=0))
    store_entry(fleet, make_member("first"), 4)
    assert "first" in entries(fleet)
    assert fleet.choose_coordinator(set()) == "first"


def test_a_member_that_registered_before_it_spoke_keeps_its_rank():
    fleet = make_fleet(seniority=9)
    store_entry(fleet, make_member("first"), 4)
    hear(fleet, make_member("first", revision=0))
    assert fleet.choose_coordinator(set()) == "first"


def test_a_registered_member_that_is_no_neighbour_is_not_forgotten(monkeypatch):
    fleet = make_fleet()
    store_entry(fleet, make_member("far"), 4)
    later = boot_time() + 1000.0
    monkeypatch.setattr("persimmonlink_router.fleet.boot_time", lambda: later)
    fleet._forget()
    assert "far" in entries(fleet)


@pytest.mark.parametrize("order", [("again", "former"), ("former", "again")])
def test_a_node_that_started_again_is_known_in_whichever_order_entries_are_read(order):
    fleet = make_fleet(seniority=90)
    revision_by_name = {"former": 4, "again": 12}
    for name in order:
        member = replace(make_member(name), peer_address="127.0.0.1:7")
        store_entry(fleet, member, revision_by_name[name])
    assert entries(fleet) == ["again", "me"]
    assert fleet.choose_coordinator(set()) == "again"
    fleet.take_store_item(StoredItem(MEMBER_PREFIX + "former", None, 13))
    assert entries(fleet) == ["again", "me"]
