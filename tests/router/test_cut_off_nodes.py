"""Callers of nodes that are cut off from all servers are served by way of others."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import pytest
from tests.router.rig import (
    STAGED,
    STREAM,
    connect_by_links,
    make_rig,
    restart_router,
    run,
    stop_router,
)

from persimmonlink_stand_ins.link import Cut

ROUTER_COUNT = 4
REQUESTS_PER_S = 50.0
# The users' bound, from this time after a cut began: cut nodes serve at least this part
# of what the others do, or fail no more than some requests and a share of all.
CONTACT_S = 3.0
MIN_SHARE_OF_OTHERS = 2 / 3
MAX_FAILURES = 10
MAX_FAILED_SHARE = 1 / 50
DIRECT_AGAIN_S = 1.5
KINDS = [
    ("/look/1", "GET", {}),
    ("/book/1", "POST", {}),
    ("/claim/1", "POST", STREAM),
    ("/list/1", "POST", STREAM),
    ("/chain/1", "POST", STAGED),
    ("/long/1", "POST", STAGED),
]
NOT_RUN = (408, 421, 429, 503)
AT_MOST_ONCE = ("/book/", "/claim/", "/chain/")


@dataclass
class Sent:
    """A request that was sent to a node, and its response."""

    request_id: str
    path: str
    node: int
    sent_at: float
    task: asyncio.Task

    @property
    def is_served(self) -> bool:
        """Whether the client got a whole response."""
        if self.task.exception() is not None:
            return False
        response = self.task.result()
        return response.status == 200 and response.is_complete


async def send_to_all(rig, rng, duration_s, kinds=KINDS, rate=REQUESTS_PER_S):
    """Send requests of all kinds at random nodes, for a time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    sent = []
    while loop.time() < ends_at:
        path, method, headers = rng.choice(kinds)
        node = rng.randrange(len(rig.settings))
        request_id = f"cut-{rng.randrange(2**60):x}"
        body = b"" if method == "GET" else request_id.encode()
        task = asyncio.ensure_future(
            rig.send_request(
                path, method, node=node, body=body, request_id=request_id, **headers
            )
        )
        sent.append(Sent(request_id, path, node, loop.time(), task))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.wait([request.task for request in sent])
    return sent


def check_service(sent, cut_nodes) -> None:
    """Check the users' bound on some requests."""
    cut = [request for request in sent if request.node in cut_nodes]
    others = [request for request in sent if request.node not in cut_nodes]
    failed = sum(1 for request in cut if not request.is_served)
    share = 1 - failed / len(cut)
    share_of_others = sum(1 for r in others if r.is_served) / len(others)
    is_worse = share < MIN_SHARE_OF_OTHERS * share_of_others
    allowed = MAX_FAILURES + MAX_FAILED_SHARE * len(sent)
    outcome = f"{len(cut) - failed} of {len(cut)}, others {share_of_others:.2f}"
    assert not (is_worse and failed > allowed), outcome
    assert share_of_others > 0.9, outcome


def check_runs(rig, sent) -> None:
    """Check that nothing ran twice, and nothing that was refused ran."""
    for request in sent:
        if not request.path.startswith(AT_MOST_ONCE):
            continue
        runs = rig.count_runs(request.request_id)
        assert runs <= 1, request
        if request.task.exception() is None and runs:
            assert request.task.result().status not in NOT_RUN, request


def count_relayed(rig) -> int:
    """Return how many requests nodes have passed on to others."""
    return sum(
        int(line.rpartition(" ")[2])
        for router in rig.routers
        for line in router.metrics.to_text().splitlines()
        if line.startswith("persimmonlink_relayed_requests_total{")
    )


@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("cut_nodes", [(0,), (0, 1, 2)])
@pytest.mark.timeout(60)
def test_callers_of_nodes_without_a_way_to_the_servers_are_served(how, cut_nodes):
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT) as rig:
            for index in range(ROUTER_COUNT):
                connect_by_links(rig, index)
            await asyncio.sleep(0.5)
            rng = random.Random(23)
            sent = await send_to_all(rig, rng, 1.0)
            cutting = asyncio.ensure_future(send_to_all(rig, rng, CONTACT_S))
            await rig.links.cut(cut_nodes, how)
            sent += await cutting
            during = await send_to_all(rig, rng, 4.0)
            check_service(during, cut_nodes)
            await rig.links.mend(cut_nodes)
            sent += await send_to_all(rig, rng, DIRECT_AGAIN_S)
            before = count_relayed(rig)
            after = await send_to_all(rig, rng, 2.0)
            check_service(after, cut_nodes)
            assert count_relayed(rig) == before
            check_runs(rig, [*sent, *during, *after])

    run(scenario())


@pytest.mark.timeout(60)
def test_a_node_that_starts_while_it_is_cut_off_serves_its_callers():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT) as rig:
            await asyncio.sleep(0.5)
            for index in range(ROUTER_COUNT):
                connect_by_links(rig, index)
            await rig.links.cut([1], Cut.HANG)
            await stop_router(rig.routers[1])
            await restart_router(rig, 1)
            connect_by_links(rig, 1)
            rng = random.Random(24)
            sent = await send_to_all(rig, rng, CONTACT_S)
            during = await send_to_all(rig, rng, 3.0)
            check_service(during, {1})
            check_runs(rig, [*sent, *during])

    run(scenario())
