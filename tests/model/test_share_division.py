"""Whole slots are divided by weighted max-min fairness, and none is left over."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.share_division import divide_slots

ACCOUNTS = st.sampled_from(["crew", "members", "gate", "repair"])
NODES = st.sampled_from(["n1", "n2", "n3"])
DEMAND = st.dictionaries(st.tuples(NODES, ACCOUNTS), st.integers(0, 40), max_size=12)
WEIGHTS = st.dictionaries(ACCOUNTS, st.floats(0.1, 10))
SLOTS = st.integers(0, 60)
ROTATIONS = st.integers(0, 1000)


def _sum_by_account(values) -> dict[str, float]:
    total_by_account: dict[str, float] = {}
    for (_, account), value in values.items():
        total_by_account[account] = total_by_account.get(account, 0) + value
    return total_by_account


@given(SLOTS, DEMAND, WEIGHTS, ROTATIONS)
def test_all_slots_are_divided_and_none_exceeds_demand(
    slots, demand, weights, rotation
):
    given_slots = divide_slots(slots, demand, weights, rotation)
    assert sum(given_slots.values()) == min(slots, sum(demand.values()))
    for pair, count in given_slots.items():
        assert 0 < count <= demand[pair]


@given(SLOTS, DEMAND, WEIGHTS, ROTATIONS)
def test_unsatisfied_accounts_are_level_up_to_rounding(
    slots, demand, weights, rotation
):
    given_by_account = _sum_by_account(divide_slots(slots, demand, weights, rotation))
    for account, wanted in _sum_by_account(demand).items():
        own = given_by_account.get(account, 0)
        if own >= wanted:
            continue
        level = (own + 1) / weights.get(account, 1.0)
        for other, count in given_by_account.items():
            assert (count - 1) / weights.get(other, 1.0) <= level + 1e-6


@given(SLOTS, DEMAND, WEIGHTS, ROTATIONS, ACCOUNTS)
def test_spreading_demand_over_nodes_gains_nothing(
    slots, demand, weights, rotation, account
):
    gathered = {pair: n for pair, n in demand.items() if pair[1] != account}
    gathered["n1", account] = _sum_by_account(demand).get(account, 0)
    spread = _sum_by_account(divide_slots(slots, demand, weights, rotation))
    assert spread == _sum_by_account(divide_slots(slots, gathered, weights, rotation))


@given(SLOTS, DEMAND, WEIGHTS, st.integers(0, 100))
def test_mean_over_rotations_is_the_exact_share(slots, demand, weights, start):
    rotations = 60
    total_by_account: dict[str, int] = {}
    for rotation in range(start, start + rotations):
        given_slots = divide_slots(slots, demand, weights, rotation)
        for account, count in _sum_by_account(given_slots).items():
            total_by_account[account] = total_by_account.get(account, 0) + count
    exact = _bisect_shares(slots, _sum_by_account(demand), weights)
    for account, share in exact.items():
        mean = total_by_account.get(account, 0) / rotations
        assert math.isclose(mean, share, abs_tol=0.1)


def _bisect_shares(slots, wanted_by_account, weights) -> dict[str, float]:
    """Find by bisection the common level at which the slots are used up."""
    low, high = 0.0, 1e6

    def fill(level: float) -> dict[str, float]:
        return {
            account: min(wanted, level * weights.get(account, 1.0))
            for account, wanted in wanted_by_account.items()
        }

    for _ in range(100):
        middle = (low + high) / 2
        if sum(fill(middle).values()) > slots:
            high = middle
        else:
            low = middle
    return fill(low)
