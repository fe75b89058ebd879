"""Whether the cost of a decoder is linear, as a ratio of two runs side by side."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

FACTOR = 8  # Ratio of the sizes of the two inputs.
# A linear cost rises by `FACTOR`, a quadratic one by its square.
MAX_RATIO = 3 * FACTOR
ROUNDS = 5
MIN_MEASURED_S = 0.0005  # A shorter time counts as this, as a clock can't tell it.


def measure(decode: Callable[[bytes], object], data: bytes) -> float:
    """Return the processor time of one run, in seconds."""
    started_at = time.process_time()
    decode(data)
    return time.process_time() - started_at


def assert_linear(
    decode: Callable[[bytes], object], make: Callable[[int], bytes], size: int
) -> None:
    """Check that an input of `FACTOR` times the size costs as many times as much."""
    short, long = make(size), make(FACTOR * size)
    short_s, long_s = [], []
    for _ in range(ROUNDS):
        short_s.append(measure(decode, short))
        long_s.append(measure(decode, long))
        if min(long_s) <= MAX_RATIO * max(min(short_s), MIN_MEASURED_S):
            return
    ratio = min(long_s) / max(min(short_s), MIN_MEASURED_S)
    raise AssertionError(f"{FACTOR} times as many bytes cost {ratio:.1f} times as much")


__all__ = ("FACTOR", "MAX_RATIO", "assert_linear")
