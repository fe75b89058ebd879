"""Runs a case: its record, its variant without the disruption, its exit status."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING, Protocol

from shared.record import Record

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from pathlib import Path

COULD_NOT_RUN = 2  # 0 says that the rule held, 1 that it was broken.


class Play(Protocol):
    """Plays a case; returns 1 if the rule was broken, 0 if it held."""

    def __call__(
        self, record: Record, *, has_trouble: bool
    ) -> Coroutine[object, object, int]:
        """Play the case, with its disruption or without it."""
        ...


def run_case(folder: Path, play: Play) -> int:
    """Play a case, write `record.txt` in its folder, and return the exit status."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(play(record, has_trouble=has_trouble))
    except Exception as error:
        # An error of the script must not look like a broken rule.
        record.write(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        record.close()


__all__ = ("run_case",)
