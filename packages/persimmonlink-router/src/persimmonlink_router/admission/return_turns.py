"""Turns that are kept for requests which were refused, until they come back.

A request that is refused in overload is told a time at which room is kept for it. Turns
follow each other as fast as the servers work, so that those who return don't compete
for the same room, and with those who come for the first time only for the rest. Who
doesn't come in time loses the turn, and its room is free for others.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.stage_job import StageJob

# Part of the servers' work that may be promised. The rest is for requests that come
# for the first time, among them those that can't wait for a turn.
PROMISED_PART = 0.5
# Time before its turn from which a request that comes back counts as having it, and for
# which a turn that is due is kept: clients and messages take some tenths of a second.
EARLY_S = 0.15
KEPT_S = 0.5
# Longest time that requests without a turn are told, in seconds.
MAX_OUTSIDE_S = 10.0
MAX_TURNS = 20000  # Turns that are kept at once.


@dataclass(eq=False, slots=True)
class _Turn:
    key: str
    at: float
    account: str
    priority: int
    pieces_by_service: Mapping[str, int]
    first_services: frozenset[str]
    is_due: bool = False
    is_over: bool = False


class ReturnTurns:
    """Keeps the turns at the servers of all stages, and counts the pieces of due ones.

    Attributes
    ----------
    counts_by_service : dict
        Pieces of turns that are due, by service, priority and account.
    first_counts_by_service : dict
        Those of them that need no other stage before.
    """

    def __init__(self) -> None:
        self.counts_by_service: dict[str, dict[int, Counter[str]]] = {}
        self.first_counts_by_service: dict[str, dict[int, Counter[str]]] = {}
        self._turns_by_key: dict[str, deque[_Turn]] = {}
        self._free_at: dict[tuple[str, int], float] = {}
        self._refused_until: dict[tuple[str, int], float] = {}
        self._upcoming: list[tuple[float, int, _Turn]] = []
        self._due: deque[_Turn] = deque()
        self._sequence = 0

    def advance(self, now: float) -> None:
        """Count turns that have become due by a boot time, and drop those missed."""
        while self._upcoming and self._upcoming[0][0] <= now + EARLY_S:
            _, _, turn = heapq.heappop(self._upcoming)
            if turn.is_over:
                continue
            turn.is_due = True
            self._adjust_counts(turn, 1)
            self._due.append(turn)
        while self._due and (self._due[0].is_over or self._due[0].at + KEPT_S < now):
            turn = self._due.popleft()
            if not turn.is_over:
                self._end(turn)

    def take(self, key: str, now: float) -> bool:
        """Use the turn of a request that comes back; return whether it has one."""
        self.advance(now)
        turns = self._turns_by_key.get(key)
        if not turns or turns[0].at - EARLY_S > now:
            return False
        self._end(turns[0])
        return True

    def find(self, key: str) -> float | None:
        """Return the boot time of a request's next turn, in seconds, or None."""
        turns = self._turns_by_key.get(key)
        return turns[0].at if turns else None

    def queue_outside(
        self,
        job: StageJob,
        earliest_at: float,
        now: float,
        rate_by_service: Mapping[str, float],
    ) -> float:
        """Return when a request without a turn may come back, a boot time in seconds.

        That is when the servers could have run all that was refused before it, if
        nothing else came.
        """
        at = max(earliest_at, _find_end(self._refused_until, job))
        for service, count in _count_pieces(job).items():
            rate = rate_by_service.get(service, 0.0)
            if rate <= 0:
                continue
            end_at = min(at + count / rate, now + MAX_OUTSIDE_S)
            self._refused_until[service, job.priority] = end_at
        return at

    def book(
        self,
        key: str,
        job: StageJob,
        earliest_at: float,
        latest_at: float,
        rate_by_service: Mapping[str, float],
    ) -> float | None:
        """Keep a turn for a request, and return its boot time in seconds.

        None if its turn would come later than its client comes back.

        Parameters
        ----------
        key : str
            By what the request is recognized as it comes again.
        job : StageJob
            The request's stages.
        earliest_at, latest_at : float
            Boot times between which the turn has to be, in seconds.
        rate_by_service : Mapping of str to float
            Pieces a second that the servers of each service run.
        """
        pieces = _count_pieces(job)
        first_services = {
            need.service for need in job.stages if need.pieces and not need.after
        }
        if len(self._upcoming) >= MAX_TURNS or not all(
            rate_by_service.get(service, 0.0) > 0 for service in pieces
        ):
            return None
        at = max(earliest_at, _find_end(self._free_at, job))
        if at > latest_at:
            return None
        for service, count in pieces.items():
            work_s = count / (PROMISED_PART * rate_by_service[service])
            slot = (service, job.priority)
            self._free_at[slot] = max(self._free_at.get(slot, 0.0), at) + work_s
        turn = _Turn(
            key, at, job.account, job.priority, pieces, frozenset(first_services)
        )
        self._turns_by_key.setdefault(key, deque()).append(turn)
        self._sequence += 1
        heapq.heappush(self._upcoming, (at, self._sequence, turn))
        return at

    def _end(self, turn: _Turn) -> None:
        turn.is_over = True
        if turn.is_due:
            self._adjust_counts(turn, -1)
        turns = self._turns_by_key[turn.key]
        turns.remove(turn)
        if not turns:
            del self._turns_by_key[turn.key]

    def _adjust_counts(self, turn: _Turn, sign: int) -> None:
        for service, pieces in turn.pieces_by_service.items():
            _adjust(self.counts_by_service, service, turn, sign * pieces)
            if service in turn.first_services:
                _adjust(self.first_counts_by_service, service, turn, sign * pieces)


def _count_pieces(job: StageJob) -> Counter[str]:
    """Return the pieces of a request by service."""
    pieces = Counter[str]()
    for need in job.stages:
        pieces[need.service] += need.pieces
    return +pieces


def _find_end(end_at_by_slot: Mapping[tuple[str, int], float], job: StageJob) -> float:
    """Return the latest end at a job's services, of priorities that go before it."""
    services = {need.service for need in job.stages if need.pieces}
    return max(
        (
            end_at
            for (service, priority), end_at in end_at_by_slot.items()
            if service in services and priority <= job.priority
        ),
        default=0.0,
    )


def _adjust(
    counts_by_service: dict[str, dict[int, Counter[str]]],
    service: str,
    turn: _Turn,
    change: int,
) -> None:
    counts_by_priority = counts_by_service.setdefault(service, {})
    counts = counts_by_priority.setdefault(turn.priority, Counter())
    counts[turn.account] += change
    if not counts[turn.account]:
        del counts[turn.account]
    if not counts:
        del counts_by_priority[turn.priority]


__all__ = ("ReturnTurns",)
