"""Items that can't be read, written anew all the time, hold up no other change.

Guards against nodes that don't follow the store any more and serve by old settings.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    add_server,
    make_configuration,
    make_rig,
    make_route,
    run,
    wait_until,
)

from persimmonlink_router.cluster_membership import MEMBER_PREFIX
from persimmonlink_router.hold_records import HOLD_PREFIX
from persimmonlink_router.stream_version_saver import SERVICE_PREFIX, STREAM_PREFIX

NODES = 2
WRITE_INTERVAL_S = 0.3
LEAD_S = 5.0  # Time in which a loop that fails again and again pauses ever longer.
CONFIG_S = 2.0  # Time in which a change must be in force.
NEW_SERVICE = "next"
UNREADABLE = {
    "objects": b'{"labels":' * 3000,
    "lists": b"[" * 100_000,
    "number": b'{"version":1' + b"0" * 5000 + b"}",
    "bytes": b"\xff\xfe\x00",
}
KEYS = (
    "servers/foreign",
    "op/evacuate/b",
    MEMBER_PREFIX + "foreign",
    HOLD_PREFIX + "foreign",
    STREAM_PREFIX + "foreign",
    SERVICE_PREFIX + "foreign",
)


async def write_anew(rig, keys, data: bytes) -> None:
    """Write values that differ by their last bytes, until cancelled."""
    for number in itertools.count():
        for key in keys:
            rig.store.put(key, data + str(number).encode())
        await asyncio.sleep(WRITE_INTERVAL_S)


@pytest.mark.parametrize("name", list(UNREADABLE))
@pytest.mark.parametrize("keys", [("servers/foreign",), KEYS], ids=["server", "all"])
def test_a_new_configuration_is_in_force_in_time(keys, name):
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            await add_server(rig, NEW_SERVICE, f"{NEW_SERVICE}-0")
            writing = asyncio.ensure_future(write_anew(rig, keys, UNREADABLE[name]))
            await asyncio.sleep(LEAD_S)
            configuration = make_configuration(2)
            configuration["routes"][0] = make_route("/book/", "mutating", NEW_SERVICE)
            configuration["services"].append({"name": NEW_SERVICE})
            rig.store.put("op/config", configuration)
            await asyncio.sleep(CONFIG_S)
            for node in range(NODES):
                request_id = f"new-{node}"
                response = await rig.send_request(
                    "/book/1", node=node, request_id=request_id
                )
                assert response.status == 200
                ran = [run.request_id for run in rig.server_by_id["next-0"].runs]
                assert request_id in ran
            writing.cancel()

    run(scenario())


@pytest.mark.parametrize("name", list(UNREADABLE))
def test_an_unreadable_configuration_leaves_the_last_one_in_force(name):
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            writing = asyncio.ensure_future(
                write_anew(rig, ["op/config"], UNREADABLE[name])
            )
            await asyncio.sleep(LEAD_S)
            await add_server(rig, PLAIN_SERVICE, "desk-new")
            for router in rig.routers:
                servers = router.cluster_view.servers
                await wait_until(
                    lambda servers=servers: "desk-new" in servers.server_by_id,
                    CONFIG_S,
                )
            for node in range(NODES):
                assert (await rig.send_request("/book/1", node=node)).status == 200
            writing.cancel()
            await asyncio.sleep(0)
            rig.store.put("op/config", make_configuration(3))
            for router in rig.routers:
                view = router.cluster_view
                await wait_until(lambda view=view: view.configuration.version == 3)

    run(scenario())
