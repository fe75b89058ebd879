"""The client of the platform's store, run against the stand-in store."""

from __future__ import annotations

import asyncio

import pytest

from persimmonlink_adapter import store_client
from persimmonlink_adapter.store_client import HttpMetadataStore
from persimmonlink_router.store import (
    HistoryLostError,
    LeaseExpiredError,
    StoreRestoredError,
    StoreUnavailableError,
)
from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn


def run(scenario, page_size: int = 500) -> None:
    async def wrapped():
        stand_in = MetadataStoreStandIn(page_size)
        await stand_in.start()
        try:
            await scenario(stand_in, HttpMetadataStore(stand_in.address))
        finally:
            await stand_in.stop()

    asyncio.run(wrapped())


def test_paging_returns_every_item_once():
    async def scenario(stand_in, store):
        for index in range(7):
            stand_in.put(f"p/{index}", b"\x00\xff")
        stand_in.put("q/other", b"")
        keys, after = [], ""
        while True:
            page = await store.read_page("p/", after)
            keys += [item.key for item in page.items]
            assert all(item.value == b"\x00\xff" for item in page.items)
            if not page.has_more:
                break
            after = keys[-1]
        assert keys == [f"p/{index}" for index in range(7)]

    run(scenario, page_size=3)


def test_a_watch_returns_each_write_and_deletion_once():
    async def scenario(stand_in, store):
        first = await store.read_page("", "")
        stand_in.put("a", b"1")
        stand_in.delete("a")
        page = await store.watch("", first.revision, 1.0)
        assert [(i.key, i.value) for i in page.items] == [("a", b"1"), ("a", None)]
        assert (await store.watch("", page.revision, 0.05)).items == ()

    run(scenario)


def test_lost_history_raises_an_error():
    async def scenario(stand_in, store):
        stand_in.put("a", b"1")
        stand_in.compact_history()
        with pytest.raises(HistoryLostError):
            await store.watch("", 1, 0.1)

    run(scenario)


def test_revoking_a_lease_deletes_its_keys():
    async def scenario(stand_in, store):
        lease = await store.grant_lease(5.0)
        revision = await store.put_with_lease("n/1", b"me", lease)
        assert revision > 1
        await store.renew_lease(lease)
        await store.revoke_lease(lease)
        assert "n/1" not in stand_in.list_keys()
        with pytest.raises(LeaseExpiredError):
            await store.renew_lease(lease)
        with pytest.raises(LeaseExpiredError):
            await store.put_with_lease("n/1", b"me", lease)

    run(scenario)


@pytest.mark.parametrize("status", [429, 503, 500, 403])
def test_every_error_status_raises_store_unavailable(status):
    async def scenario(stand_in, store):
        stand_in.faults.status = status
        with pytest.raises(StoreUnavailableError):
            await store.read_page("", "")

    run(scenario)


def test_a_lost_response_raises_and_the_next_call_works():
    async def scenario(stand_in, store):
        lease = await store.grant_lease(5.0)
        stand_in.faults.drops_responses = True
        with pytest.raises(StoreUnavailableError):
            await store.put_with_lease("n/1", b"me", lease)
        assert "n/1" in stand_in.list_keys()
        stand_in.faults.drops_responses = False
        await store.renew_lease(lease)

    run(scenario)


def test_a_silent_store_times_out(monkeypatch):
    monkeypatch.setattr(
        store_client.HttpMetadataStore._call, "__kwdefaults__", {"timeout_s": 0.1}
    )

    async def scenario(stand_in, store):
        stand_in.faults.never_responds = True
        with pytest.raises(StoreUnavailableError):
            await store.read_page("", "")

    run(scenario)


def test_an_unreachable_store_raises_store_unavailable():
    async def scenario():
        with pytest.raises(StoreUnavailableError):
            await HttpMetadataStore("127.0.0.1:1").read_page("", "")

    asyncio.run(scenario())


def test_revisions_rise_when_the_store_gives_them_out_again():
    async def scenario(stand_in, store):
        stand_in.take_copy()
        stand_in.put("a", b"1")
        before = await store.read_page("", "")
        stand_in.restore_copy()
        stand_in.put("b", b"2")
        after = await store.read_page("", "")
        assert after.revision > before.revision
        assert after.items[0].revision > before.items[0].revision

    run(scenario)


def test_a_watch_from_before_a_restore_raises_although_the_revision_exists_again():
    async def scenario(stand_in, store):
        stand_in.take_copy()
        stand_in.put("a", b"1")
        page = await store.read_page("", "")
        stand_in.restore_copy()
        for _ in range(3):
            stand_in.put("b", b"2")
        with pytest.raises(StoreRestoredError):
            await store.watch("", page.revision, 0.1)
        page = await store.read_page("", "")
        stand_in.put("c", b"3")
        assert [i.key for i in (await store.watch("", page.revision, 0.1)).items] == [
            "c"
        ]

    run(scenario)


def test_a_waiting_watch_ends_when_the_store_is_restored():
    async def scenario(stand_in, store):
        stand_in.put("a", b"1")
        page = await store.read_page("", "")
        stand_in.take_copy()
        watch = asyncio.ensure_future(store.watch("", page.revision, 2.0))
        await asyncio.sleep(0.05)
        stand_in.restore_copy()
        stand_in.put("b", b"2")
        with pytest.raises(StoreRestoredError):
            await watch

    run(scenario)


def test_a_lease_of_before_a_restore_has_expired_although_its_id_exists_again():
    async def scenario(stand_in, store):
        stand_in.take_copy()
        lease = await store.grant_lease(10.0)
        stand_in.restore_copy()
        assert stand_in.grant_lease(10.0) == lease
        with pytest.raises(LeaseExpiredError):
            await store.renew_lease(lease)
        with pytest.raises(LeaseExpiredError):
            await store.put_with_lease("k", b"1", lease)

    run(scenario)
