"""Requests that are cancelled, released or refused while their stages run."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from tests.router.chains import make_job
from tests.router.rig import STAGED, make_rig, wait_until

from persimmonlink_router.stage_outcome import StageOutcome, StageState


def test_cancelled_requests_hold_no_memory():
    async def scenario():
        async with make_rig(servers=1) as rig:
            scheduler = rig.routers[0]._scheduler
            for index in range(20):
                task = asyncio.ensure_future(rig.send_request("/chain/1", **STAGED))
                await asyncio.sleep(0.005 * (index % 10))
                task.cancel()
            await wait_until(lambda: not scheduler._request_by_id)
            servers = rig.routers[0].cluster_view.servers.list_usable("stage")
            states = [scheduler.servers.state(server) for server in servers]
            await wait_until(lambda: all(s.held_bytes == 0 for s in states), 2.0)
            assert all(s.calls_in_flight == 0 for s in states)
            assert not scheduler._backlog.unsent.copy_counts("stage")

    asyncio.run(scenario())


@pytest.mark.parametrize("delay_s", [0.0, 0.03, 0.06])
def test_cancelled_requests_of_a_peer_hold_no_memory(delay_s):
    async def scenario():
        async with make_rig(routers=2, servers=1) as rig:
            await wait_until(
                lambda: all(
                    len(r.membership.list_serving_members()) == 2 for r in rig.routers
                )
            )
            coordinator_id = rig.routers[0].membership.choose_coordinator(set())
            ids = [r.membership.own_member.node_id for r in rig.routers]
            coordinator = rig.routers[ids.index(coordinator_id)]
            node = 1 - ids.index(coordinator_id)
            for _ in range(5):
                task = asyncio.ensure_future(
                    rig.send_request("/chain/1", node=node, **STAGED)
                )
                await asyncio.sleep(delay_s)
                task.cancel()
            scheduler = coordinator._scheduler
            await wait_until(lambda: not scheduler._request_by_id)
            servers = coordinator.cluster_view.servers.list_usable("stage")
            states = [scheduler.servers.state(server) for server in servers]
            await wait_until(lambda: all(s.held_bytes == 0 for s in states), 2.0)

    asyncio.run(scenario())


def test_request_released_as_its_batch_starts_is_sent_with_its_inputs():
    async def scenario():
        async with make_rig(servers=1) as rig:
            scheduler = rig.routers[0]._scheduler
            on_piece_sent = scheduler.dispatcher._on_piece_sent

            def release_at_second_stage(chain, index):
                on_piece_sent(chain, index)
                if index == 1:
                    request_id = chain.job.request_id
                    asyncio.get_running_loop().call_soon(scheduler.release, request_id)

            scheduler.dispatcher._on_piece_sent = release_at_second_stage
            task = asyncio.ensure_future(rig.send_request("/chain/1", **STAGED))
            server = rig.server_by_id["stage-0"]
            await wait_until(lambda: any(p["stage"] == 1 for p in server.pieces))
            assert all(p.get("inputs") for p in server.pieces if p["stage"] == 1)
            task.cancel()

    asyncio.run(scenario())


def test_stream_whose_stages_are_refused_on_resumption_does_not_retry_in_a_loop():
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["engines-0"].faults.cuts_streams_after = 2
            scheduler = rig.routers[0]._scheduler
            run, job_ids = scheduler.run, []

            async def refuse_after_first(job):
                job_ids.append(job.request_id)
                if len(job_ids) == 1:
                    return await run(job)
                return StageOutcome(StageState.REFUSED, retry_after_s=0.1)

            scheduler.run = refuse_after_first
            response = await rig.send_request("/long/1", deadline_ms=3000, **STAGED)
            assert not response.is_complete
            assert len(job_ids) <= 5

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("attempt", "expected"),
    [
        ("first", StageState.DONE),
        ("second", StageState.FAILED),
        ("", StageState.FAILED),
    ],
)
def test_late_release_of_an_earlier_run_leaves_the_newer_one_alone(attempt, expected):
    async def scenario():
        async with make_rig(servers=1) as rig:
            scheduler = rig.routers[0]._scheduler
            job = replace(make_job(), attempt="first")
            assert (await scheduler.run(job)).state is StageState.DONE
            newer = asyncio.ensure_future(scheduler.run(replace(job, attempt="second")))
            await asyncio.sleep(0.01)
            scheduler.release(job.request_id, attempt)
            async with asyncio.timeout(1.0):
                assert (await newer).state is expected

    asyncio.run(scenario())


def test_release_with_an_attempt_leaves_the_run_of_an_older_node_alone():
    async def scenario():
        async with make_rig(servers=1) as rig:
            scheduler = rig.routers[0]._scheduler
            running = asyncio.ensure_future(scheduler.run(make_job()))
            await asyncio.sleep(0.01)
            scheduler.release("r1", "of-another-node")
            assert (await running).state is StageState.DONE

    asyncio.run(scenario())
