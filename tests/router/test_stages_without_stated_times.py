"""Stages of a service whose configuration states no times of its calls."""

from __future__ import annotations

from tests.router.rig import (
    STAGE_SERVICE,
    STAGED,
    make_configuration,
    make_rig,
    run,
    wait_until,
)


def test_stages_of_a_service_that_states_no_times_are_served():
    async def scenario():
        async with make_rig() as rig:
            configuration = make_configuration(2)
            for service in configuration["services"]:
                if service["name"] == STAGE_SERVICE:
                    service["pieces"] |= {"call-ms": 0, "item-ms": 0}
            rig.store.put("op/config", configuration)
            view = rig.routers[0].cluster_view
            await wait_until(lambda: view.configuration.version == 2)
            for _ in range(3):
                response = await rig.send_request(
                    "/chain/1", deadline_ms=3000, **STAGED
                )
                assert (response.status, response.is_complete) == (200, True)

    run(scenario())
