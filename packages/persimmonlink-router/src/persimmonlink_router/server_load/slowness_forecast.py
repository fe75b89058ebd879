"""How long a server's next work will take, from its reports and its past responses.

A report says how fast a server is at a moment. How much that tells of the next call
depends on how long the moment lasts: a machine that is shared for minutes stays as it
is, one whose load changes many times within a call is on average what it was before.
Which of the two predicts better is learned for each service from how calls came out.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from persimmonlink_router.server_load.load_report import LoadReport

# A report older than this says no more than past responses do, in seconds.
REPORT_LIFETIME_S = 2.0
ERROR_WEIGHT = 0.1  # Weight of the newest call in the mean errors of the predictions.
# Largest factor that is believed: a server that says more is odd, or as good as away.
MAX_SLOWNESS = 20.0


@dataclass(frozen=True, slots=True)
class _Reading:
    slowness: float
    received_at: float


@dataclass(slots=True)
class _Errors:
    """Mean errors of both predictions for a service, as logarithms of factors."""

    by_report: float = 0.0
    by_responses: float = 0.0
    calls: int = 0


@dataclass(slots=True)
class _Predictions:
    by_report: float
    by_responses: float


@dataclass(slots=True)
class SlownessForecast:
    """Predicts the factor by which work at servers takes longer than usual.

    Without a report, or with one that is odd or old, it is what responses have shown.
    """

    _reading_by_key: dict[Hashable, _Reading] = field(default_factory=dict)
    _errors_by_service: dict[str, _Errors] = field(default_factory=dict)
    _predictions_by_key: dict[Hashable, _Predictions] = field(default_factory=dict)

    def record_report(self, key: Hashable, report: LoadReport, now: float) -> None:
        """Take a server's report; a later one replaces it."""
        if report.slowness is None or not 0 < report.slowness <= MAX_SLOWNESS:
            self._reading_by_key.pop(key, None)
            return
        self._reading_by_key[key] = _Reading(report.slowness, now)

    def predict(
        self, key: Hashable, service: str, by_responses: float, now: float
    ) -> float:
        """Return the expected factor for work that begins now.

        Parameters
        ----------
        key : Hashable
            Incarnation of the server.
        service : str
            Its service.
        by_responses : float
            Factor that its past responses have shown.
        now : float
            Boot time, in seconds.
        """
        reading = self._find_reading(key, now)
        if reading is None:
            return by_responses
        errors = self._errors_by_service.get(service)
        if errors is None or errors.by_report >= errors.by_responses:
            # Until calls have shown otherwise, past responses decide.
            return by_responses
        return reading.slowness

    def record_start(self, key: Hashable, by_responses: float, now: float) -> None:
        """Keep what both would predict for a call that begins."""
        reading = self._find_reading(key, now)
        self._predictions_by_key.pop(key, None)
        if reading is not None:
            self._predictions_by_key[key] = _Predictions(
                reading.slowness, max(0.01, by_responses)
            )

    def record_end(self, key: Hashable, service: str, ratio: float) -> None:
        """Compare the predictions for a call with the factor that it took."""
        predictions = self._predictions_by_key.pop(key, None)
        if predictions is None or ratio <= 0:
            return
        errors = self._errors_by_service.setdefault(service, _Errors())
        errors.calls += 1
        weight = max(ERROR_WEIGHT, 1 / errors.calls)
        by_report = abs(math.log(ratio / predictions.by_report))
        by_responses = abs(math.log(ratio / predictions.by_responses))
        errors.by_report += weight * (by_report - errors.by_report)
        errors.by_responses += weight * (by_responses - errors.by_responses)

    def retain_servers(self, keys: Collection[Hashable]) -> None:
        """Forget all other servers: one that has started again reports anew."""
        for state in (self._reading_by_key, self._predictions_by_key):
            for key in list(state):
                if key not in keys:
                    del state[key]

    def _find_reading(self, key: Hashable, now: float) -> _Reading | None:
        reading = self._reading_by_key.get(key)
        if reading is None or now - reading.received_at > REPORT_LIFETIME_S:
            return None
        return reading


__all__ = ("REPORT_LIFETIME_S", "SlownessForecast")
