"""Nodes take what peers of older builds send in other sizes than nodes of this one."""

from __future__ import annotations

from returns.result import Success
from tests.router.rig import make_rig, run

from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel
from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.stream_version_exchange import (
    MAX_RECORDS_PER_MESSAGE,
    MAX_RESENT,
)
from persimmonlink_router.stream_version_messages import RecordStreamVersions

TIMEOUT_S = 10.0


def test_records_of_all_streams_in_one_message_are_kept():
    async def scenario():
        async with make_rig(servers=0) as rig:
            versions = {f"stream-{number}": "v1" for number in range(MAX_RESENT)}
            assert len(versions) > MAX_RECORDS_PER_MESSAGE
            channel = PeerChannel(rig.settings[0].listen.peers)
            message = RecordStreamVersions(Sender("older", "1"), versions)
            reply = await channel.call(message, Acknowledgement, TIMEOUT_S)
            channel.close()
            assert isinstance(reply, Success)
            kept = rig.routers[0]._stream_versions
            assert all(kept.find(name) == "v1" for name in versions)

    run(scenario())
