"""Pieces that wait for a stage server, and the selection of the next batch.

Each call costs a fixed time besides the time of its pieces. Under load, when pieces of
many requests wait, full batches serve several times as many pieces as single calls.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING

from persimmonlink_router.account_turns import AccountTurns
from persimmonlink_router.stage_chain import StageChain

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_router.configuration import BatchSpec

MIN_CALL_S = 0.001  # Expected time of a call whose service states none.
# A piece goes before all others from this time before its first input expires.
EXPIRY_MARGIN_S = 1.5


@dataclass(frozen=True, slots=True, eq=False)
class PendingPiece:
    """A piece of a stage that has no result yet.

    Parameters
    ----------
    chain : StageChain
        Stages of the request that the piece belongs to.
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage.
    epoch : int
        Epoch of the stage when the piece was queued.
    queued_at : float
        Boot time at which the piece became ready, in seconds.
    preferred_domain : str
        Failure domain with most of the data, empty if there is no preference.
    inputs_expire_at : float
        Boot time at which the first of the inputs expires, in seconds.
    """

    chain: StageChain
    stage: int
    number: int
    epoch: int
    queued_at: float
    preferred_domain: str = ""
    inputs_expire_at: float = float("inf")

    @property
    def result_bytes(self) -> int:
        """Approximate size of the result, in bytes."""
        return self.chain.job.stages[self.stage].result_bytes

    @property
    def latest_start_at(self) -> float:
        """Boot time of the latest start by which the client is answered in time."""
        return self.chain.deadline_at - self.chain.critical_path_s(self.stage)

    def is_current(self) -> bool:
        """Whether the result is still needed: request open, stage not reset."""
        return not self.chain.is_closed and self.chain.epoch(self.stage) == self.epoch

    def is_sendable(self) -> bool:
        """Whether the result is still needed and all inputs are available."""
        return self.is_current() and self.chain.has_inputs(self.stage)


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
        self._pieces: list[PendingPiece] = []
        self._turns = AccountTurns()
        self._short_at = 0.0
        self._longest_path_s = 0.0
        self._bound_s = 0.0
        self._bounded_until = -math.inf

    def __len__(self) -> int:
        return len(self._pieces)

    def put(self, pieces: Sequence[PendingPiece]) -> None:
        """Add pieces to the queue."""
        if pieces and not self._pieces:
            self._short_at = max(self._short_at, pieces[0].queued_at)
        self._pieces.extend(pieces)
        for piece in pieces:
            path_s = piece.chain.critical_path_s(piece.stage)
            self._longest_path_s = max(self._longest_path_s, path_s)

    def record_length(self, spec: BatchSpec, servers: float, now: float) -> None:
        """Record whether more pieces wait than a number of servers take next."""
        if len(self._pieces) <= servers * spec.max_pieces:
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
        self._pieces = [piece for piece in self._pieces if piece.is_sendable()]

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
        self.drop_obsolete()
        next_call_at = now + estimate_call_s(spec, spec.max_pieces)
        eligible = sorted(
            self._pieces, key=lambda piece: _sort_key(piece, now, next_call_at)
        )
        eligible = _separate_suspects(eligible, is_suspect)
        eligible = self._take_turns(eligible, now, next_call_at)
        batch: list[PendingPiece] = []
        remaining_room_bytes = room_bytes
        for piece in eligible:
            if len(batch) == spec.max_pieces:
                break
            if piece.result_bytes > remaining_room_bytes:
                continue
            remaining_room_bytes -= piece.result_bytes
            batch.append(piece)
            self._turns.record_turn(piece.chain.job.account)
        chosen = set(batch)
        self._pieces = [piece for piece in self._pieces if piece not in chosen]
        self._turns.retain_only({piece.chain.job.account for piece in self._pieces})
        return Batch(tuple(batch), len(batch) < len(eligible))

    def _take_turns(
        self, pieces: list[PendingPiece], now: float, next_call_at: float
    ) -> list[PendingPiece]:
        """Order sorted pieces so that accounts take turns within each priority."""
        ordered: list[PendingPiece] = []

        def rank(piece: PendingPiece) -> tuple[bool, int]:
            return _sort_key(piece, now, next_call_at)[:2]

        for _, group in groupby(pieces, key=rank):
            pieces_by_account: dict[str, list[PendingPiece]] = {}
            for piece in group:
                account = piece.chain.job.account
                pieces_by_account.setdefault(account, []).append(piece)
            ordered.extend(self._turns.interleave(pieces_by_account))
        return ordered

    def list_hopeless(
        self, spec: BatchSpec, servers: float, until_free_s: float, now: float
    ) -> list[StageChain]:
        """Return the requests that can't be served in time, whatever comes.

        The work that goes before theirs takes too long even if all of the servers, a
        number of them, run full calls only.
        """
        pieces_per_round = max(1.0, servers * spec.max_pieces)
        call_s = estimate_call_s(spec, spec.max_pieces)
        ordered = sorted(self._pieces, key=lambda piece: _sort_key(piece, now, now))
        hopeless: dict[StageChain, None] = {}
        ahead = 0
        for piece in self._take_turns(ordered, now, now):
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
        first = min(
            self._pieces, key=lambda piece: _sort_key(piece, now, now), default=None
        )
        return first.preferred_domain if first is not None else ""

    def min_result_bytes(self) -> int:
        """Return the size of the smallest result in bytes, 0 if the queue is empty."""
        return min((piece.result_bytes for piece in self._pieces), default=0)


def _separate_suspects(
    pieces: list[PendingPiece], is_suspect: Callable[[Sequence[str]], bool]
) -> list[PendingPiece]:
    """Return the pieces that may be in one batch with the first one."""
    if not pieces:
        return pieces
    first = pieces[0].chain
    if is_suspect(first.job.fingerprints):
        return [piece for piece in pieces if piece.chain is first]
    return [piece for piece in pieces if not is_suspect(piece.chain.job.fingerprints)]


def _sort_key(
    piece: PendingPiece, now: float, next_call_at: float
) -> tuple[bool, int, float]:
    """Return the rank of a piece; the next call may not begin before a time."""
    chain = piece.chain
    is_expiring = now > piece.inputs_expire_at - EXPIRY_MARGIN_S
    latest_start_at = piece.latest_start_at
    is_due = chain.has_started and latest_start_at < next_call_at
    return not (is_expiring or is_due), chain.job.priority, latest_start_at


def estimate_call_s(spec: BatchSpec, piece_count: float) -> float:
    """Return the expected time of a call, in seconds; a service may state none."""
    stated_s = spec.call_overhead_s + spec.time_per_piece_s * piece_count
    return max(MIN_CALL_S, stated_s)


__all__ = ("PendingPiece", "StageQueue", "estimate_call_s")
