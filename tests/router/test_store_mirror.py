"""The mirror keeps the newest item of each key, in any order of changes."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_mirror import MAX_TOMBSTONES, StoreMirror


def build_mirror() -> tuple[StoreMirror, list[StoredItem]]:
    changes: list[StoredItem] = []
    return StoreMirror(changes.append), changes


history = st.lists(
    st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.binary(max_size=2))),
    max_size=30,
)


@given(history, st.integers(0, 1000))
def test_every_order_of_changes_ends_in_the_same_state(writes, seed):
    items = [StoredItem(k, v, revision) for revision, (k, v) in enumerate(writes, 1)]
    newest = {item.key: item for item in items}
    shuffled = items * 2
    random.Random(seed).shuffle(shuffled)
    mirror, _ = build_mirror()
    mirror.apply(shuffled)
    for key, item in newest.items():
        assert mirror.find(key) == item


def test_an_older_value_changes_nothing():
    mirror, changes = build_mirror()
    mirror.apply([StoredItem("k", b"new", 5)])
    assert mirror.apply([StoredItem("k", b"old", 4)]) == 0
    assert len(changes) == 1


def test_a_key_missing_from_a_listing_was_deleted():
    mirror, changes = build_mirror()
    mirror.apply([StoredItem("p/a", b"1", 1), StoredItem("q/b", b"1", 1)])
    mirror.apply_listing("p/", [], 9)
    assert changes[-1] == StoredItem("p/a", None, 9)
    assert mirror.find("q/b").value == b"1"


def test_a_key_written_after_a_listing_survives_it():
    mirror, _ = build_mirror()
    mirror.apply([StoredItem("p/a", b"1", 12)])
    mirror.apply_listing("p/", [], 9)
    assert mirror.find("p/a").value == b"1"


def test_list_since_returns_the_changes_after_a_revision():
    mirror, _ = build_mirror()
    mirror.apply([StoredItem("a", b"1", 1), StoredItem("b", b"1", 2)])
    mirror.apply([StoredItem("a", None, 3)])
    assert [i.key for i in mirror.list_since(1)] == ["b", "a"]


def test_deletions_before_a_listing_are_not_known():
    mirror, _ = build_mirror()
    mirror.apply_listing("p/", [StoredItem("p/a", b"1", 1)], 9)
    mirror.advance(9)
    mirror.apply([StoredItem("p/a", None, 12)])
    mirror.advance(12)
    assert not mirror.knows_deletions_since(8)
    assert mirror.knows_deletions_since(9)


def test_deletions_that_were_discarded_are_not_known():
    mirror, _ = build_mirror()
    mirror.advance(1)
    keys = [f"p/{number}" for number in range(MAX_TOMBSTONES + 1)]
    mirror.apply([StoredItem(key, b"1", 2) for key in keys])
    deleted = [StoredItem(key, None, 3 + index) for index, key in enumerate(keys)]
    mirror.apply(deleted)
    mirror.advance(deleted[-1].revision)
    kept = [item.revision for item in mirror.list_since(2)]
    assert not mirror.knows_deletions_since(min(kept) - 2)
    assert mirror.knows_deletions_since(min(kept) - 1)


def test_deletions_before_a_peer_s_copy_are_not_known():
    mirror, _ = build_mirror()
    mirror.apply([StoredItem("p/a", b"1", 5)])
    mirror.advance(9)
    assert not mirror.knows_deletions_since(8)
    assert mirror.knows_deletions_since(9)
