"""Decides by outcomes whether a new version is worse than the old ones.

On each route, the outcomes of the new version are compared with those of the old ones
in the same seconds, so that load and trouble that both meet tell nothing. Two
cumulative sums, one of failures and one of slow responses, rise with each outcome that
is likelier if the version is bad, and fall with the others, to 0 at the least. A
version that turns bad late is thus found as soon as one that is bad from the start.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_router.rollouts.version_evidence import (
    BUCKETS_PER_DOUBLING,
    OutcomeCounts,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Chance of an alarm by a run of outcomes that a sound version gives too. A trial has
# some hundreds of outcomes, with each of which a run may begin.
FALSE_ALARM_CHANCE = 0.00005
ALARM_SCORE = math.log(1 / FALSE_ALARM_CHANCE)
# A sound version is expected to fail as often as the old ones, or as this if they fail
# less often; a bad one at least this much more often.
LEAST_FAILURE_SHARE = 0.02
BAD_FAILURE_EXCESS = 0.15
# Old outcomes that weigh as much as `LEAST_FAILURE_SHARE` does.
PRIOR_OUTCOMES = 25.0
# Factor by which the response times of a bad version are longer, at least.
BAD_SLOWDOWN = 2.0
# Buckets of times by which the times of a sound version vary, at least.
LEAST_SPREAD_BUCKETS = 0.8
# Most that one response time weighs: single ones say little of a version.
MAX_TIME_WEIGHT = 2.0
MAX_SHARE = 0.95  # Largest share of failures that a bad version is expected to have.
MIN_TIMES = 10.0  # Old response times without which new ones aren't compared.
# Time in which the weight of old outcomes of a route halves, in seconds.
HALF_LIFE_S = 5.0
# The same for those of all routes together, which show sudden trouble of all versions.
SUDDEN_HALF_LIFE_S = 0.7
SUDDEN_PRIOR_OUTCOMES = 5.0
# Outcomes of the new version without which nothing is known of it: of as many, a
# version that fails three in ten gives none that is bad with a chance of 0.005.
MIN_OUTCOMES = 15
# Standard errors by which failure shares over the whole trial must differ.
END_STANDARD_ERRORS = 3.5
ALL_ROUTES = "*"  # Name under which the scores of all routes together are kept.


@dataclass(slots=True)
class _Scores:
    failure: float = 0.0
    slow: float = 0.0


@dataclass(slots=True)
class _OldWindow:
    """Old outcomes of one route, the recent ones with more weight."""

    answered: float = 0.0
    failed: float = 0.0
    times: dict[int, float] = field(default_factory=dict)

    def add(self, increment: OutcomeCounts, fade: float) -> None:
        self.answered = self.answered * fade + increment.answered
        self.failed = self.failed * fade + increment.failed
        for bucket in self.times:
            self.times[bucket] *= fade
        for bucket, count in increment.count_by_bucket.items():
            self.times[bucket] = self.times.get(bucket, 0.0) + count

    @property
    def failure_share(self) -> float:
        outcomes = self.answered + self.failed + PRIOR_OUTCOMES
        return (self.failed + PRIOR_OUTCOMES * LEAST_FAILURE_SHARE) / outcomes

    def measure_times(self) -> tuple[float, float] | None:
        """Return mean and standard deviation of the times in buckets, or None."""
        total = sum(self.times.values())
        if total < MIN_TIMES:
            return None
        mean = sum(b * count for b, count in self.times.items()) / total
        squares = sum(count * (b - mean) ** 2 for b, count in self.times.items())
        return mean, max(LEAST_SPREAD_BUCKETS, math.sqrt(squares / total))


@dataclass(slots=True)
class _SuddenMean:
    """Mean of a figure over the old outcomes of all routes in the last second."""

    total: float = 0.0
    count: float = 0.0

    def add(self, total: float, count: float, fade: float) -> None:
        self.total = self.total * fade + total
        self.count = self.count * fade + count

    @property
    def mean(self) -> float:
        return self.total / (self.count + SUDDEN_PRIOR_OUTCOMES)


@dataclass(frozen=True, slots=True)
class Finding:
    """Why a version is taken for bad.

    Parameters
    ----------
    route : str
        Route on which it is.
    reason : str
        What differs, with the figures.
    """

    route: str
    reason: str


class VersionJudge:
    """Follows the outcomes of a trial, summed over all nodes."""

    def __init__(self) -> None:
        self.finding: Finding | None = None
        self._scores_by_route: dict[str, _Scores] = {}
        self._window_by_route: dict[str, _OldWindow] = {}
        self._sudden_failures = _SuddenMean()
        # By how many buckets old times are longer than in the seconds before.
        self._sudden_delay = _SuddenMean()
        self._seen_by_side: dict[tuple[str, bool], OutcomeCounts] = {}
        self._updated_at = -math.inf

    def update(
        self, totals_by_side: Mapping[tuple[str, bool], OutcomeCounts], now: float
    ) -> Finding | None:
        """Take all outcomes so far; return why the new version is bad, or None.

        Parameters
        ----------
        totals_by_side : Mapping of (str, bool) to OutcomeCounts
            Outcomes since the order by route and side.
        now : float
            Boot time, in seconds.
        """
        passed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        routes = sorted({route for route, _ in totals_by_side})
        self._add_old(routes, totals_by_side, passed_s)
        for route in routes:
            increment = self._take_new((route, True), totals_by_side)
            self._add_new(route, increment)
        return self.finding

    def find_end_verdict(self) -> Finding | None:
        """Return why the new version may not take over at the end of the trial.

        None if it may. A version of which too little is known may not.
        """
        if self.finding is not None:
            return self.finding
        outcomes = sum(
            counts.outcomes
            for (_, is_new), counts in self._seen_by_side.items()
            if is_new
        )
        if outcomes < MIN_OUTCOMES:
            return Finding(
                "", f"{outcomes} outcomes of the new version tell too little"
            )
        for route in sorted(self._window_by_route):
            finding = self._compare_totals(route)
            if finding is not None:
                return finding
        return None

    def _take_new(
        self,
        side: tuple[str, bool],
        totals_by_side: Mapping[tuple[str, bool], OutcomeCounts],
    ) -> OutcomeCounts:
        """Return the outcomes of a side since the last update.

        Totals fall when a node leaves with what it has seen; then there are none.
        """
        total = totals_by_side.get(side, OutcomeCounts())
        seen = self._seen_by_side.setdefault(side, OutcomeCounts())
        increment = OutcomeCounts(
            max(0, total.answered - seen.answered),
            max(0, total.failed - seen.failed),
            _subtract(total.count_by_bucket, seen.count_by_bucket),
            _subtract(total.given_up_by_bucket, seen.given_up_by_bucket),
        )
        seen.add(increment)
        return increment

    def _add_old(
        self,
        routes: Sequence[str],
        totals_by_side: Mapping[tuple[str, bool], OutcomeCounts],
        passed_s: float,
    ) -> None:
        """Take the outcomes of old versions since the last update."""
        fade = 0.5 ** (passed_s / HALF_LIFE_S)
        failed = outcomes = times = 0
        delay = 0.0
        for route in routes:
            window = self._window_by_route.setdefault(route, _OldWindow())
            increment = self._take_new((route, False), totals_by_side)
            failed += increment.failed
            outcomes += increment.outcomes
            measured = window.measure_times()
            if measured is not None:
                for bucket, count in increment.count_by_bucket.items():
                    delay += count * (bucket - measured[0])
                    times += count
            window.add(increment, fade)
        sudden_fade = 0.5 ** (passed_s / SUDDEN_HALF_LIFE_S)
        self._sudden_failures.add(failed, outcomes, sudden_fade)
        self._sudden_delay.add(delay, times, sudden_fade)

    def _add_new(self, route: str, increment: OutcomeCounts) -> None:
        """Take outcomes of the new version on a route since the last update."""
        window = self._window_by_route[route]
        share = max(
            LEAST_FAILURE_SHARE, window.failure_share, self._sudden_failures.mean
        )
        bad_share = 2 * share + BAD_FAILURE_EXCESS
        failure_step = _weigh_failures(
            increment.answered, increment.failed, share, bad_share
        )
        slow_step = 0.0
        measured = window.measure_times()
        if measured is not None:
            mean = measured[0] + max(0.0, self._sudden_delay.mean)
            slow_step = _weigh_times(increment, mean, measured[1])
        for name in (route, ALL_ROUTES):
            scores = self._scores_by_route.setdefault(name, _Scores())
            scores.failure = max(0.0, scores.failure + failure_step)
            scores.slow = max(0.0, scores.slow + slow_step)
            self._find_alarm(name, scores, share)

    def _find_alarm(self, route: str, scores: _Scores, share: float) -> None:
        if self.finding is not None:
            return
        if scores.failure >= ALARM_SCORE:
            self.finding = Finding(
                route,
                f"it fails more than {share:.3f} of the requests, as old versions do "
                f"(score {scores.failure:.1f})",
            )
        elif scores.slow >= ALARM_SCORE:
            self.finding = Finding(
                route, f"its responses begin later (score {scores.slow:.1f})"
            )

    def _compare_totals(self, route: str) -> Finding | None:
        """Compare the failure shares of both sides over the whole trial."""
        new = self._seen_by_side.get((route, True), OutcomeCounts())
        old = self._seen_by_side.get((route, False), OutcomeCounts())
        if not new.outcomes:
            return None
        new_share = new.failed / new.outcomes
        old_share = (old.failed + PRIOR_OUTCOMES * LEAST_FAILURE_SHARE) / (
            old.outcomes + PRIOR_OUTCOMES
        )
        pooled = (new.failed + old.failed + 1) / (new.outcomes + old.outcomes + 2)
        error = math.sqrt(
            pooled * (1 - pooled) * (1 / new.outcomes + 1 / (old.outcomes + 1))
        )
        if new_share - old_share <= END_STANDARD_ERRORS * error:
            return None
        return Finding(
            route, f"it failed {new_share:.3f} of all requests, the old {old_share:.3f}"
        )


def _subtract(total: Mapping[int, int], seen: Mapping[int, int]) -> dict[int, int]:
    """Return by how much counts are over those seen before, where they are."""
    return {b: c - seen.get(b, 0) for b, c in total.items() if c > seen.get(b, 0)}


def _weigh_failures(good: int, bad: int, sound_share: float, bad_share: float) -> float:
    """Return the logarithm of how much likelier outcomes are at a bad version.

    Parameters
    ----------
    good, bad : int
        Outcomes.
    sound_share, bad_share : float
        Share of bad outcomes that a sound and a bad version give.
    """
    sound_share = min(MAX_SHARE, sound_share)
    bad_share = min(MAX_SHARE, bad_share)
    if bad_share <= sound_share:
        return 0.0
    return bad * math.log(bad_share / sound_share) + good * math.log(
        (1 - bad_share) / (1 - sound_share)
    )


def _weigh_times(counts: OutcomeCounts, mean: float, spread: float) -> float:
    """Return the logarithm of how much likelier times are at a bad version.

    Logarithms of times are taken as normally distributed. Of a request that was given
    up, only a long time tells anything: it would have taken longer still.

    Parameters
    ----------
    counts : OutcomeCounts
        Outcomes of the new version.
    mean, spread : float
        Mean and standard deviation of the old versions' times, in buckets.
    """
    shift = BUCKETS_PER_DOUBLING * math.log2(BAD_SLOWDOWN)
    score = 0.0
    for bucket, count in counts.count_by_bucket.items():
        score += count * _weigh_time(bucket - mean, shift, spread)
    for bucket, count in counts.given_up_by_bucket.items():
        score += count * max(0.0, _weigh_time(bucket - mean, shift, spread))
    return score


def _weigh_time(delay: float, shift: float, spread: float) -> float:
    weight = shift * (delay - shift / 2) / spread**2
    return max(-MAX_TIME_WEIGHT, min(MAX_TIME_WEIGHT, weight))


__all__ = ("Finding", "VersionJudge")
