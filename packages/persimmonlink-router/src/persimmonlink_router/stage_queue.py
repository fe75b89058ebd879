"""Pieces that wait for a stage server, and the selection of the next batch.

Each call costs a fixed time besides the time of its pieces. Under load, when pieces of
many requests wait, full batches serve several times as many pieces as single calls.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.account_turns import AccountTurns
from persimmonlink_router.pending_piece import PendingPiece
from persimmonlink_router.waiting_stages import WaitingStages

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

    from persimmonlink_router.configuration import BatchSpec
    from persimmonlink_router.stage_chain import StageChain
    from persimmonlink_router.waiting_stages import WaitingStage

MIN_CALL_S = 0.001  # Expected time of a call whose service states none.
# A piece goes before all others from this time before its first input expires.
EXPIRY_MARGIN_S = 1.5


@dataclass(frozen=True, slots=True)
class Batch:
    """Pieces that are sent to a server in one call.

    Parameters
    ----------
    pieces : tuple of PendingPiece
        The pieces.
    has_unsent_pieces : bool
        Whether pieces that may run on the server didn't fit and stay queued.
    """

    pieces: tuple[PendingPiece, ...]
    has_unsent_pieces: bool


class StageQueue:
    """Queue of the pieces that wait for servers of one service."""

    def __init__(self) -> None:
        self._waiting = WaitingStages()
        self._turns = AccountTurns()
        self._short_at = 0.0
        self._longest_path_s = 0.0
        self._bound_s = 0.0
        self._bounded_until = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, pieces: Sequence[PendingPiece]) -> None:
        """Add pieces to the queue."""
        if pieces and not len(self):
            self._short_at = max(self._short_at, pieces[0].queued_at)
        self._waiting.add(pieces)
        for piece in pieces:
            path_s = piece.chain.critical_path_s(piece.stage)
            self._longest_path_s = max(self._longest_path_s, path_s)

    def record_length(self, spec: BatchSpec, servers: float, now: float) -> None:
        """Record whether more pieces wait than a number of servers take next."""
        if len(self) <= servers * spec.max_pieces:
            self._short_at = now
            self._longest_path_s = 0.0

    def has_stood(self, now: float) -> bool:
        """Whether more has waited than the next calls take, for a request's whole time.

        That is no burst which is worked off: it makes all wait, and as many would be
        served if the queue were short.
        """
        if now < self._bounded_until:
            return True
        if not 0.0 < self._longest_path_s <= now - self._short_at:
            return False
        self._bound_s = self._longest_path_s
        return True

    def record_refusal(self, now: float) -> None:
        """Record that a request was refused because the queue has stood.

        As long as requests have to be refused for it, it would stand again if it were
        not bounded.
        """
        self._bounded_until = now + self._bound_s

    def drop_obsolete(self) -> None:
        """Remove pieces that are no longer needed or have lost their inputs."""
        for stage in self._waiting:
            if not stage.first.is_sendable():
                self._waiting.take(stage, len(stage.pieces))

    def pop_batch(
        self,
        spec: BatchSpec,
        room_bytes: float,
        now: float,
        is_suspect: Callable[[Sequence[str]], bool] = lambda _: False,
    ) -> Batch:
        """Remove and return the pieces that a server runs next.

        Its memory has room for results of so many bytes.

        Pieces of a request under which servers ended are sent in batches of their own,
        so that its fate tells whether it was the cause. `is_suspect` says so of its
        fingerprints.

        Pieces whose inputs expire soon go first, with those of requests that have no
        time left to wait, then those of the highest priority. Among these, client
        accounts take turns, and of an account the piece goes first whose request has
        the least time left.
        """
        next_call_at = now + estimate_call_s(spec, spec.max_pieces)
        self._turns.begin(self._waiting.pieces_by_account)
        batch: list[PendingPiece] = []
        taken_by_stage: Counter[WaitingStage] = Counter()
        remaining_room_bytes = room_bytes
        has_unsent_pieces = False
        for stage, piece in _separate_suspects(
            self._iterate_in_order(now, next_call_at), is_suspect
        ):
            if len(batch) == spec.max_pieces:
                has_unsent_pieces = True
                break
            if piece.result_bytes > remaining_room_bytes:
                has_unsent_pieces = True
                continue
            remaining_room_bytes -= piece.result_bytes
            batch.append(piece)
            taken_by_stage[stage] += 1
        for stage, piece_count in taken_by_stage.items():
            self._waiting.take(stage, piece_count)
            self._turns.record_turn(stage.account, piece_count)
        self._turns.retain_only(self._waiting.pieces_by_account)
        return Batch(tuple(batch), has_unsent_pieces)

    def _iterate_in_order(
        self, now: float, next_call_at: float
    ) -> Iterator[tuple[WaitingStage, PendingPiece]]:
        """Yield the pieces that may be sent, in the order in which they go.

        What has begun is due if it can't wait until a boot time, in seconds. Only the
        pieces that are asked for are looked at.
        """
        due = self._list_due(now, next_call_at)
        due_lines: dict[int, dict[str, list[WaitingStage]]] = {}
        for stage in sorted(due, key=lambda s: (s.first.latest_start_at, s.number)):
            lines = due_lines.setdefault(stage.priority, {})
            lines.setdefault(stage.account, []).append(stage)
        for priority in sorted(due_lines):
            yield from self._take_turns(due_lines[priority])
        for priority in self._waiting.list_priorities():
            lines_by_account = {
                account: (stage for _, _, stage in line if stage not in due)
                for account, line in self._waiting.lines_by_account(priority).items()
            }
            yield from self._take_turns(lines_by_account)

    def _take_turns(
        self, stages_by_account: Mapping[str, Iterable[WaitingStage]]
    ) -> Iterator[tuple[WaitingStage, PendingPiece]]:
        pieces_by_account = {
            account: _iterate_sendable(stages)
            for account, stages in stages_by_account.items()
        }
        return self._turns.interleave(pieces_by_account)

    def _list_due(self, now: float, next_call_at: float) -> dict[WaitingStage, None]:
        """Return the stages that go before all others.

        Their inputs expire soon, or they have begun and can't wait until a boot time,
        in seconds.
        """
        due = dict.fromkeys(
            self._waiting.iterate_expiring_before(now + EXPIRY_MARGIN_S)
        )
        for stage in self._waiting.iterate_starting_before(next_call_at):
            if stage.chain.has_started:
                due[stage] = None
        return due

    def list_hopeless(
        self, spec: BatchSpec, servers: float, until_free_s: float, now: float
    ) -> list[StageChain]:
        """Return the requests that can't be served in time, whatever comes.

        The work that goes before theirs takes too long even if all of the servers, a
        number of them, run full calls only.
        """
        pieces_per_round = max(1.0, servers * spec.max_pieces)
        call_s = estimate_call_s(spec, spec.max_pieces)
        last_start_at = now + until_free_s + len(self) // pieces_per_round * call_s
        if not any(self._waiting.iterate_starting_before(last_start_at)):
            return []
        self._turns.begin(self._waiting.pieces_by_account)
        hopeless: dict[StageChain, None] = {}
        ahead = 0
        for _, piece in self._iterate_in_order(now, now):
            if piece.chain in hopeless:
                continue
            start_at = now + until_free_s + ahead // pieces_per_round * call_s
            if start_at > piece.latest_start_at:
                hopeless[piece.chain] = None
                continue
            ahead += 1
        return list(hopeless)

    def find_preferred_domain(self, now: float) -> str:
        """Return the failure domain where the first piece has most of its data."""
        due = self._list_due(now, now)
        if due:
            first = min(due, key=lambda s: (s.priority, s.first.latest_start_at))
            return first.first.preferred_domain
        for priority in self._waiting.list_priorities():
            for line in self._waiting.lines_by_account(priority).values():
                return line[0][2].first.preferred_domain
        return ""

    def min_result_bytes(self) -> int:
        """Return the size of the smallest result in bytes, 0 if the queue is empty."""
        return self._waiting.min_result_bytes()


def _iterate_sendable(
    stages: Iterable[WaitingStage],
) -> Iterator[tuple[WaitingStage, PendingPiece]]:
    for stage in stages:
        if not stage.first.is_sendable():
            continue
        for piece in stage.pieces:
            yield stage, piece


def _separate_suspects(
    pieces: Iterator[tuple[WaitingStage, PendingPiece]],
    is_suspect: Callable[[Sequence[str]], bool],
) -> Iterator[tuple[WaitingStage, PendingPiece]]:
    """Yield the pieces that may be in one batch with the first one."""
    chosen: StageChain | None = None
    is_chosen_suspect = False
    is_suspect_by_chain: dict[StageChain, bool] = {}
    for stage, piece in pieces:
        chain = piece.chain
        if chain not in is_suspect_by_chain:
            is_suspect_by_chain[chain] = is_suspect(chain.job.fingerprints)
        if chosen is None:
            chosen, is_chosen_suspect = chain, is_suspect_by_chain[chain]
        may_join = not is_chosen_suspect and not is_suspect_by_chain[chain]
        if chain is chosen or may_join:
            yield stage, piece


def estimate_call_s(spec: BatchSpec, piece_count: float) -> float:
    """Return the expected time of a call, in seconds; a service may state none."""
    stated_s = spec.call_overhead_s + spec.time_per_piece_s * piece_count
    return max(MIN_CALL_S, stated_s)


__all__ = ("PendingPiece", "StageQueue", "estimate_call_s")
