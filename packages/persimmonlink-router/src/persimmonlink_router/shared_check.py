"""A check that many callers ask for at once, and that is made for all of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable

Outcome = TypeVar("Outcome")


@dataclass
class _Entry(Generic[Outcome]):
    """Callers of a check, and its last outcome with the time at which it began."""

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    callers: int = 0
    last: tuple[float, Outcome] | None = None


class SharedChecks(Generic[Outcome]):
    """Makes checks, each for all who asked for it before it began."""

    def __init__(self) -> None:
        self._entry_by_key: dict[Hashable, _Entry[Outcome]] = {}

    async def run(
        self,
        key: Hashable,
        check: Callable[[], Awaitable[Outcome]],
        wait: Callable[[], Awaitable[None]] | None = None,
    ) -> Outcome:
        """Return the outcome of a check that began after this call.

        Parameters
        ----------
        key : hashable
            What is checked; checks of one key are made one after another.
        check : callable
            Makes the check.
        wait : callable or None
            Waits until the check may begin, for those who ask meanwhile, too.
        """
        asked_at = boot_time()
        entry: _Entry[Outcome] = self._entry_by_key.setdefault(key, _Entry())
        entry.callers += 1
        try:
            async with entry.lock:
                if entry.last is None or entry.last[0] < asked_at:
                    if wait is not None:
                        await wait()
                    began_at = boot_time()
                    entry.last = (began_at, await check())
                return entry.last[1]
        finally:
            entry.callers -= 1
            if not entry.callers:
                self._entry_by_key.pop(key, None)


__all__ = ("SharedChecks",)
