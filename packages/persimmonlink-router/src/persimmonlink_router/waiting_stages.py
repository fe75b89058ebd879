"""Stages whose pieces wait for servers, kept in the order in which they go.

Whoever takes the first pieces looks at these only, however many wait behind them.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, TypeVar

from persimmonlink_router.pending_piece import PendingPiece

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from persimmonlink_router.stage_chain import StageChain


@dataclass(slots=True, eq=False)
class WaitingStage:
    """Pieces of a stage that were queued with the same inputs, and rank alike.

    Parameters
    ----------
    first : PendingPiece
        One of them.
    number : int
        Place among all stages in the order of their arrival.
    pieces : deque of PendingPiece
        Those that wait.
    """

    first: PendingPiece
    number: int
    pieces: deque[PendingPiece] = field(default_factory=deque)

    @property
    def chain(self) -> StageChain:
        """Stages of the request."""
        return self.first.chain

    @property
    def account(self) -> str:
        """Client account of the request."""
        return self.first.chain.job.account

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        return self.first.chain.job.priority


Key = TypeVar("Key", bound=Hashable)

# A sorted list of stages, each with the boot time by which it is ranked.
Line = list[tuple[float, int, WaitingStage]]


class WaitingStages:
    """Stages by priority and client account, those with the least time left first."""

    def __init__(self) -> None:
        self._stage_by_key: dict[tuple[StageChain, int, int, float], WaitingStage] = {}
        self._line_by_account_by_priority: dict[int, dict[str, Line]] = {}
        self._expiring: Line = []
        self._numbers = count()
        self._pieces_by_size: Counter[int] = Counter()
        self.pieces_by_account: Counter[str] = Counter()

    def __len__(self) -> int:
        return self.pieces_by_account.total()

    def __iter__(self) -> Iterator[WaitingStage]:
        return iter(list(self._stage_by_key.values()))

    def add(self, pieces: Sequence[PendingPiece]) -> None:
        """Add pieces, each to its stage."""
        for piece in pieces:
            key = _key(piece)
            stage = self._stage_by_key.get(key)
            if stage is None:
                stage = WaitingStage(piece, next(self._numbers))
                self._stage_by_key[key] = stage
                self._insert(stage)
            stage.pieces.append(piece)
            self.pieces_by_account[stage.account] += 1
            self._pieces_by_size[piece.result_bytes] += 1

    def take(self, stage: WaitingStage, piece_count: int) -> None:
        """Remove the first pieces of a stage."""
        for _ in range(piece_count):
            piece = stage.pieces.popleft()
            _subtract_one(self._pieces_by_size, piece.result_bytes)
            _subtract_one(self.pieces_by_account, stage.account)
        if not stage.pieces:
            del self._stage_by_key[_key(stage.first)]
            self._delete(stage)

    def list_priorities(self) -> list[int]:
        """Return the priorities of stages that wait, the most urgent first."""
        return sorted(self._line_by_account_by_priority)

    def lines_by_account(self, priority: int) -> dict[str, Line]:
        """Return the lines of a priority, in the order of their first stages."""
        lines = self._line_by_account_by_priority[priority]
        return dict(sorted(lines.items(), key=lambda entry: entry[1][0][:2]))

    def iterate_starting_before(self, start_at: float) -> Iterator[WaitingStage]:
        """Yield the stages whose latest start is before a boot time, in seconds."""
        for lines in self._line_by_account_by_priority.values():
            for line in lines.values():
                for latest_start_at, _, stage in line:
                    if latest_start_at >= start_at:
                        break
                    yield stage

    def iterate_expiring_before(self, expire_at: float) -> Iterator[WaitingStage]:
        """Yield the stages whose inputs expire before a boot time, in seconds."""
        for inputs_expire_at, _, stage in self._expiring:
            if inputs_expire_at >= expire_at:
                return
            yield stage

    def min_result_bytes(self) -> int:
        """Return the size of the smallest result in bytes, 0 if nothing waits."""
        return min(self._pieces_by_size, default=0)

    def _insert(self, stage: WaitingStage) -> None:
        lines = self._line_by_account_by_priority.setdefault(stage.priority, {})
        line = lines.setdefault(stage.account, [])
        insort(line, (stage.first.latest_start_at, stage.number, stage))
        if stage.first.inputs_expire_at < float("inf"):
            entry = (stage.first.inputs_expire_at, stage.number, stage)
            insort(self._expiring, entry)

    def _delete(self, stage: WaitingStage) -> None:
        lines = self._line_by_account_by_priority[stage.priority]
        line = lines[stage.account]
        del line[bisect_left(line, (stage.first.latest_start_at, stage.number))]
        if not line:
            del lines[stage.account]
        if not lines:
            del self._line_by_account_by_priority[stage.priority]
        if stage.first.inputs_expire_at < float("inf"):
            entry = (stage.first.inputs_expire_at, stage.number)
            del self._expiring[bisect_left(self._expiring, entry)]


def _key(piece: PendingPiece) -> tuple[StageChain, int, int, float]:
    return piece.chain, piece.stage, piece.epoch, piece.inputs_expire_at


def _subtract_one(counter: Counter[Key], key: Key) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]


__all__ = ("Line", "WaitingStage", "WaitingStages")
