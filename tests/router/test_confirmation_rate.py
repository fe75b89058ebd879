"""Streams that are taken up cost the store no call each."""

from __future__ import annotations

from tests.router.rig import STREAM, make_rig, run

from persimmonlink_router.boot_clock import boot_time

STREAM_COUNT = 12
# Calls that the store sustains, in the sheet of the deployment, and the nodes of the
# largest cluster: what each node may use of them.
STORE_READS_PER_S = 2000
NODES = 383


def count_watches(router) -> int:
    lines = router.metrics.to_text().splitlines()
    return sum(
        int(line.rpartition(" ")[2])
        for line in lines
        if "store_calls_total" in line and 'kind="watch"' in line
    )


def test_taken_up_streams_leave_the_calls_that_the_store_sustains_to_all_nodes():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.event_count, server.event_interval_s = 3, 0.0
            router = rig.routers[0]
            confirmer = router._version_exchange._view_confirmer
            confirmer._count_nodes = lambda: NODES
            router._stream_versions.record("r1", "v1", boot_time())
            before, began_at = count_watches(router), boot_time()
            for number in range(STREAM_COUNT):
                response = await rig.send_request(
                    "/list/1",
                    request_id=f"again-{number}",
                    Last_Event_Id="2",
                    Resumes="r1",
                    **STREAM,
                )
                assert response.is_complete
            spent_s = boot_time() - began_at
            calls_per_s = (count_watches(router) - before) / spent_s
            assert calls_per_s * NODES < STORE_READS_PER_S

    run(scenario())
