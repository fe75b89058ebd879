"""Which members don't answer this node, or others by their word."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_MISSES = 2  # Missed heartbeats from which on a member is unresponsive.
# Heartbeats that a member which the store doesn't list may miss before it is forgotten.
MAX_MISSES = 40


class MemberSuspicions:
    """Counts missed heartbeats, and remembers what other members report."""

    def __init__(self) -> None:
        self._misses_by_id: dict[str, int] = {}
        self._reported_until_by_id: dict[str, float] = {}

    def list_missed(self) -> list[str]:
        """Return the members that missed the last heartbeat, the first ones first."""
        return list(self._misses_by_id)

    def list_unresponsive(self) -> tuple[str, ...]:
        """Return the members that this node holds for unresponsive."""
        return tuple(i for i, n in self._misses_by_id.items() if n >= MIN_MISSES)

    def record_miss(self, node_id: str) -> bool:
        """Record a missed heartbeat; return whether the member is unresponsive now.

        That is so once, with the miss that makes it so.
        """
        misses = self._misses_by_id.get(node_id, 0) + 1
        self._misses_by_id[node_id] = misses
        return misses == MIN_MISSES

    def clear_misses(self, node_id: str) -> bool:
        """Forget the misses of a member; return whether it was unresponsive."""
        return self._misses_by_id.pop(node_id, 0) >= MIN_MISSES

    def record_report(self, node_id: str, until: float) -> None:
        """Record that another member hears nothing of one, up to a boot time."""
        self._reported_until_by_id[node_id] = until

    def clear_report(self, node_id: str) -> None:
        """Forget what other members reported of one."""
        self._reported_until_by_id.pop(node_id, None)

    def is_suspected(self, node_id: str, now: float) -> bool:
        """Whether a member is unresponsive, to this node or by a report, at a time."""
        if self._misses_by_id.get(node_id, 0) >= MIN_MISSES:
            return True
        return self._reported_until_by_id.get(node_id, 0.0) > now

    def forget_gone(self, is_listed: Callable[[str], bool]) -> None:
        """Forget members that have missed so many heartbeats that they are gone.

        One that the store lists would count as alive again without its misses.
        """
        for node_id, misses in list(self._misses_by_id.items()):
            if misses >= MAX_MISSES and not is_listed(node_id):
                del self._misses_by_id[node_id]


__all__ = ("MemberSuspicions",)
