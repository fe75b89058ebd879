"""What nodes of older builds say of a client's repeats is read and ignored."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from tests.router.chains import make_job
from tests.router.rig import make_rig

from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_peers.message import Sender
from persimmonlink_router.relay_messages import RelayRequest
from persimmonlink_router.stage_messages import PrepareStages
from persimmonlink_router.stage_outcome import StageState

# Ranks of a request of priority 1 that an older build takes for a first try, and for a
# repeat.
FIRST_RANK = 2
REPEAT_RANK = 22


@pytest.mark.parametrize("rank", [FIRST_RANK, REPEAT_RANK])
def test_a_request_that_an_older_node_takes_for_a_repeat_is_ranked_as_others(rank):
    async def scenario():
        async with make_rig(servers=1) as rig:
            router = rig.routers[0]
            ranks = []
            run = router._scheduler.run

            async def record_rank(job):
                ranks.append(job.priority)
                return await run(job)

            router._scheduler.run = record_rank
            message = PrepareStages(
                router.membership.sender, replace(make_job(), priority=rank)
            )
            outcome = await router._coordinator_client.handle_prepare(message)
            assert outcome.state is StageState.DONE
            assert ranks == [FIRST_RANK]

    asyncio.run(scenario())


def test_a_relayed_request_that_is_called_a_repeat_is_read():
    codec = MessagePackCodec()
    sender = Sender("entry-1", "i-1")
    message = RelayRequest(sender, b"GET", b"/", (), b"", 1, "desk", "acme", 0.1)
    fields = codec.decode(codec.encode(message, RelayRequest), dict)
    older = codec.encode({**fields, "is_client_retry": True}, dict)
    read = codec.decode(older, RelayRequest)
    assert read == message
