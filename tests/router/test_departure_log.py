"""The log tells on what a send rested, and how a change of a server came."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    make_rig,
    run,
    wait_until,
)

MAX_DELAY_S = 2.0  # Longer than a watch in calm times takes with its pause.


@pytest.fixture
def lines():
    """Log lines by event, with their fields."""
    lines_by_event: dict[str, list[dict]] = {}

    def keep(message) -> None:
        record = message.record
        lines_by_event.setdefault(record["message"], []).append(dict(record["extra"]))

    handler = logger.add(keep, level="DEBUG")
    yield lines_by_event
    logger.remove(handler)


def test_a_send_names_the_revision_and_age_of_the_server_s_entry(lines):
    async def scenario():
        async with make_rig(servers=1) as rig:
            revision = rig.routers[0]._mirror.find("servers/desk-0").revision
            await asyncio.sleep(0.2)
            assert (await rig.send_request("/look/1", "GET")).status == 200
            basis = lines["request.completed"][-1]["sent_on"][0]
            assert basis["revision"] == revision
            assert basis["entry_age_s"] >= 0.2
            assert 0 <= basis["store_age_s"] < MAX_DELAY_S
            assert 0 <= basis["after_s"] < 0.5

    run(scenario())


def test_a_batch_names_what_its_send_rested_on(lines):
    async def scenario():
        async with make_rig() as rig:
            assert (await rig.send_request("/chain/1", **STAGED)).status == 200
            for batch in lines["stages.batch_completed"]:
                key = f"servers/{batch['server']}"
                revision = rig.routers[0]._mirror.find(key).revision
                assert batch["service"] == STAGE_SERVICE
                assert [b["revision"] for b in batch["sent_on"]] == [revision]

    run(scenario())


def test_a_change_of_a_server_names_its_source_and_longest_delay(lines):
    async def scenario():
        async with make_rig() as rig:
            leaving = rig.server_by_id["desk-0"]
            entry = leaving.build_entry(PLAIN_SERVICE, state="draining", seq=2)
            rig.store.put("servers/desk-0", entry)
            rig.store.delete("servers/desk-1")
            await wait_until(lambda: "server.removed" in lines)
            draining = [line for line in lines["server.updated"] if line["draining"]]
            for line in (*draining, *lines["server.removed"]):
                assert line["source"] == "watch"
                assert 0 < line["max_delay_s"] < MAX_DELAY_S
            assert lines["server.updated"][0]["source"] == "listing"

    run(scenario())
