"""How much work one backend server bears: cold, ramping or warm."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_PAST_INCARNATIONS = 16


class ServerPhase(StrEnum):
    """What is known of a server's warmth."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


@dataclass(frozen=True)
class ServerLimits:
    """Limits of the servers of one pool.

    Parameters
    ----------
    warm_slots : int
        Requests in flight that a warm server bears.
    cold_slots : int
        Requests in flight that a cold server bears.
    warm_after : int
        Completions after which a cold server that reports no load counts as warm.
    report_lag_s : float
        Longest lag of a load report, in seconds.
    """

    warm_slots: int
    cold_slots: int
    warm_after: int
    report_lag_s: float = 1.0


class PoolServer:
    """One server of a pool; unknown ones count as cold.

    Guarded by its owner; holds no lock of its own.

    Parameters
    ----------
    server_id : str
        Name of the server.
    """

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.phase = ServerPhase.COLD
        self.incarnation = ""
        self.in_service = True
        self.reachable = True
        self.reports_load = False
        self.completions = 0
        self._past_incarnations: list[str] = []
        self._had_incident = False
        self._report_lag_ends_at = 0.0

    def limit(self, limits: ServerLimits) -> int:
        """Return the requests that may be in flight on the server."""
        if not self.in_service or not self.reachable:
            return 0
        if self.phase is ServerPhase.WARM:
            return limits.warm_slots
        cold_slots = min(limits.cold_slots, limits.warm_slots)
        if self.phase is ServerPhase.COLD:
            return cold_slots
        return min(limits.warm_slots, cold_slots + self.completions)

    @property
    def has_restarted(self) -> bool:
        """Whether the present incarnation is not the first one met here."""
        return bool(self._past_incarnations)

    def enter_cold(self) -> None:
        """Count the server as cold from now on."""
        self.phase = ServerPhase.COLD
        self.completions = 0
        self._had_incident = True

    def record_fault(self, limits: ServerLimits, now: float) -> None:
        """Take in a reset, a refusal or a first byte far too late.

        A load report may lag, so that one of the same incarnation proves nothing
        until the lag is over.
        """
        self.enter_cold()
        self._report_lag_ends_at = now + limits.report_lag_s

    def record_incarnation(
        self, incarnation: str, limits: ServerLimits, now: float
    ) -> bool:
        """Take in the incarnation of an answer; return whether it is a new one."""
        if not incarnation or incarnation == self.incarnation:
            return False
        if incarnation in self._past_incarnations:
            return False
        known = self.incarnation
        self.incarnation = incarnation
        if not known:
            return False
        self._past_incarnations.append(known)
        del self._past_incarnations[:-MAX_PAST_INCARNATIONS]
        self.enter_cold()
        self._report_lag_ends_at = now + limits.report_lag_s
        return True

    def apply_report(
        self, incarnation: str, *, warm: bool, limits: ServerLimits, now: float
    ) -> bool:
        """Take in a load report; return whether the server turned cold."""
        self.reports_load = True
        if incarnation in self._past_incarnations:
            return False
        if self.incarnation not in ("", incarnation) and now < self._report_lag_ends_at:
            return False
        turned_cold = self.record_incarnation(incarnation, limits, now)
        if turned_cold:
            # The report is of the new incarnation itself.
            self._report_lag_ends_at = now
        if not warm:
            was_cold = self.phase is ServerPhase.COLD
            if not was_cold:
                self.enter_cold()
            return turned_cold or not was_cold
        if self.phase is ServerPhase.COLD and now >= self._report_lag_ends_at:
            self._leave_cold()
        return turned_cold

    def record_completions(
        self, count: int, incarnation: str, limits: ServerLimits
    ) -> None:
        """Count successful completions of an incarnation towards warmth."""
        if incarnation != self.incarnation or count <= 0:
            return
        self.completions += count
        if self.phase is ServerPhase.COLD:
            if not self.reports_load and self.completions >= limits.warm_after:
                self._had_incident = True
                self._leave_cold()
        elif self.limit(limits) >= limits.warm_slots:
            self.phase = ServerPhase.WARM

    def remove_from_service(self) -> None:
        """Take the server out of service: leaving, or its domain drained."""
        self.in_service = False

    def return_to_service(self) -> None:
        """Bring the server back into service, cold."""
        if self.in_service:
            return
        self.in_service = True
        self.enter_cold()

    def _leave_cold(self) -> None:
        # Only a server that nothing was held against starts at its full limit.
        self.completions = 0
        self.phase = ServerPhase.RAMPING if self._had_incident else ServerPhase.WARM


__all__ = ("PoolServer", "ServerLimits", "ServerPhase")
