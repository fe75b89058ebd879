"""Limit of one backend server while it is cold, ramping or warm."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# Number of earlier incarnations of a server that are kept to recognize delayed reports.
MAX_PAST_INCARNATIONS = 16


class ServerPhase(StrEnum):
    """Warm-up phase of a server."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


@dataclass(frozen=True)
class ServerLimits:
    """Limits of the servers of one pool.

    Parameters
    ----------
    warm_slots : int
        Limit of requests in flight on a warm server.
    cold_slots : int
        Limit of requests in flight on a cold server.
    warm_after : int
        Completions after which a cold server without load reports starts to ramp up.
    report_lag_s : float
        Longest delay of a load report, in seconds.
    """

    warm_slots: int
    cold_slots: int
    warm_after: int
    report_lag_s: float = 1.0


class PoolServer:
    """One server of a pool; a server whose phase is unknown counts as cold.

    Not thread-safe; the owner serializes access.

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
        """Return the number of requests that may be in flight on the server."""
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
        """Whether an earlier incarnation of the server has been seen."""
        return bool(self._past_incarnations)

    def enter_cold(self) -> None:
        """Treat the server as cold from now on."""
        self.phase = ServerPhase.COLD
        self.completions = 0
        self._had_incident = True

    def record_fault(self, limits: ServerLimits, now: float) -> None:
        """Record a reset, a refusal or an overdue first byte.

        Load reports may be delayed, so a report of the same incarnation is no evidence
        of warmth until `report_lag_s` has passed.
        """
        self.enter_cold()
        self._report_lag_ends_at = now + limits.report_lag_s

    def record_incarnation(
        self, incarnation: str, limits: ServerLimits, now: float
    ) -> bool:
        """Record the incarnation named in an answer.

        Returns
        -------
        bool
            Whether it replaces a known incarnation, so that the server is cold.
        """
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
        """Apply a load report; return whether the server turned cold."""
        self.reports_load = True
        if incarnation in self._past_incarnations:
            return False
        if self.incarnation not in ("", incarnation) and now < self._report_lag_ends_at:
            return False
        turned_cold = self.record_incarnation(incarnation, limits, now)
        if turned_cold:
            # The new incarnation itself sent this report, so it is not outdated.
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
        """Count successful completions of an incarnation towards its warm-up."""
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
        """Remove a server that is leaving or whose domain is drained."""
        self.in_service = False

    def return_to_service(self) -> None:
        """Return the server to service in the cold phase."""
        if self.in_service:
            return
        self.in_service = True
        self.enter_cold()

    def _leave_cold(self) -> None:
        # A server that restarted, failed, turned cold or was out of service ramps up,
        # and so does one without load reports; any other starts at its full limit.
        self.completions = 0
        self.phase = ServerPhase.RAMPING if self._had_incident else ServerPhase.WARM


__all__ = ("PoolServer", "ServerLimits", "ServerPhase")
