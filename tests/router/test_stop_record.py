"""The log says what a stop did to requests and connections."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import STREAM_SERVICE, make_rig, run, wait_until
from tests.router.stops import collect_log, shorten_stop

from persimmonlink_router.stop_record import ClosedWith, ConnectionState, StopRecord

SHORT_STOP_S = 1.0


def make_state(**changes) -> ConnectionState:
    return replace(ConnectionState("a:1", 1, False, False, 0, 0, 0.5), **changes)


def test_connections_are_counted_by_the_gravest_of_what_they_had():
    record = StopRecord()
    record.add(make_state(unread_bytes=3, quiet_s=0.1))
    record.add(make_state(unread_bytes=9))
    record.add(make_state(unread_bytes=3, unsent_bytes=4))
    record.add(make_state(unsent_bytes=4, is_serving=True))
    fields = record.to_log_fields()
    assert fields["closed"] == {
        ClosedWith.REQUEST: 1,
        ClosedWith.UNSENT_BYTES: 1,
        ClosedWith.UNREAD_BYTES: 2,
        ClosedWith.NOTHING: 0,
    }
    assert fields["first_closed"]["unread_bytes"]["quiet_s"] == 0.1


def test_the_log_tells_a_request_that_a_stop_cuts_from_one_whose_client_left():
    async def scenario():
        async with make_rig() as rig:
            for index in (0, 1):
                rig.server_by_id[f"{STREAM_SERVICE}-{index}"].event_interval_s = 5.0
            router = rig.routers[0]
            shorten_stop(router, SHORT_STOP_S)
            address = rig.settings[0].listen.clients
            connection = await KeptConnection.open(address)
            data = build_request(
                "/claim/1", "cut", b"", is_chunked=False, deadline_ms=9000
            )
            cut = asyncio.ensure_future(connection.exchange(data))
            await wait_until(lambda: rig.count_runs("cut"))
            with collect_log() as records:
                await router.stop()
                assert not (await cut).is_complete
                await asyncio.sleep(0)
            connection.close()
            by_event = {record["message"]: record["extra"] for record in records}
            stopped = by_event["process.stopped"]
            assert stopped["closed"][ClosedWith.REQUEST] == 1
            assert stopped["first_closed"]["request"]["responses"] == 1
            ended = by_event["request.completed"]
            assert ended["reason"] == "cut by the stop"
            assert ended["has_begun"]
            assert ended["after_stop_s"] < 0

    run(scenario())
