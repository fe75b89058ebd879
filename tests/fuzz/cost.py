"""Whether a cost is linear in the size of an input, by two runs side by side."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Data = TypeVar("Data")

FACTOR = 8  # Ratio of the sizes of the two inputs.
# A linear cost rises by `FACTOR`, a quadratic one by its square.
MAX_RATIO = 3 * FACTOR
ROUNDS = 5
MIN_MEASURED_S = 0.0005  # A shorter time counts as this, as a clock can't tell it.


def measure(process: Callable[[Data], object], data: Data) -> float:
    """Return the processor time of one run, in seconds."""
    started_at = time.process_time()
    process(data)
    return time.process_time() - started_at


def assert_linear(
    process: Callable[[Data], object], make: Callable[[int], Data], size: int
) -> None:
    """Check that an input of `FACTOR` times the size costs as many times as much."""
    short, long = make(size), make(FACTOR * size)
    short_s, long_s = [], []
    for _ in range(ROUNDS):
        short_s.append(measure(process, short))
        long_s.append(measure(process, long))
        if min(long_s) <= MAX_RATIO * max(min(short_s), MIN_MEASURED_S):
            return
    ratio = min(long_s) / max(min(short_s), MIN_MEASURED_S)
    raise AssertionError(f"{FACTOR} times the size costs {ratio:.1f} times as much")


__all__ = ("FACTOR", "MAX_RATIO", "assert_linear")
