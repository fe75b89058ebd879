"""Connections to servers end soon after their other end is cut off."""

from __future__ import annotations

import asyncio
import socket

from tests.router.rig import PLAIN_SERVICE, make_rig, run

from persimmonlink_router.connection_pool import open_connection

CONTACT_S = 3.0  # The users' bound, from which a cut counts.
SILENCE_S = 1.2  # A sound server may fall silent for about this long.


def test_a_connection_outlives_a_silent_server_and_ends_before_the_bound():
    async def scenario():
        async with make_rig() as rig:
            address = rig.server_by_id[f"{PLAIN_SERVICE}-0"].address
            connection = await open_connection(address, 1.0)
            sock = connection._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
            assert SILENCE_S < timeout_ms / 1000 < CONTACT_S
            # A probe goes out before the timeout, which the next one finds over.
            assert idle_s < timeout_ms / 1000
            assert idle_s + interval_s * 2 <= CONTACT_S
            connection.close()
            await asyncio.sleep(0)

    run(scenario())
