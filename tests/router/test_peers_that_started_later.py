"""A node without the store hears of departures also from a peer that started later."""

from __future__ import annotations

from dataclasses import replace

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    make_rig,
    restart_router,
    run,
    stop_router,
    wait_until,
)

from persimmonlink_router.store import StoreUnavailableError

GONE_ID = f"{PLAIN_SERVICE}-0"
TIMEOUT_S = 4.0


async def turn_away(*_args, **_kwargs):
    raise StoreUnavailableError("turned away")


def is_usable(router) -> bool:
    servers = router.cluster_view.servers
    return any(s.server_id == GONE_ID for s in servers.list_usable(PLAIN_SERVICE))


@pytest.mark.parametrize("has_drain", [True, False])
def test_a_server_that_went_before_all_peers_started_is_not_used(has_drain):
    async def scenario():
        async with make_rig(routers=2) as rig:
            router = rig.routers[0]
            await wait_until(lambda: len(router.membership.list_serving_ids()) == 2)
            router._store.watch = router._store.read_page = turn_away
            router._follower.refresh()
            await wait_until(lambda: not router.cluster_view.is_in_contact)
            await stop_router(rig.routers[1])
            if has_drain:
                server = rig.server_by_id[GONE_ID]
                entry = server.build_entry(PLAIN_SERVICE, state="draining", seq=2)
                rig.store.put(f"servers/{GONE_ID}", entry)
            rig.store.delete(f"servers/{GONE_ID}")
            rig.settings[1] = replace(rig.settings[1], seeds=())
            await restart_router(rig, 1)
            await wait_until(
                lambda: router._mirror.revision >= rig.routers[1]._mirror.revision > 0,
                TIMEOUT_S,
            )
            await wait_until(lambda: not is_usable(router), TIMEOUT_S)

    run(scenario())
