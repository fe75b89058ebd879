"""Registration of a node in the store, beside odd answers and a stop."""

from __future__ import annotations

import asyncio
import random

from tests.router.test_cluster_membership import build_member

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
