"""What is held back because it ends servers, by decisions of any node."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.crash_evidence import UNKNOWN_ORIGIN, RequestOrigin
from persimmonlink_router.peer_messages import HoldNotice
from persimmonlink_router.request_fingerprint import is_fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

HOLD_S = 600.0  # Time for which causes are held back, or stay released.
# A decision is newer than another one on the same causes only if it is so by more than
# the times of its messages add up to.
MIN_DECISION_GAP_S = 2.0
# Decisions that are kept and passed on. Others are ignored until one of them ends, as
# dropping one would make it news again when a peer repeats it.
MAX_HOLDS = 64


@dataclass(frozen=True, slots=True)
class Hold:
    """A decision to hold requests back, or to let them go on.

    A prompt part is held back from all servers, a whole request from those of the
    services and software versions that have ended under it.

    Parameters
    ----------
    cause_ids : frozenset of str
        A request that has all of them is held back.
    decided_by : str
        Node that decided it.
    decided_at : float
        Boot time of the decision, in seconds.
    ends_at : float
        Boot time until which it is in force, in seconds.
    server_ends : int
        Servers that had ended under such requests.
    is_released : bool
        Whether an operator let such requests go on.
    software : frozenset of str
        Services and software versions of the servers that ended.
    origin : RequestOrigin
        Where such a request came from, if it is a whole request.
    """

    cause_ids: frozenset[str]
    decided_by: str
    decided_at: float
    ends_at: float
    server_ends: int
    is_released: bool = False
    software: frozenset[str] = frozenset()
    origin: RequestOrigin = UNKNOWN_ORIGIN

    @property
    def is_on_request(self) -> bool:
        """Whether it is on a whole request, not on parts of prompts alone."""
        return any(is_fingerprint(cause_id) for cause_id in self.cause_ids)

    def forbids(self, software: str) -> bool:
        """Whether such requests may not be sent to servers of a service and version."""
        return not self.is_on_request or software in self.software


class Holds:
    """Decisions on sets of causes, the newest of each set."""

    def __init__(self) -> None:
        self._hold_by_causes: dict[frozenset[str], Hold] = {}

    def __len__(self) -> int:
        return sum(1 for hold in self._hold_by_causes.values() if not hold.is_released)

    def count_on_requests(self) -> int:
        """Return the number of decisions that hold whole requests back."""
        return sum(
            1
            for hold in self._hold_by_causes.values()
            if hold.is_on_request and not hold.is_released
        )

    def add(self, hold: Hold) -> bool:
        """Add a decision; return whether it is news."""
        known = self._hold_by_causes.get(hold.cause_ids)
        if known is not None:
            gap_s = hold.decided_at - known.decided_at
            is_other = hold.is_released != known.is_released
            is_wider = not is_other and not (hold.software <= known.software)
            if not is_other:
                versions = hold.software | known.software
                hold = replace(hold, software=versions)
            if not is_wider and gap_s < (0 if is_other else MIN_DECISION_GAP_S):
                return False
        elif len(self._hold_by_causes) >= MAX_HOLDS:
            logger.bind(parts=sorted(hold.cause_ids)).warning("prompt.holds_full")
            return False
        self._hold_by_causes[hold.cause_ids] = hold
        return True

    def add_notice(self, notice: HoldNotice, now: float) -> Hold | None:
        """Add a peer's decision; return it if it is news."""
        if notice.left_s <= 0 or not notice.part_ids:
            return None
        hold = Hold(
            frozenset(notice.part_ids),
            notice.decided_by,
            now - max(0.0, notice.age_s),
            now + min(notice.left_s, HOLD_S),
            notice.server_ends,
            notice.is_released,
            frozenset(notice.software),
            RequestOrigin(notice.account, notice.path),
        )
        return hold if self.add(hold) else None

    def was_decided_by(self, node_id: str, cause_ids: Iterable[str]) -> bool:
        """Whether the known decision on exactly these causes is one of a node."""
        known = self._hold_by_causes.get(frozenset(cause_ids))
        return known is not None and known.decided_by == node_id

    def find(self, cause_ids: Iterable[str], now: float) -> Hold | None:
        """Return a decision that holds a request with these causes back, or None.

        A release of any of its causes lets the request go on.
        """
        if not self._hold_by_causes:
            return None
        present = frozenset(cause_ids)
        found = None
        for hold in self._hold_by_causes.values():
            if hold.ends_at <= now or not hold.cause_ids <= present:
                continue
            if hold.is_released:
                return None
            found = hold
        return found

    def is_on(self, cause_id: str, now: float) -> bool:
        """Whether a decision holds requests with a cause back, alone or with others."""
        return any(
            cause_id in hold.cause_ids and not hold.is_released and hold.ends_at > now
            for hold in self._hold_by_causes.values()
        )

    def covers(
        self, cause_ids: frozenset[str], software: frozenset[str], now: float
    ) -> bool:
        """Whether a decision on these causes, or on some of them, is in force.

        One on a whole request must be on all of this software, too, unless it is a
        release.
        """
        for hold in self._hold_by_causes.values():
            if hold.ends_at <= now or not hold.cause_ids <= cause_ids:
                continue
            if hold.is_released or not hold.is_on_request:
                return True
            if software <= hold.software:
                return True
        return False

    def release(self, cause_ids: frozenset[str], node_id: str, now: float) -> Hold:
        """Let requests with these causes go on for `HOLD_S`; return the decision."""
        known = self._hold_by_causes.get(cause_ids)
        ends = known.server_ends if known is not None else 0
        origin = known.origin if known is not None else UNKNOWN_ORIGIN
        hold = Hold(
            cause_ids, node_id, now, now + HOLD_S, ends, is_released=True, origin=origin
        )
        self._hold_by_causes[cause_ids] = hold
        return hold

    def remove_expired(self, now: float) -> list[Hold]:
        """Remove the decisions that are no longer in force, and return them."""
        expired = [h for h in self._hold_by_causes.values() if h.ends_at <= now]
        for hold in expired:
            del self._hold_by_causes[hold.cause_ids]
        return expired

    def list_all(self) -> list[Hold]:
        """Return all decisions."""
        return list(self._hold_by_causes.values())

    def build_notices(self, now: float) -> tuple[HoldNotice, ...]:
        """Return the decisions as messages to peers."""
        return tuple(
            build_notice(hold, now)
            for hold in self._hold_by_causes.values()
            if hold.ends_at > now
        )


def build_notice(hold: Hold, now: float) -> HoldNotice:
    """Return a decision as a message to peers."""
    return HoldNotice(
        tuple(sorted(hold.cause_ids)),
        hold.decided_by,
        now - hold.decided_at,
        hold.ends_at - now,
        hold.server_ends,
        hold.is_released,
        tuple(sorted(hold.software)),
        hold.origin.account,
        hold.origin.path,
    )


__all__ = ("HOLD_S", "Hold", "Holds", "build_notice")
