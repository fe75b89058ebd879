"""Nodes of an older build and of this one side by side, replaced one after the other.

CI plays the landing in production with one seed. By hand, `UPGRADE_FROM=COMMIT,COMMIT`
plays other landings and `UPGRADE_SEEDS=10:13` other seeds; `UPGRADE_KEEP=FOLDER` keeps
the logs.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.upgrade.play import choose_seeds, keep, play
from tests.upgrade.trees import COMMITS


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", choose_seeds())
@pytest.mark.parametrize("commit", COMMITS)
def test_rules_hold_while_builds_run_side_by_side(tmp_path, find_tree, commit, seed):
    findings, notes = asyncio.run(play(find_tree(commit), seed, tmp_path))
    report = keep(tmp_path, f"{commit}-{seed}", notes, findings)
    assert findings == [], report
