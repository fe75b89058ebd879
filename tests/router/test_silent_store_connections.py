"""Departures reach nodes whose connections to the store went silent for good."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import make_rig, run, wait_until

from persimmonlink_router.boot_clock import boot_time

CONTACT_S = 3.0  # Time after the connections went silent from which nodes are bound.
DRAIN_S = 2.0  # Time from a departure until no send may begin.
WRITE_INTERVAL_S = 0.07  # As 17 servers write each 1.2 s.
CALM_S = 4.0  # Time in which nodes follow the store before.
LEAVING = "desk-0"


async def write_entries(rig) -> None:
    """Write the entries of the servers that stay in turn."""
    seq = 1
    while True:
        seq += 1
        for server_id, server in rig.server_by_id.items():
            if server_id == LEAVING:
                continue
            service = server_id.partition("-")[0]
            rig.store.put(f"servers/{server_id}", server.build_entry(service, seq=seq))
            await asyncio.sleep(WRITE_INTERVAL_S)


def uses_server(router) -> bool:
    server = router.cluster_view.servers.server_by_id.get(LEAVING)
    return server is not None and router.cluster_view.servers.is_usable(server)


@pytest.mark.parametrize(
    ("after_s", "says_draining"), [(0.5, True), (0.5, False), (3.0, False)]
)
@pytest.mark.parametrize("routers", [1, 3])
def test_a_departure_is_known_in_time_after_connections_went_silent(
    routers, after_s, says_draining
):
    async def scenario():
        async with make_rig(routers=routers) as rig:
            writes = asyncio.create_task(write_entries(rig))
            await asyncio.sleep(CALM_S)
            silent_at = boot_time()
            rig.store.silence_connections()
            await asyncio.sleep(after_s)
            if says_draining:
                entry = rig.server_by_id[LEAVING].build_entry(
                    "desk", seq=2, state="draining"
                )
                rig.store.put(f"servers/{LEAVING}", entry)
            else:
                rig.store.delete(f"servers/{LEAVING}")
            bound_at = max(silent_at + CONTACT_S, boot_time() + DRAIN_S)
            await wait_until(
                lambda: not any(uses_server(router) for router in rig.routers),
                bound_at - boot_time(),
            )
            writes.cancel()

    run(scenario())
