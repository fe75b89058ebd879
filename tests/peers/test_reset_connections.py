"""Calls to a peer that resets connections as they are made."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
import threading
import time
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure as Err
from tests.peers.replying_process import AskText, Text

from persimmonlink_model.result_code import ResultCode
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError

if TYPE_CHECKING:
    from collections.abc import Iterator

SENDER = Sender("n", "1")
CALL_COUNT = 40
TIMEOUT_S = 5.0
TURN_S = 0.01  # Time that a busy loop takes for a turn.
# Resets come at any point of the turns in which a connection is made.
RESET_DELAYS_S = [index * 0.001 for index in range(CALL_COUNT)]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@contextmanager
def reset_connections() -> Iterator[str]:
    """Accept connections and reset them soon; the address is yielded."""

    def serve() -> None:
        with suppress(OSError):
            for delay_s in itertools.cycle(RESET_DELAYS_S):
                connection, _ = listener.accept()
                time.sleep(delay_s)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        try:
            yield f"127.0.0.1:{listener.getsockname()[1]}"
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


async def keep_busy() -> None:
    while True:
        time.sleep(TURN_S)
        await asyncio.sleep(0)


def run_beside_busy_loop(scenario) -> None:
    async def run() -> None:
        busy = asyncio.ensure_future(keep_busy())
        try:
            await scenario()
        finally:
            busy.cancel()

    asyncio.run(run())


def test_a_call_on_a_connection_that_was_reset_as_it_was_made_fails_as_unreachable():
    async def scenario() -> None:
        for _ in range(CALL_COUNT):
            reply = await channel.call(AskText(SENDER, 1), Text, TIMEOUT_S)
            match reply:
                case Err(failure):
                    assert failure.code is ResultCode.PEER_UNREACHABLE
                case _:
                    pytest.fail(f"got {reply}")

    with reset_connections() as address:
        channel = PeerChannel(address)
        run_beside_busy_loop(scenario)


def test_a_relay_on_a_connection_that_was_reset_as_it_was_made_fails_as_unreachable():
    async def scenario() -> None:
        for _ in range(CALL_COUNT):
            with pytest.raises(PeerStreamError) as raised:
                async for _ in channel.stream(AskText(SENDER, 1), Text, TIMEOUT_S):
                    pass
            failure = raised.value.failure
            assert failure.code is ResultCode.PEER_UNREACHABLE

    with reset_connections() as address:
        channel = PeerChannel(address)
        run_beside_busy_loop(scenario)
