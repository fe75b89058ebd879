"""Pieces that wait for a stage server, and which of them make the next batch.

Answers for loads at which pieces of many requests wait: a batch costs a fixed time, so
that a full one serves several times as many pieces as single calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_router.configuration import BatchSpec
    from persimmonlink_router.stage_chain import StageChain


@dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """A piece that waits.

    Parameters
    ----------
    chain : StageChain
        The request that it belongs to.
    stage : int
        Index of the stage.
    number : int
        Number of the piece in its stage.
    inputs_zone : str
        Failure domain in which most of its inputs lie, empty if it has none.
    """

    chain: StageChain
    stage: int
    number: int
    inputs_zone: str = ""

    @property
    def result_bytes(self) -> int:
        """Approximate size of the result."""
        return self.chain.job.stages[self.stage].result_bytes


@dataclass(frozen=True, slots=True)
class StageServerView:
    """A stage server as the choice of a batch sees it.

    Parameters
    ----------
    zone : str
        Failure domain.
    room_bytes : float
        Memory that is free for results.
    slowness : float
        Time that it takes against the expected time.
    """

    zone: str
    room_bytes: float
    slowness: float = 1.0


class StageQueue:
    """The waiting pieces of one service."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        return len(self._tickets)

    def put(self, tickets: Sequence[Ticket]) -> None:
        """Add pieces."""
        self._tickets.extend(tickets)

    def drop_over(self) -> None:
        """Forget pieces of requests that are over."""
        self._tickets = [t for t in self._tickets if not t.chain.is_over]

    def take_batch(
        self, spec: BatchSpec, view: StageServerView, now: float
    ) -> list[Ticket]:
        """Return, and remove, the pieces that a server runs next.

        Requests that can still meet their objective go first, by priority, then by
        the time left; of those alike, pieces whose inputs lie near the server.
        """
        self.drop_over()
        ranked = sorted(self._tickets, key=lambda t: _rank(t, view.zone, now))
        batch: list[Ticket] = []
        room = view.room_bytes
        for ticket in ranked:
            if len(batch) == spec.size:
                break
            if ticket.result_bytes > room:
                continue
            room -= ticket.result_bytes
            batch.append(ticket)
        chosen = set(batch)
        self._tickets = [t for t in self._tickets if t not in chosen]
        return batch

    def least_bytes(self) -> int:
        """Return the size of the smallest result that waits, 0 if none does."""
        return min((t.result_bytes for t in self._tickets), default=0)


def _rank(ticket: Ticket, zone: str, now: float) -> tuple[bool, int, float, bool]:
    chain = ticket.chain
    # Steps of a tenth of a second, within which nearness decides.
    urgency = round(chain.objective_at, 1)
    is_late = now > chain.objective_at
    is_far = ticket.inputs_zone not in ("", zone)
    return is_late, chain.job.priority, urgency, is_far


def estimate_call_s(spec: BatchSpec, pieces: int) -> float:
    """Return the time that a server needs for a call, in seconds."""
    return spec.call_s + spec.piece_s * pieces


__all__ = ("StageQueue", "StageServerView", "Ticket", "estimate_call_s")
