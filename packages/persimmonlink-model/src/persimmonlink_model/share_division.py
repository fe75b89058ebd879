"""Division of a pool's slots over client accounts by weighted max-min fairness."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

NodeAccount = tuple[str, str]

# Fractional part of the golden ratio: its successive multiples, modulo 1, spread evenly
# over the unit interval.
ROTATION_STEP = (math.sqrt(5) - 1) / 2
ROUNDING_TOLERANCE = 1e-9


def divide_slots(
    slots: int,
    demand: Mapping[NodeAccount, float],
    weight_by_account: Mapping[str, float],
    rotation: int = 0,
) -> dict[NodeAccount, int]:
    """Divide whole slots over accounts, then each account's slots over its nodes.

    An account gets the same number whether its demand arises at one node or at all of
    them. The sum of the result is the smaller of `slots` and the total demand, where
    each node's demand is rounded up. Slots that do not divide evenly go to different
    accounts in each rotation, to each as often as the fraction in its share.

    Parameters
    ----------
    slots : int
        Slots to divide.
    demand : Mapping of (node, account) to float
        Slots wanted.
    weight_by_account : Mapping of str to float
        Weights; an account without an entry has weight 1.
    rotation : int
        Number of the rotation; equal numbers give equal results.

    Returns
    -------
    dict of (node, account) to int
        Slots of each pair that gets any.
    """
    wanted_by_account: dict[str, dict[str, int]] = {}
    for (node_id, account), wanted in sorted(demand.items()):
        if wanted <= 0:
            continue
        wanted_by_node = wanted_by_account.setdefault(account, {})
        wanted_by_node[node_id] = math.ceil(wanted - ROUNDING_TOLERANCE)
    slots_by_account = _divide_by_key(
        slots,
        {account: sum(each.values()) for account, each in wanted_by_account.items()},
        weight_by_account,
        rotation,
    )
    slots_by_node_account: dict[NodeAccount, int] = {}
    for account, account_slots in slots_by_account.items():
        by_node = _divide_by_key(
            account_slots, wanted_by_account[account], {}, rotation
        )
        for node_id, node_slots in by_node.items():
            if node_slots:
                slots_by_node_account[node_id, account] = node_slots
    return slots_by_node_account


def _divide_by_key(
    slots: int,
    wanted_by_key: Mapping[str, int],
    weight_by_key: Mapping[str, float],
    rotation: int,
) -> dict[str, int]:
    share_by_key = _compute_shares(slots, wanted_by_key, weight_by_key)
    slots_by_key: dict[str, int] = {}
    # Systematic sampling: the fractional shares are laid end to end on a line, and a
    # share that contains one of the points spaced 1 apart is rounded up. Over many
    # rotations a share contains a point as often as its length, and never two points.
    point = (rotation * ROTATION_STEP) % 1.0
    end = 0.0
    for key, share in share_by_key.items():
        whole = math.floor(share + ROUNDING_TOLERANCE)
        end += max(0.0, share - whole)
        slots_by_key[key] = whole
        if point < end - ROUNDING_TOLERANCE and whole < wanted_by_key[key]:
            slots_by_key[key] += 1
            point += 1.0
    _correct_rounding(slots, wanted_by_key, slots_by_key)
    return slots_by_key


def _compute_shares(
    slots: int,
    wanted_by_key: Mapping[str, int],
    weight_by_key: Mapping[str, float],
) -> dict[str, float]:
    """Return the weighted max-min shares before rounding."""
    share_by_key = dict.fromkeys(sorted(wanted_by_key), 0.0)
    by_relative_demand = sorted(
        wanted_by_key,
        key=lambda key: (wanted_by_key[key] / weight_by_key.get(key, 1.0), key),
    )
    remaining = float(slots)
    remaining_weight = sum(weight_by_key.get(key, 1.0) for key in by_relative_demand)
    for key in by_relative_demand:
        weight = weight_by_key.get(key, 1.0)
        share = min(float(wanted_by_key[key]), remaining * weight / remaining_weight)
        share_by_key[key] = max(0.0, share)
        remaining -= share
        remaining_weight -= weight
        if remaining_weight <= 0:
            break
    return share_by_key


def _correct_rounding(
    slots: int, wanted_by_key: Mapping[str, int], slots_by_key: dict[str, int]
) -> None:
    """Correct the sum for floating-point rounding errors."""
    rounding_error = min(slots, sum(wanted_by_key.values())) - sum(
        slots_by_key.values()
    )
    for key in slots_by_key:
        if rounding_error > 0 and slots_by_key[key] < wanted_by_key[key]:
            slots_by_key[key] += 1
            rounding_error -= 1
        elif rounding_error < 0 and slots_by_key[key] > 0:
            slots_by_key[key] -= 1
            rounding_error += 1


__all__ = ("NodeAccount", "divide_slots")
