"""All nodes of a cluster replaced one after the other, as the platform does.

The variables of `test_mixed_builds.py` choose other builds and seeds.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.upgrade.play import choose_seeds, keep, play
from tests.upgrade.rolling import RollingUpgrade
from tests.upgrade.trees import COMMITS


@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", choose_seeds())
@pytest.mark.parametrize("commit", COMMITS)
def test_replacing_all_nodes_in_turn_breaks_no_rule(tmp_path, find_tree, commit, seed):
    old = find_tree(commit)
    findings, notes = asyncio.run(play(old, seed, tmp_path, RollingUpgrade))
    report = keep(tmp_path, f"rolling-{commit}-{seed}", notes, findings)
    assert findings == [], report
