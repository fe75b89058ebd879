"""Possible causes of ends that this node has lately served."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CAUSES = 4096  # Causes that are remembered, the last served ones.


class ServedCauses:
    """Time of the last complete response by cause.

    Parameters
    ----------
    max_causes : int
        Causes that are remembered, the last served ones.
    """

    def __init__(self, max_causes: int = MAX_CAUSES) -> None:
        self._max_causes = max_causes
        self._served_at_by_cause: OrderedDict[str, float] = OrderedDict()

    def record(self, cause_ids: Iterable[str], now: float) -> None:
        """Record a complete response to a request with these causes."""
        for cause_id in cause_ids:
            self._served_at_by_cause[cause_id] = now
            self._served_at_by_cause.move_to_end(cause_id)
        while len(self._served_at_by_cause) > self._max_causes:
            self._served_at_by_cause.popitem(last=False)

    def find(self, cause_id: str) -> float | None:
        """Return the boot time of the last response, in seconds; None if unknown."""
        return self._served_at_by_cause.get(cause_id)

    def was_served_since(self, cause_id: str, since: float) -> bool:
        """Whether a request with a cause was served after a boot time, in seconds."""
        return self._served_at_by_cause.get(cause_id, float("-inf")) > since


__all__ = ("ServedCauses",)
