"""Registration of a node in the store, beside odd answers and a stop."""

from __future__ import annotations

import asyncio
import random

from tests.router.rig import make_rig, run, wait_until
from tests.router.test_cluster_membership import build_member

from persimmonlink_router.cluster_membership import MEMBER_PREFIX
from persimmonlink_router.member_registration import MemberRegistration
from persimmonlink_router.store import LeaseExpiredError, StoreUnavailableError
from persimmonlink_router.store_backoff import StoreBackoff

LEASE = 5
PLAY_S = 1.0
# A node calls the store twice for its first try, and in each interval after that.
MAX_CALLS = 6


class Store:
    """A store whose leases end at once, or whose writes wait."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.keys: set[str] = set()
        self.has_leases = True
        self.failing_revokes = 0
        self.may_write = asyncio.Event()

    async def grant_lease(self, ttl_s: float) -> int:
        await asyncio.sleep(0)
        self.calls.append("grant")
        return LEASE

    async def put_with_lease(self, key: str, value: bytes, lease: int) -> int:
        self.calls.append("put")
        if not self.has_leases:
            raise LeaseExpiredError
        await self.may_write.wait()
        self.keys.add(key)
        return 1

    async def renew_lease(self, lease: int) -> None:
        self.calls.append("renew")

    async def revoke_lease(self, lease: int) -> None:
        self.calls.append("revoke")
        if self.failing_revokes:
            self.failing_revokes -= 1
            raise StoreUnavailableError("turned away")
        self.keys.clear()


def build_registration(store: Store, rng) -> MemberRegistration:
    return MemberRegistration(
        store,
        lambda: build_member("own"),
        lambda revision: None,
        lambda: True,
        StoreBackoff(lambda: 2.0, rng),
    )


def test_a_store_whose_leases_end_at_once_gets_no_more_calls_than_one_that_fails():
    async def scenario():
        store = Store()
        store.has_leases = False
        registration = build_registration(store, random.Random(1))
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(PLAY_S)
        task.cancel()
        assert len(store.calls) <= MAX_CALLS

    asyncio.run(scenario())


def test_a_node_that_stops_while_its_registration_is_written_removes_it():
    async def scenario():
        store = Store()
        registration = build_registration(store, random.Random(1))
        task = asyncio.create_task(registration.run())
        while "put" not in store.calls:
            await asyncio.sleep(0)
        stop = asyncio.create_task(registration.deregister())
        await asyncio.sleep(0.1)
        store.may_write.set()
        await stop
        await asyncio.sleep(PLAY_S)
        task.cancel()
        assert store.keys == set()

    asyncio.run(scenario())


def test_a_node_that_stops_removes_its_registration_though_a_call_fails():
    async def scenario():
        store = Store()
        store.may_write.set()
        store.failing_revokes = 1
        registration = build_registration(store, random.Random(1))
        task = asyncio.create_task(registration.run())
        while not store.keys:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        await registration.deregister()
        task.cancel()
        assert store.keys == set()

    asyncio.run(scenario())


def test_a_node_that_stops_just_as_it_registers_is_not_listed_by_the_store():
    async def scenario():
        async with make_rig() as rig:
            router = rig.routers[0]
            await wait_until(lambda: router._registration._lease)
            rig.store.faults.delay_s = 0.3
            rig.store.expire_all_leases()
            while router._registration._lease:
                await asyncio.sleep(0.01)
            router.membership.mark_leaving()
            await router._registration.deregister()
            await asyncio.sleep(PLAY_S)
            listed = [k for k in rig.store.list_keys() if k.startswith(MEMBER_PREFIX)]
            assert listed == []

    run(scenario())
