"""Pieces that wait for a stage server, and which of them make the next batch.

Answers for loads at which pieces of many requests wait: a batch costs a fixed time, so
that a full one serves several times as many pieces as single calls.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.stage_chain import StageChain

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_router.configuration import BatchSpec

EXPIRY_MARGIN_S = 1.5  # Time before its inputs end at which a piece goes first.
LARGE_INPUT_BYTES = (
    1e5  # Inputs of this size are used up first, also for late requests.
)
# Waiting for a server in the same failure domain, against bytes that would cross.
DOMAIN_WAIT_S_PER_BYTE = 3.0e-7
MAX_DOMAIN_WAIT_S = 0.45  # About the time of one full call.
MIN_DOMAIN_WAIT_SLACK_S = (
    0.4  # Time left at which a piece goes to whichever server is free.
)


@dataclass(frozen=True, slots=True, eq=False)
class PendingPiece:
    """A piece that waits.

    Parameters
    ----------
    chain : StageChain
        The request that it belongs to.
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage.
    epoch : int
        Epoch of the stage; it grows when the stage is run anew.
    queued_at : float
        Boot time at which it became ready, in seconds.
    domain : str
        Failure domain in which it is run best, empty if any will do.
    cross_domain_bytes : float
        Bytes that cross if it is run in another one.
    inputs_expire_at : float
        Boot time at which its inputs are no longer kept, in seconds.
    input_bytes : float
        Memory that its inputs take at their servers.
    """

    chain: StageChain
    stage: int
    number: int
    epoch: int
    queued_at: float
    preferred_domain: str = ""
    cross_domain_bytes: float = 0.0
    inputs_expire_at: float = float("inf")
    input_bytes: float = 0.0

    @property
    def result_bytes(self) -> int:
        """Approximate size of the result."""
        return self.chain.job.stages[self.stage].result_bytes

    def is_current(self) -> bool:
        """Whether the piece is still wanted."""
        return not self.chain.is_closed and self.chain.epoch(self.stage) == self.epoch

    def is_sendable(self) -> bool:
        """Whether the piece is still wanted and has all its inputs."""
        return self.is_current() and self.chain.has_inputs(self.stage)

    def accepts_domain(
        self, domain: str, served_domains: Collection[str], now: float
    ) -> bool:
        """Whether the piece may be run in a failure domain, or waits for its own."""
        if (
            domain == self.preferred_domain
            or self.preferred_domain not in served_domains
        ):
            return True
        chain = self.chain
        slack_s = chain.objective_at - chain.critical_path_s(self.stage) - now
        if not chain.is_late(now) and slack_s < MIN_DOMAIN_WAIT_SLACK_S:
            return True
        wait_s = min(
            MAX_DOMAIN_WAIT_S, self.cross_domain_bytes * DOMAIN_WAIT_S_PER_BYTE
        )
        return now >= self.queued_at + wait_s


@dataclass(frozen=True, slots=True)
class StageServerView:
    """A stage server as the choice of a batch sees it.

    Parameters
    ----------
    domain : str
        Failure domain.
    room_bytes : float
        Memory that is free for results.
    served_domains : collection of str
        Failure domains with servers that take work.
    """

    domain: str
    room_bytes: float
    served_domains: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Batch:
    """The pieces of a call.

    Parameters
    ----------
    pieces : tuple of Ticket
        The pieces.
    has_unsent_pieces : bool
        Whether pieces had to stay behind that the server could have run.
    """

    pieces: tuple[PendingPiece, ...]
    has_unsent_pieces: bool


class StageQueue:
    """The waiting pieces of one service."""

    def __init__(self) -> None:
        self._pieces: list[PendingPiece] = []

    def __len__(self) -> int:
        return len(self._pieces)

    def put(self, pieces: Sequence[PendingPiece]) -> None:
        """Add pieces."""
        self._pieces.extend(pieces)

    def drop_obsolete(self) -> None:
        """Forget pieces that are no longer wanted, or have lost their inputs."""
        self._pieces = [piece for piece in self._pieces if piece.is_sendable()]

    def pop_batch(self, spec: BatchSpec, view: StageServerView, now: float) -> Batch:
        """Return, and remove, the pieces that a server runs next.

        Requests that can still meet their objective go first, by priority, then by
        the latest time at which the piece must start.
        """
        self.drop_obsolete()
        eligible = [
            piece
            for piece in self._pieces
            if piece.accepts_domain(view.domain, view.served_domains, now)
        ]
        eligible.sort(key=lambda piece: _sort_key(piece, now))
        batch: list[PendingPiece] = []
        remaining_room_bytes = view.room_bytes
        for piece in eligible:
            if len(batch) == spec.max_pieces:
                break
            if piece.result_bytes > remaining_room_bytes:
                continue
            remaining_room_bytes -= piece.result_bytes
            batch.append(piece)
        chosen = set(batch)
        self._pieces = [piece for piece in self._pieces if piece not in chosen]
        return Batch(tuple(batch), len(batch) < len(eligible))

    def min_result_bytes(self) -> int:
        """Return the size of the smallest result that waits, 0 if none does."""
        return min((piece.result_bytes for piece in self._pieces), default=0)


def _sort_key(piece: PendingPiece, now: float) -> tuple[bool, bool, int, float]:
    chain = piece.chain
    # Results that last for a short time and take much room are used up first.
    is_expiring = now > piece.inputs_expire_at - EXPIRY_MARGIN_S
    has_large_inputs = piece.input_bytes > LARGE_INPUT_BYTES
    latest_start_at = chain.objective_at - chain.critical_path_s(piece.stage)
    # One that can't be on time any more would only make the next ones late as well.
    is_late = chain.is_late(now) or now > latest_start_at
    is_late = is_late and not has_large_inputs
    return not is_expiring, is_late, chain.job.priority, latest_start_at


def estimate_call_s(spec: BatchSpec, piece_count: int) -> float:
    """Return the time that a server needs for a call, in seconds."""
    return spec.call_overhead_s + spec.time_per_piece_s * piece_count


__all__ = ("PendingPiece", "StageQueue", "StageServerView", "estimate_call_s")
