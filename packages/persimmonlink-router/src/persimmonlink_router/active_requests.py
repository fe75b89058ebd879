"""Requests that are being served, which a stop ends if they have no response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from persimmonlink_router.http_exchange import Exchange
    from persimmonlink_router.relayed_exchange import RelayedExchange

T = TypeVar("T")


class EndedByStopError(Exception):
    """The node stops, and the request had no response."""


class ActiveRequests:
    """Requests that are being served, by their exchanges."""

    def __init__(self) -> None:
        self._limit_by_exchange: dict[Exchange | RelayedExchange, asyncio.Timeout] = {}

    async def run(self, exchange: Exchange | RelayedExchange, work: Awaitable[T]) -> T:
        """Serve a request; raise `EndedByStopError` if a stop ends it first."""
        try:
            async with asyncio.timeout(None) as limit:
                self._limit_by_exchange[exchange] = limit
                return await work
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise EndedByStopError from error
        finally:
            del self._limit_by_exchange[exchange]

    def end_unanswered(self) -> None:
        """End all requests whose response has not begun."""
        now = asyncio.get_running_loop().time()
        for exchange, limit in self._limit_by_exchange.items():
            if not exchange.has_started and not limit.expired():
                limit.reschedule(now)


__all__ = ("ActiveRequests", "EndedByStopError")
