"""Randomized run of the whole deployment under planned work, judged from outside.

CI runs the seeds in `SEEDS`. By hand, `PLAY_SEEDS=10:20 PLAY_SECONDS=50` runs others;
`PLAY_LOAD` is a factor of the load, `PLAY_NODE_FACTOR` of the number of nodes,
`PLAY_CPU_SHARE` the share of a core that a node gets, `PLAY_STORE_DELAY_S` the time by
which all answers of the store are late.
`PLAY_TREE`, `PLAY_TREE_AFTER` and `PLAY_TREES` choose the sources of the nodes (see
`choose_trees`), and all runs are copied into the folder `PLAY_KEEP`.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import shutil
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
from tests.planned_work.checks import check_all
from tests.planned_work.crowded_operator import CrowdedOperator
from tests.planned_work.dense_operator import DenseOperator
from tests.planned_work.deployment import Deployment
from tests.planned_work.load import send_load
from tests.planned_work.operator import Operator
from tests.planned_work.plan import BOOKINGS, HABITS, MIXED, Plan
from tests.planned_work.record import Record

SEEDS = (1, 2)
BOOKING_SEEDS = (5,)
HABIT_SEEDS = (1,)
DURATION_S = float(os.environ.get("PLAY_SECONDS", "20"))
LOAD_FACTOR = float(os.environ.get("PLAY_LOAD", "1.0"))
NODE_FACTOR = int(os.environ.get("PLAY_NODE_FACTOR", "1"))
CPU_SHARE = float(os.environ.get("PLAY_CPU_SHARE", "0"))
STORE_DELAY_S = float(os.environ.get("PLAY_STORE_DELAY_S", "0"))
MIN_SERVED_SHARE = 0.4  # The users allow that 60 % are refused or fail.


def choose_seeds(seeds: tuple[int, ...]) -> list[int]:
    first, _, last = os.environ.get("PLAY_SEEDS", "").partition(":")
    return list(range(int(first), int(last))) if last else list(seeds)


@pytest.mark.timeout(DURATION_S + 120)
@pytest.mark.parametrize("seed", choose_seeds(SEEDS))
def test_planned_work_loses_nothing(tmp_path, seed):
    check_run(seed, tmp_path, MIXED)


@pytest.mark.timeout(DURATION_S + 120)
@pytest.mark.parametrize("seed", choose_seeds(BOOKING_SEEDS))
def test_bookings_around_stops_are_answered(tmp_path, seed):
    check_run(seed, tmp_path, BOOKINGS)


@pytest.mark.timeout(DURATION_S + 120)
@pytest.mark.parametrize("seed", choose_seeds(HABIT_SEEDS))
def test_unusual_clients_and_servers_lose_nothing_around_stops(tmp_path, seed):
    check_run(seed, tmp_path, HABITS)


def check_run(seed: int, tmp_path: Path, plan: Plan) -> None:
    """Run the deployment by a plan, and judge what was seen."""
    plan = replace(
        plan,
        node_factor=NODE_FACTOR,
        cpu_share=CPU_SHARE,
        store_delay_s=STORE_DELAY_S,
    )
    record = asyncio.run(run_deployment(seed, tmp_path, plan))
    findings, notes = check_all(record, tmp_path)
    outcomes = Counter((a.entry.name, a.status, a.end) for a in record.attempts)
    lines = [
        f"{name} {status} {end}: {n}"
        for (name, status, end), n in sorted(outcomes.items())
    ]
    lines += notes + [finding.text for finding in findings]
    report = "\n".join(lines)
    (tmp_path / "findings.txt").write_text(report + "\n")
    events = [
        f"{event.at - record.began_at:.3f} {event.name} {event.subject} {event.details}"
        for event in record.events
    ]
    (tmp_path / "events.txt").write_text("\n".join(events) + "\n")
    counts = Counter(finding.rule for finding in findings)
    print(f"seed {seed}: {dict(counts)}")
    if os.environ.get("PLAY_KEEP"):
        target = Path(os.environ["PLAY_KEEP"]) / f"{plan.name}-{seed}"
        shutil.copytree(tmp_path, target, dirs_exist_ok=True)
    served = sum(
        1
        for chain in record.chains
        if chain.attempts
        and chain.attempts[-1].is_complete
        and chain.attempts[-1].status == 200
    )
    assert served >= MIN_SERVED_SHARE * len(record.chains), report
    assert not findings, report


def choose_operator(plan: Plan) -> type[Operator]:
    """Return the operator of a plan."""
    if plan.has_crowded_stops:
        return CrowdedOperator
    return DenseOperator if plan.has_dense_stops else Operator


async def run_deployment(seed: int, folder: Path, plan: Plan) -> Record:
    rng = random.Random(seed)
    record = Record()
    deployment = Deployment(folder, record, random.Random(rng.random()), plan)
    gc.disable()  # Its pauses would count as time of the nodes.
    try:
        await deployment.start()
        operator = choose_operator(plan)(
            deployment, random.Random(rng.random()), has_kills=seed % 3 == 2
        )
        await asyncio.gather(
            send_load(deployment, random.Random(rng.random()), DURATION_S, LOAD_FACTOR),
            operator.run(DURATION_S - 10.0),
        )
    finally:
        gc.enable()
        await deployment.stop()
    return record
