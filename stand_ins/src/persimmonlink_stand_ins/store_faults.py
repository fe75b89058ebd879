"""Faults of the stand-in of the metadata store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class StoreFaults:
    """Faults that the store applies to each request.

    Parameters
    ----------
    status : int
        Status of all responses; 0 to handle requests normally.
    never_responds : bool
        Whether the store sends no responses.
    drops_responses : bool
        Whether the store carries out a request and closes the connection unanswered.
    delay_s : float
        Time by which each response comes later, in seconds.
    """

    status: int = 0
    never_responds: bool = False
    drops_responses: bool = False
    delay_s: float = 0.0


class WatchCutError(Exception):
    """The watch that waits is broken off."""


class WatchCuts:
    """Breaks off watches that wait, or leaves them without an answer.

    Parameters
    ----------
    poll_interval_s : float
        Interval at which a watch looks for changes, in seconds.
    """

    def __init__(self, poll_interval_s: float) -> None:
        self.waiting = 0
        self._poll_interval_s = poll_interval_s
        self._cuts = 0
        self._left = 0
        self._is_silent = False

    def cut(self, *, is_silent: bool, most: int) -> None:
        """Break off up to `most` watches that wait now."""
        self._cuts += 1
        self._left = most
        self._is_silent = is_silent

    async def wait(self) -> None:
        """Wait for the next look; raise `WatchCutError` if cut meanwhile."""
        cuts = self._cuts
        self.waiting += 1
        try:
            await asyncio.sleep(self._poll_interval_s)
        finally:
            self.waiting -= 1
        if self._cuts == cuts or not self._left:
            return
        self._left -= 1
        if self._is_silent:
            await asyncio.sleep(3600)
        raise WatchCutError


__all__ = ("StoreFaults", "WatchCutError", "WatchCuts")
