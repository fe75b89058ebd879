"""Whether stages can be run one after another."""

from __future__ import annotations

from graphlib import CycleError, TopologicalSorter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_STAGES = 100  # Most stages of a request.


def find_impossible_stage(after_by_stage: Sequence[Sequence[int]]) -> int | None:
    """Return the index of a stage that can never be run, or None.

    Parameters
    ----------
    after_by_stage : Sequence of Sequence of int
        By index of a stage, the indexes of those that must have run before it.
    """
    indexes = range(len(after_by_stage))
    for index in indexes:
        if not all(other in indexes for other in after_by_stage[index]):
            return index
    try:
        TopologicalSorter(dict(enumerate(after_by_stage))).prepare()
    except CycleError as error:
        cycle: Sequence[int] = error.args[1]
        return cycle[0]
    return None


__all__ = ("MAX_STAGES", "find_impossible_stage")
