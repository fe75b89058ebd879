"""Counts the outcomes of requests by route and by old or new version."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from persimmonlink_router.rollouts.rollout_messages import RouteEvidence

MIN_TIME_S = 0.001  # Shorter response times fall into the first bucket.
BUCKETS_PER_DOUBLING = 2  # Buckets of response times between a time and its double.
BUCKETS = 40  # The last bucket begins at 740 s.
MAX_ROUTES = 256  # Routes of a service that are told apart.
OTHER_ROUTES = ""  # Name under which outcomes of further routes are counted.


def find_bucket(time_s: float) -> int:
    """Return the bucket of a response time in seconds, from 0 to `BUCKETS` - 1."""
    if time_s <= MIN_TIME_S:
        return 0
    bucket = math.floor(BUCKETS_PER_DOUBLING * math.log2(time_s / MIN_TIME_S))
    return min(BUCKETS - 1, bucket)


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of requests, all since the order.

    Attributes
    ----------
    answered : int
        Requests that servers answered well.
    failed : int
        Requests that servers failed, or answered in part.
    count_by_bucket : dict of int to int
        Number of responses by the bucket of the time until they began.
    given_up_by_bucket : dict of int to int
        Number of requests that were given up before that, by the bucket of the time
        until then. The time until the response would have been longer.
    """

    answered: int = 0
    failed: int = 0
    count_by_bucket: dict[int, int] = field(default_factory=dict)
    given_up_by_bucket: dict[int, int] = field(default_factory=dict)

    @property
    def outcomes(self) -> int:
        """Number of requests whose outcome is known."""
        return self.answered + self.failed

    def add(self, other: OutcomeCounts) -> None:
        """Add the counts of another node."""
        self.answered += other.answered
        self.failed += other.failed
        for bucket, count in other.count_by_bucket.items():
            self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + count
        for bucket, count in other.given_up_by_bucket.items():
            known = self.given_up_by_bucket.get(bucket, 0)
            self.given_up_by_bucket[bucket] = known + count


class VersionEvidence:
    """Outcomes that one node has seen of a rollout, by route and side.

    A side is the new version (True) or the old ones (False).
    """

    def __init__(self) -> None:
        self.counts_by_side: dict[tuple[str, bool], OutcomeCounts] = {}

    def record_answer(self, route: str, time_s: float | None, *, is_new: bool) -> None:
        """Record a good response that began after a time in seconds, if that counts."""
        counts = self._find_counts(route, is_new=is_new)
        counts.answered += 1
        if time_s is None:
            return
        bucket = find_bucket(time_s)
        counts.count_by_bucket[bucket] = counts.count_by_bucket.get(bucket, 0) + 1

    def record_given_up(self, route: str, time_s: float, *, is_new: bool) -> None:
        """Record a request that was given up after a time in seconds."""
        by_bucket = self._find_counts(route, is_new=is_new).given_up_by_bucket
        bucket = find_bucket(time_s)
        by_bucket[bucket] = by_bucket.get(bucket, 0) + 1

    def record_failure(self, route: str, *, is_new: bool) -> None:
        """Record a request that a server failed."""
        self._find_counts(route, is_new=is_new).failed += 1

    def _find_counts(self, route: str, *, is_new: bool) -> OutcomeCounts:
        counts = self.counts_by_side.get((route, is_new))
        if counts is None and len(self.counts_by_side) >= 2 * MAX_ROUTES:
            route = OTHER_ROUTES
            counts = self.counts_by_side.get((route, is_new))
        if counts is None:
            counts = self.counts_by_side[route, is_new] = OutcomeCounts()
        return counts


def read_evidence(
    reports: Iterable[RouteEvidence],
) -> dict[tuple[str, bool], OutcomeCounts]:
    """Return the counts of a peer's report by route and side.

    What lies out of range is left out.
    """
    counts_by_side: dict[tuple[str, bool], OutcomeCounts] = {}
    for report in reports:
        if len(counts_by_side) >= 2 * MAX_ROUTES + 2:
            break
        counts_by_side[report.route, report.is_new] = OutcomeCounts(
            report.answered,
            report.failed,
            _keep_known(report.count_by_bucket),
            _keep_known(report.given_up_by_bucket),
        )
    return counts_by_side


def _keep_known(count_by_bucket: Mapping[int, int]) -> dict[int, int]:
    """Return the counts of the buckets that exist."""
    return {b: count for b, count in count_by_bucket.items() if 0 <= b < BUCKETS}


__all__ = (
    "BUCKETS",
    "BUCKETS_PER_DOUBLING",
    "OutcomeCounts",
    "VersionEvidence",
    "find_bucket",
    "read_evidence",
)
