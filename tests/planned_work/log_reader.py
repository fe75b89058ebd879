"""Takes the log of a process from a small pipe, at times late."""

from __future__ import annotations

import fcntl
import os
import random
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

PIPE_BYTES = 4096
PAUSE_SHARE = 0.1  # Share of the reads before which the reader pauses.


def open_log(path: Path, pause_s: float) -> int:
    """Return a descriptor that takes a log for a file, through a pipe if it pauses.

    Parameters
    ----------
    path : Path
        File of the log.
    pause_s : float
        Longest pause of the reader, in seconds.
    """
    if not pause_s:
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    threading.Thread(target=_copy, args=(read_end, path, pause_s), daemon=True).start()
    return write_end


def _copy(read_end: int, path: Path, pause_s: float) -> None:
    rng = random.Random(str(path))
    with path.open("ab", buffering=0) as log, os.fdopen(read_end, "rb", 0) as pipe:
        while data := pipe.read(PIPE_BYTES):
            log.write(data)
            if rng.random() < PAUSE_SHARE:
                time.sleep(rng.uniform(0.0, pause_s))
