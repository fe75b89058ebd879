"""A piece of a stage that waits for a server."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_router.stage_chain import StageChain


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


__all__ = ("PendingPiece",)
