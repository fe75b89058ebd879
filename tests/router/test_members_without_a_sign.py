"""Members that never answer count as gone, however long the store lists them."""

from __future__ import annotations

import asyncio

from tests.router.test_cluster_membership import (
    apply_entry,
    build_member,
    build_membership,
    list_serving_ids,
)

ROUNDS = 200


async def play_round(membership) -> None:
    """Send the heartbeats of one round, as `run_heartbeats` does."""
    membership._expire_stale_state()
    for node_id, address in membership.choose_heartbeat_targets():
        await membership._send_heartbeat(node_id, address)


def test_a_member_that_ended_is_not_listed_again_while_the_store_keeps_its_entry():
    async def scenario():
        membership = build_membership()
        apply_entry(membership, build_member("ended"), 4)
        for _ in range(2):
            await play_round(membership)
        listed = []
        for number in range(ROUNDS):
            await play_round(membership)
            if "ended" in list_serving_ids(membership):
                listed.append(number)
        assert listed == []

    asyncio.run(scenario())
