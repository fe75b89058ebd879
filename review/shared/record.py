"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines with the seconds since the start, in a file and on standard output.

    Parameters
    ----------
    path : Path
        File that is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self._started_at:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


__all__ = ("Record",)
