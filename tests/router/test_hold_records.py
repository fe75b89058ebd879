"""The store keeps no decision that was released or is over."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

import msgspec
from tests.router.test_crash_guard import make_guard

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.hold_records import HoldRecords
from persimmonlink_router.holds import HOLD_S, Hold, build_notice
from persimmonlink_router.peer_messages import HoldNotice, SharedFacts
from persimmonlink_router.store import StoreUnavailableError

WRITE_S = 0.05  # Enough for a write to the stub.
CAUSES = frozenset(["request:1"])


@dataclass
class StoreStub:
    """Keeps values and the times of their leases, or can't be reached."""

    is_away: bool = False
    value_by_key: dict[str, bytes] = field(default_factory=dict)
    leases_s: list[float] = field(default_factory=list)

    async def grant_lease(self, ttl_s: float) -> int:
        if self.is_away:
            raise StoreUnavailableError("away")
        self.leases_s.append(ttl_s)
        return len(self.leases_s)

    async def put_with_lease(self, key: str, value: bytes, _lease: int) -> None:
        self.value_by_key[key] = value

    def read_only_notice(self) -> HoldNotice:
        (value,) = self.value_by_key.values()
        return msgspec.json.decode(value, type=HoldNotice)


def make_hold(age_s: float = 0.0) -> Hold:
    decided_at = boot_time() - age_s
    return Hold(CAUSES, "own", decided_at, decided_at + HOLD_S, 3)


def test_a_late_write_keeps_what_is_left_of_a_decision_and_none_that_is_over():
    async def scenario():
        store = StoreStub(is_away=True)
        records = HoldRecords(store)
        records.save(make_hold(age_s=HOLD_S - 100.0))
        await asyncio.sleep(WRITE_S)
        store.is_away = False
        records.flush()
        await asyncio.sleep(WRITE_S)
        assert store.leases_s[0] <= 100.0
        assert store.read_only_notice().left_s <= 100.0
        store.value_by_key.clear()
        records.save(make_hold(age_s=HOLD_S + 1.0))
        await asyncio.sleep(WRITE_S)
        assert not store.value_by_key

    asyncio.run(scenario())


def test_a_decision_that_a_peer_released_meanwhile_is_written_as_released():
    async def scenario():
        store = StoreStub(is_away=True)
        guard = make_guard(HoldRecords(store))
        hold = make_hold(age_s=5.0)
        guard._decide(hold, ())
        await asyncio.sleep(WRITE_S)
        release = replace(build_notice(hold, boot_time()), age_s=1.0, is_released=True)
        guard.apply_facts(SharedFacts((release,)), "n1")
        store.is_away = False
        guard.sweep()
        await asyncio.sleep(WRITE_S)
        assert store.read_only_notice().is_released

    asyncio.run(scenario())


def test_a_decision_that_was_written_is_written_again_once_a_peer_releases_it():
    async def scenario():
        store = StoreStub()
        guard = make_guard(HoldRecords(store))
        hold = make_hold(age_s=5.0)
        guard._decide(hold, ())
        await asyncio.sleep(WRITE_S)
        release = replace(build_notice(hold, boot_time()), age_s=1.0, is_released=True)
        guard.apply_facts(SharedFacts((release,)), "n1")
        await asyncio.sleep(WRITE_S)
        assert store.read_only_notice().is_released

    asyncio.run(scenario())
