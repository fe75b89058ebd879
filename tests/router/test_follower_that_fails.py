"""A node whose follower of the store fails for a reason that nobody foresees."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import PLAIN_SERVICE, make_rig, run, wait_until
from tests.router.test_unexpected_errors import UnexpectedError

DRAIN_S = 2.0  # The users' bound from the store's acknowledgement.
FAILING_S = 2.0
DRAINED_ID = f"{PLAIN_SERVICE}-0"


async def fail(*_args, **_kwargs):
    raise UnexpectedError


def is_usable(router) -> bool:
    servers = router.cluster_view.servers
    return any(s.server_id == DRAINED_ID for s in servers.list_usable(PLAIN_SERVICE))


@pytest.mark.parametrize("is_removed", [True, False])
def test_a_node_whose_follower_fails_learns_of_departures_from_peers(is_removed):
    async def scenario():
        async with make_rig(routers=2) as rig:
            router = rig.routers[0]
            await wait_until(lambda: len(router.membership.list_serving_ids()) == 2)
            router._store.watch = router._store.read_page = fail
            router._follower.refresh()
            await asyncio.sleep(FAILING_S)
            key = f"servers/{DRAINED_ID}"
            if is_removed:
                rig.store.delete(key)
            else:
                server = rig.server_by_id[DRAINED_ID]
                entry = server.build_entry(PLAIN_SERVICE, state="draining")
                rig.store.put(key, entry)
            await asyncio.sleep(DRAIN_S)
            assert not is_usable(router)

    run(scenario())
