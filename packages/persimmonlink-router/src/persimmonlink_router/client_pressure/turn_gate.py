"""Lets busy connections go on one after another, and all others between them."""

from __future__ import annotations

import asyncio
from collections import deque


class TurnGate:
    """Gives one of the connections that wait a turn in each turn of the event loop.

    However many connections have bytes to parse, other work waits for the parsing of
    one of them only.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for a turn behind those that wait already."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._advance)
        await turn

    def _advance(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._advance)


__all__ = ("TurnGate",)
