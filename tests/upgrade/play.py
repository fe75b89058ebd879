"""Plays an operator's work on a cluster of two builds, and judges it."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
from pathlib import Path
from typing import TYPE_CHECKING

from tests.upgrade.checks import Checker
from tests.upgrade.clients import Load
from tests.upgrade.deployment import Deployment
from tests.upgrade.logs import list_log_faults, list_type_faults
from tests.upgrade.timeline import Timeline
from tests.upgrade.trees import NEW
from tests.upgrade.work import Operator

if TYPE_CHECKING:
    from tests.upgrade.trees import Tree

SEEDS = (1,)
REQUESTS_PER_S = 18.0
SLOW_EVERY = 3


def choose_seeds() -> list[int]:
    """Return the seeds that `UPGRADE_SEEDS` names, as `FIRST:END`, or that of CI."""
    first, _, last = os.environ.get("UPGRADE_SEEDS", "").partition(":")
    return list(range(int(first), int(last))) if last else list(SEEDS)


async def play(
    old: Tree, seed: int, folder: Path, operator_type: type[Operator] = Operator
) -> tuple[list[str], list[str]]:
    """Return the findings and notes of a run.

    Parameters
    ----------
    old : Tree
        Older build; the newer one is that beside the tests.
    seed : int
        Seed of the load and of the operator's choices.
    folder : Path
        Folder of settings and logs.
    operator_type : type of Operator
        What is done to the cluster.
    """
    rng = random.Random(seed)
    deployment = Deployment(folder, old, NEW, operator_type.linked_nodes, SLOW_EVERY)
    try:
        await deployment.start()
        timeline = Timeline()
        load = Load(deployment, random.Random(rng.random()), REQUESTS_PER_S)
        operator = operator_type(
            deployment, load, timeline, random.Random(rng.random())
        )
        sending = asyncio.ensure_future(load.run())
        await operator.run()
        sending.cancel()
        await load.finish()
        for node in deployment.nodes:
            await deployment.read_metrics(node)
    finally:
        await deployment.stop()
    checker = Checker(deployment, load.attempts, load.cut_lookups, timeline)
    findings = checker.list_findings()
    findings += list_log_faults(deployment.nodes, deployment.builds_failing_at_resets)
    findings += list_type_faults(deployment.nodes, old.name, NEW.name)
    return findings, timeline.notes


def keep(folder: Path, name: str, notes: list[str], findings: list[str]) -> str:
    """Print the report of a run, keep it with the logs if asked to, and return it."""
    report = "\n".join([*notes, *findings])
    (folder / "report.txt").write_text(report + "\n")
    if "UPGRADE_KEEP" in os.environ:
        target = Path(os.environ["UPGRADE_KEEP"]) / name
        shutil.copytree(folder, target, dirs_exist_ok=True)
    print(report)
    return report


__all__ = ("choose_seeds", "keep", "play")
