"""When a rollout goes on to its next phase, from what a node knows of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from persimmonlink_router.rollouts.rollout_phase import RolloutPhase

if TYPE_CHECKING:
    from persimmonlink_router.rollouts.rollout_book import Rollout

# Time before the deadline at which the last decision is written, so that it has
# arrived by then: a slow store takes several tenths of a second.
DECISION_MARGIN_S = 0.6
# Time in which another node takes over from one that doesn't decide; each further one
# waits as much longer.
TAKEOVER_S = 0.8
# Least time of the shift, in which all nodes learn of it.
MIN_SHIFT_S = 1.0
MAX_SHIFT_SHARE = 0.4  # Largest part of the period that the shift takes.
# After the deadline and this time, a node without others' reports decides too.
ABANDON_AFTER_S = 5.0


class RolloutFault(Enum):
    """Numbered reasons for which a rollout is reverted."""

    ORDER_INVALID = 4011
    ORDER_WITHDRAWN = 4012
    NO_SERVER_OF_VERSION = 4013
    VERSION_WORSE = 4014
    TOO_LITTLE_KNOWN = 4015


@dataclass(frozen=True, slots=True)
class RolloutFacts:
    """What a node knows of a rollout beside its outcomes.

    Parameters
    ----------
    rank : int
        Position of the node among those that decide; 0 decides first.
    has_reports : bool
        Whether it has fresh reports of more than half of the nodes.
    has_all_reports : bool
        Whether it has those of all nodes, from after the shift if there was one.
    old_in_flight : int
        Requests at servers of old versions, by these reports.
    old_versions : tuple of str
        Old versions with servers.
    has_new_servers : bool
        Whether the new version has servers that may receive work.
    longest_response_s : float
        Time that almost all responses of the service take, in seconds.
    """

    rank: int
    has_reports: bool
    has_all_reports: bool
    old_in_flight: int
    old_versions: tuple[str, ...]
    has_new_servers: bool
    longest_response_s: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Next phase of a rollout, and the reason if it is reverted."""

    phase: RolloutPhase
    fault: RolloutFault | None = None
    reason: str = ""


def decide(rollout: Rollout, facts: RolloutFacts, now: float) -> Decision | None:
    """Return the decision that is due by a boot time, in seconds, or None.

    Parameters
    ----------
    rollout : Rollout
        The rollout, which is not over.
    facts : RolloutFacts
        What the node knows beside it.
    now : float
        Boot time, in seconds.
    """
    reverted = _find_revert(rollout)
    if reverted is not None:
        return reverted
    elapsed_s = rollout.elapsed_s(now)
    patience_s = TAKEOVER_S * facts.rank
    if rollout.phase is None:
        is_due = elapsed_s >= patience_s
        return Decision(RolloutPhase.TRIAL) if is_due else None
    period_s = rollout.order.period_s
    if not facts.has_reports and elapsed_s < period_s + ABANDON_AFTER_S:
        return None
    if rollout.phase is RolloutPhase.TRIAL:
        shift_s = choose_shift_s(period_s, facts.longest_response_s)
        if elapsed_s < period_s - shift_s - DECISION_MARGIN_S + patience_s:
            return None
        return _end_trial(rollout, facts)
    is_drained = facts.has_all_reports and not facts.old_in_flight
    if is_drained and now - rollout.shifted_at >= MIN_SHIFT_S + patience_s:
        return Decision(RolloutPhase.COMPLETE)
    if elapsed_s >= period_s - DECISION_MARGIN_S + patience_s:
        return Decision(RolloutPhase.COMPLETE)
    return None


def choose_shift_s(period_s: float, longest_response_s: float) -> float:
    """Return the time kept for old servers to end what they run, in seconds."""
    longest_s = MAX_SHIFT_SHARE * period_s
    return min(longest_s, max(MIN_SHIFT_S, longest_response_s))


def _find_revert(rollout: Rollout) -> Decision | None:
    """Return the decision to revert that is due whatever the time, or None."""
    if rollout.order.error:
        return Decision(
            RolloutPhase.REVERTED, RolloutFault.ORDER_INVALID, rollout.order.error
        )
    if rollout.is_withdrawn:
        return Decision(
            RolloutPhase.REVERTED,
            RolloutFault.ORDER_WITHDRAWN,
            "the order was deleted",
        )
    finding = rollout.judge.finding
    if finding is None:
        return None
    return Decision(
        RolloutPhase.REVERTED,
        RolloutFault.VERSION_WORSE,
        f"route {finding.route!r}: {finding.reason}",
    )


def _end_trial(rollout: Rollout, facts: RolloutFacts) -> Decision:
    if not facts.has_new_servers:
        return Decision(
            RolloutPhase.REVERTED,
            RolloutFault.NO_SERVER_OF_VERSION,
            f"no server of version {rollout.order.version!r} accepts work",
        )
    if not facts.old_versions:
        # Nothing is left to compare it with, or to go back to.
        return Decision(RolloutPhase.COMPLETE)
    finding = rollout.judge.find_end_verdict()
    if finding is None:
        return Decision(RolloutPhase.SHIFT)
    is_worse = bool(finding.route)
    fault = RolloutFault.VERSION_WORSE if is_worse else RolloutFault.TOO_LITTLE_KNOWN
    return Decision(RolloutPhase.REVERTED, fault, finding.reason)


__all__ = (
    "Decision",
    "RolloutFacts",
    "RolloutFault",
    "choose_shift_s",
    "decide",
)
