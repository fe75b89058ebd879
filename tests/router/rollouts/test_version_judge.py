"""A bad version is found whenever and wherever it is bad, a sound one seldom."""

from __future__ import annotations

import random

import pytest

from persimmonlink_router.rollouts.version_evidence import VersionEvidence
from persimmonlink_router.rollouts.version_judge import MIN_OUTCOMES, VersionJudge

RATE_PER_S = 60.0  # Requests of all routes together.
TRIAL_SHARE = 0.08
STEP_S = 0.25  # Interval in which a node that decides looks at the reports.
ROUTES = ("/draft/", "/reply/", "/tag/")


class Version:
    """Outcomes of requests that servers of a version give.

    Parameters
    ----------
    failure_share : float
        Share of the requests that fail.
    slowdown : float
        Factor of the response time.
    slow_share : float
        Share of the requests that are slower by that factor.
    bad_from_s : float
        Time from which it is so; before it is sound.
    bad_route : str
        The only route on which it is so; empty for all.
    """

    def __init__(
        self,
        failure_share=0.0,
        slowdown=1.0,
        slow_share=1.0,
        bad_from_s=0.0,
        bad_route="",
    ):
        self.failure_share = failure_share
        self.slowdown = slowdown
        self.slow_share = slow_share
        self.bad_from_s = bad_from_s
        self.bad_route = bad_route

    def is_bad(self, route, at_s):
        return at_s >= self.bad_from_s and self.bad_route in ("", route)


def play(version, seed, seconds=60.0, load=lambda at_s: (0.005, 1.0)):
    """Return the judge, and how many bad outcomes the version gave until the finding.

    `load` returns the share of failures, and the factor of response times, that the
    moment gives any server.
    """
    rng = random.Random(seed)
    evidence, judge = VersionEvidence(), VersionJudge()
    bad_outcomes, at_s = 0, 0.0
    while at_s < seconds and judge.finding is None:
        at_s += STEP_S
        failure_share, factor = load(at_s)
        for _ in range(int(RATE_PER_S * STEP_S)):
            route = rng.choice(ROUTES)
            is_new = rng.random() < TRIAL_SHARE
            is_bad = is_new and version.is_bad(route, at_s)
            time_s = rng.lognormvariate(-1.5, 0.5) * factor
            is_failure = rng.random() < failure_share
            is_slow = is_bad and rng.random() < version.slow_share
            if is_bad and rng.random() < version.failure_share:
                is_failure = True
            if is_slow:
                time_s *= version.slowdown
            bad_outcomes += is_bad and (
                is_failure or (is_slow and version.slowdown > 1)
            )
            if is_failure:
                evidence.record_failure(route, is_new=is_new)
            else:
                evidence.record_answer(route, time_s, is_new=is_new)
        judge.update(evidence.counts_by_side, at_s)
    return judge, bad_outcomes


@pytest.mark.parametrize(
    "changes",
    [
        {"failure_share": 0.3},
        {"failure_share": 1.0},
        {"slowdown": 4.0},
        {"failure_share": 0.5, "bad_from_s": 20.0},
        {"slowdown": 4.0, "bad_from_s": 20.0},
        {"failure_share": 0.5, "bad_route": "/reply/"},
        {"slowdown": 5.0, "bad_route": "/reply/"},
    ],
    ids=str,
)
def test_a_bad_version_is_found_before_50_bad_outcomes(changes):
    # Guards against a bad version that takes over, or goes on past its bound.
    for seed in range(20):
        judge, bad_outcomes = play(Version(**changes), seed, seconds=120.0)
        assert judge.finding is not None, seed
        assert bad_outcomes < 50, seed


@pytest.mark.parametrize(
    "load",
    [
        lambda at_s: (0.005, 1.0),
        lambda at_s: (0.2, 1.0),
        # A burst that makes all servers slow, and some requests fail, for 10 s.
        lambda at_s: (0.3, 4.0) if 20 <= at_s < 30 else (0.005, 1.0),
    ],
    ids=["calm", "failures everywhere", "burst"],
)
def test_a_sound_version_is_seldom_accused_whatever_the_load(load):
    # Guards against rollouts taken back for trouble that meets all versions.
    accused = 0
    for seed in range(60):
        judge, _ = play(Version(), seed, load=load)
        accused += judge.finding is not None or judge.find_end_verdict() is not None
    assert accused <= 3


def test_little_evidence_lets_no_version_take_over():
    evidence, judge = VersionEvidence(), VersionJudge()
    for _ in range(MIN_OUTCOMES - 1):
        evidence.record_answer("/draft/", 0.1, is_new=True)
    judge.update(evidence.counts_by_side, 1.0)
    assert judge.find_end_verdict() is not None
    evidence.record_answer("/draft/", 0.1, is_new=True)
    judge.update(evidence.counts_by_side, 2.0)
    assert judge.find_end_verdict() is None


def test_requests_given_up_while_they_are_slow_count_as_slow():
    # A request that is overtaken elsewhere has no response time of its own.
    evidence, judge = VersionEvidence(), VersionJudge()
    for _ in range(100):
        evidence.record_answer("/look/", 0.1, is_new=False)
    for _ in range(20):
        evidence.record_given_up("/look/", 1.0, is_new=True)
    assert judge.update(evidence.counts_by_side, 1.0) is not None


def test_totals_that_fall_as_a_node_leaves_count_nothing_twice():
    evidence, judge = VersionEvidence(), VersionJudge()
    for _ in range(2):
        evidence.record_failure("/look/", is_new=True)
    judge.update(evidence.counts_by_side, 1.0)
    for _ in range(10):
        judge.update({}, 2.0)
        judge.update(evidence.counts_by_side, 3.0)
    assert judge.finding is None
