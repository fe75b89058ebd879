"""How far a rollout is."""

from __future__ import annotations

from enum import StrEnum


class RolloutPhase(StrEnum):
    """How far a rollout is.

    In a trial, the new version gets a bounded share of the requests. After it, new
    requests go to the new version while the old servers end what they run.
    """

    TRIAL = "trial"
    SHIFT = "shift"
    COMPLETE = "complete"
    REVERTED = "reverted"

    @property
    def is_final(self) -> bool:
        """Whether nothing more is decided of the rollout."""
        return self in (RolloutPhase.COMPLETE, RolloutPhase.REVERTED)


__all__ = ("RolloutPhase",)
