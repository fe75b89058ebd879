"""Calls go to the servers that are fast now, however long a moment lasts.

The plays answer the load of a service whose servers share their machines: their speeds
differ by factors of 1 to 5 and change ten times a second, or every few seconds.
"""

from __future__ import annotations

import math
import random
from statistics import mean

import pytest

from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.server_load.load_report import LoadReport
from persimmonlink_router.server_load.slowness_forecast import (
    REPORT_LIFETIME_S,
    SlownessForecast,
)

SERVERS = 9
STEP_S = 0.02  # Interval in which the speed of a machine may change.
CALL_S = 0.4  # Time of a call at a machine that is as fast as usual.
SERVICE = "encode"
# Chance of a change in each step: one in 5 s, and ten in a second.
LASTING = 0.004
CHANGING = 0.2


class Machine:
    """Speed of a machine: it changes to another one by chance at each step."""

    def __init__(self, rng, change_chance, usual):
        self._rng = rng
        self._change_chance = change_chance
        self._usual = usual
        self.slowness = usual

    def step(self):
        if self._rng.random() < self._change_chance:
            noise = self._rng.choice((1.0, 1.0, 1.0, 2.0, 5.0))
            self.slowness = self._usual * noise

    def run(self, work_s):
        """Run work of a time at usual speed, in seconds; return the time it takes."""
        took_s = 0.0
        while work_s > 0:
            took_s += STEP_S
            work_s -= STEP_S / self.slowness
            self.step()
        return took_s


def play(change_chance, seed, uses_reports, calls=400):
    """Send one call after another to the server that is expected to be fastest.

    Return the mean time of a call, and that of a view that sees each speed.
    """
    rng = random.Random(seed)
    machines = [Machine(rng, change_chance, rng.choice((1, 1, 1.3))) for _ in range(9)]
    health, forecast = ServerHealth(), SlownessForecast()
    times, best_times, now = [], [], 0.0
    for _ in range(calls):
        for key, machine in enumerate(machines):
            machine.step()
            if uses_reports:
                report = LoadReport(0, 0, 1, machine.slowness)
                forecast.record_report(key, report, now)
        expected = {
            key: forecast.predict(key, SERVICE, health.latency_ratio(key, now), now)
            for key in range(SERVERS)
        }
        chosen = min(expected, key=expected.get)
        forecast.record_start(chosen, health.latency_ratio(chosen, now), now)
        best_times.append(CALL_S * min(machine.slowness for machine in machines))
        took_s = machines[chosen].run(CALL_S)
        times.append(took_s)
        now += took_s
        ratio = took_s / CALL_S
        health.record_success(chosen, ratio, now)
        forecast.record_end(chosen, SERVICE, ratio)
    return mean(times[calls // 4 :]), mean(best_times[calls // 4 :])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reports_of_lasting_speeds_shorten_calls(seed):
    # Guards against servers ranked by responses of seconds ago.
    with_reports, best = play(LASTING, seed, uses_reports=True)
    without, _ = play(LASTING, seed, uses_reports=False)
    assert with_reports <= without
    assert with_reports <= 1.3 * best


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reports_that_tell_nothing_of_the_next_call_do_no_harm(seed):
    # Guards against all calls sent to whichever server looks fast for a tenth.
    with_reports, _ = play(CHANGING, seed, uses_reports=True)
    without, _ = play(CHANGING, seed, uses_reports=False)
    assert with_reports <= 1.15 * without


def make_trusted():
    """Return a forecast that has seen reports predict better."""
    forecast = SlownessForecast()
    for _ in range(20):
        forecast.record_report("a", LoadReport(0, 0, 1, 3.0), 0.0)
        forecast.record_start("a", 1.0, 0.0)
        forecast.record_end("a", SERVICE, 3.0)
    return forecast


def test_a_report_that_is_old_odd_or_missing_counts_for_nothing():
    forecast = make_trusted()
    assert forecast.predict("a", SERVICE, 1.2, 0.0) == 3.0
    assert forecast.predict("a", SERVICE, 1.2, REPORT_LIFETIME_S + 0.1) == 1.2
    assert forecast.predict("other", SERVICE, 1.2, 0.0) == 1.2
    for slowness in (None, 0.0, -1.0, math.inf, 1e6):
        forecast.record_report("a", LoadReport(0, 0, 1, slowness), 0.0)
        assert forecast.predict("a", SERVICE, 1.2, 0.0) == 1.2


def test_false_reports_are_trusted_no_longer_than_calls_bear_them_out():
    forecast = make_trusted()
    for _ in range(30):
        forecast.record_report("a", LoadReport(0, 0, 1, 0.1), 0.0)
        forecast.record_start("a", 2.0, 0.0)
        forecast.record_end("a", SERVICE, 2.0)
    assert forecast.predict("a", SERVICE, 2.0, 0.0) == 2.0


def test_a_server_that_has_started_again_is_known_by_its_new_reports_only():
    forecast = make_trusted()
    forecast.retain_servers(["b"])
    assert forecast.predict("a", SERVICE, 1.0, 0.0) == 1.0
