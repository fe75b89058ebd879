"""Operators see how often a node calls the store, and what comes of it."""

from __future__ import annotations

import asyncio

from tests.router.rig import make_rig, run, wait_until


def test_calls_are_counted_by_kind_and_outcome():
    async def scenario():
        async with make_rig() as rig:
            metrics = rig.routers[0].metrics
            await wait_until(lambda: 'kind="put",outcome="answered"' in read(metrics))
            assert 'kind="list",outcome="answered"' in read(metrics)
            rig.store.faults.status = 503
            await wait_until(
                lambda: 'kind="watch",outcome="unavailable"' in read(metrics)
            )

    run(scenario())


def test_all_calls_that_reach_the_store_are_counted():
    async def scenario():
        async with make_rig() as rig:
            await asyncio.sleep(1.5)
            lines = [
                line
                for line in read(rig.routers[0].metrics).splitlines()
                if "store_calls_total{" in line
            ]
            counted = sum(float(line.rpartition(" ")[2]) for line in lines)
            # One call may be under way.
            assert counted <= len(rig.store.called_paths) <= counted + 1

    run(scenario())


def read(metrics) -> str:
    return metrics.to_text()
