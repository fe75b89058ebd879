"""Ends of servers that this node saw, and which of them came one after another."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.crash_evidence import ServerEnd

MAX_ENDS = 32  # Ends that are remembered, the last ones.
MAX_GAP_S = 1.0  # Ends further apart than this are told apart by their times.


class OwnEnds:
    """Tells ends apart by the clock of this node.

    Other nodes learn times by messages, each of which has a delay of its own.
    """

    def __init__(self) -> None:
        self._ends: deque[ServerEnd] = deque(maxlen=MAX_ENDS)

    def add(self, end: ServerEnd) -> ServerEnd:
        """Remember an end; return it with the servers that ended apart from its own."""
        servers = frozenset(
            known.server
            for known in self._ends
            if known.cause_ids & end.cause_ids and _are_apart(known, end)
        )
        end = replace(end, apart_from=servers)
        self._ends.append(end)
        return end


def _are_apart(first: ServerEnd, second: ServerEnd) -> bool:
    """Whether one request was sent after the server of the other one had ended."""
    if first.server == second.server:
        return False
    if abs(first.ended_at - second.ended_at) > MAX_GAP_S:
        return False
    return second.sent_at >= first.ended_at or first.sent_at >= second.ended_at


__all__ = ("OwnEnds",)
