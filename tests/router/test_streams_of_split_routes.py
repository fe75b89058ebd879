"""Streams of a route with several services are taken up where they can go on."""

from __future__ import annotations

from tests.router.rig import (
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_configuration,
    make_rig,
    run,
    wait_until,
)
from tests.router.test_stream_versions_out_of_step import take_up

OTHER_SERVICE = "other-engines"
STREAMS = 16


def make_split_configuration() -> dict[str, object]:
    """Return a configuration whose resumable route has two services."""
    configuration = make_configuration(2)
    services = (STREAM_SERVICE, OTHER_SERVICE)
    for route in configuration["routes"]:
        if route["name"] == "list":
            route["service"] = ""
            route["backends"] = [{"service": name, "weight": 1} for name in services]
    engine = {"slots": 8, "kv-capacity": 100000}
    configuration["services"].append({"name": OTHER_SERVICE, "engine": engine})
    return configuration


def list_versions(rig, *request_ids: str) -> set[str]:
    return {
        server.version
        for server in rig.server_by_id.values()
        for seen in server.runs
        if seen.request_id in request_ids
    }


def test_a_stream_is_taken_up_at_the_service_that_has_its_version():
    async def scenario():
        async with make_rig() as rig:
            for index in (0, 1):
                server_id = f"{OTHER_SERVICE}-{index}"
                await add_server(rig, OTHER_SERVICE, server_id, version="v2")
            rig.store.put("op/config", make_split_configuration())
            view = rig.routers[0].cluster_view
            await wait_until(
                lambda: (
                    view.configuration.version == 2
                    and len(view.servers.list_usable(OTHER_SERVICE)) == 2
                )
            )
            for server in rig.server_by_id.values():
                server.faults.cuts_streams_after = 2
            names = [f"s{number}" for number in range(STREAMS)]
            for name in names:
                await rig.send_request(
                    "/list/1", request_id=name, deadline_ms=700, **STREAM
                )
            for server in rig.server_by_id.values():
                server.faults.cuts_streams_after = 0
            assert len(list_versions(rig, *names)) == 2
            for name in names:
                response = await take_up(rig, name, 0)
                assert (response.status, response.is_complete) == (200, True)
                assert len(list_versions(rig, name, f"again-{name}")) == 1

    run(scenario())
