"""Releases of stage results by nodes of an older build, which name no attempt."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import replace
from pathlib import Path

import pytest
from tests.router.rig import STAGE_SERVICE, make_rig
from tests.upgrade.settings import make_fields
from tests.upgrade.trees import COMMITS

from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_router.stage_messages import PrepareStages, ReleaseResults
from persimmonlink_router.stage_outcome import StageState

SCRIPT = Path(__file__).with_name("message_samples.py")


@pytest.fixture
def read_older(tmp_path, find_tree):
    """Return a function that reads the message of a type that a build writes."""

    def read(commit, kind):
        tree = find_tree(commit)
        path = tmp_path / f"{tree.name}.json"
        path.write_text(tree.render_settings(make_fields("entry-0")))
        sample = next(
            each
            for each in tree.run_script(SCRIPT, "write", str(path))
            if each["type"] == kind.__name__ and each["form"] == "all"
        )
        return MessagePackCodec().decode(base64.b64decode(sample["msgpack"]), kind)

    return read


@pytest.mark.parametrize("commit", COMMITS)
def test_release_of_an_older_node_drops_the_run_that_there_is(commit, read_older):
    prepare = read_older(commit, PrepareStages)
    release = read_older(commit, ReleaseResults)
    assert prepare.job.attempt == ""
    assert release.attempts == ()
    need = replace(prepare.job.stages[0], service=STAGE_SERVICE, after=())
    job = replace(prepare.job, stages=(need,), made=(), deadline_left_s=30.0)
    release = replace(release, request_ids=(job.request_id,))

    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id["stage-0"].stage_call_s = 5.0
            stages = rig.routers[0]._coordinator_client
            for each in (job, replace(job, attempt="of-a-newer-node")):
                running = asyncio.ensure_future(
                    stages.handle_prepare(replace(prepare, job=each))
                )
                await asyncio.sleep(0.05)
                await stages.handle_release(release)
                async with asyncio.timeout(1.0):
                    assert (await running).state is StageState.FAILED
                assert not rig.routers[0]._scheduler._request_by_id

    asyncio.run(scenario())
