"""A store that keeps no history is read at the pace of its watches."""

from __future__ import annotations

import asyncio

from tests.router.rig import make_configuration, make_rig, run, wait_until

from persimmonlink_router.store_intervals import WATCH_PAUSE_S

OBSERVED_S = 3.0


def test_a_store_without_history_is_not_listed_without_a_pause():
    async def scenario():
        async with make_rig() as rig:

            async def lose_history(query):
                return 410, {}

            rig.store._watch = lose_history
            await asyncio.sleep(WATCH_PAUSE_S)
            rig.store.called_paths.clear()
            await asyncio.sleep(OBSERVED_S)
            watches = rig.store.called_paths.count("/-/kv-watch")
            assert watches <= OBSERVED_S / WATCH_PAUSE_S + 1
            rig.store.put("op/config", make_configuration(2))
            view = rig.routers[0].cluster_view
            await wait_until(lambda: view.configuration.version == 2, 1.0)

    run(scenario())
