"""What nodes of this build make of what peers of an older one send, or don't."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import asynccontextmanager

import pytest
from tests.router.rig import PLAIN_SERVICE, STREAM_SERVICE
from tests.upgrade.deployment import EVENT_COUNT, Deployment
from tests.upgrade.exchange import KIND_BY_PREFIX, Attempt, Connection
from tests.upgrade.run_view import CONTACT_S
from tests.upgrade.trees import COMMITS, NEW
from tests.upgrade.work import LINKED

from persimmonlink_router.store_contact import OUTAGE_EXPIRY_GRACE_S
from persimmonlink_stand_ins.link import Cut

NEWER = (0, 1, 2)
OLDER = (3, 4, 5)
CUT_NODE, CUT_OLDER_NODE = LINKED
DRAIN_S = 2.0  # The users' bound.
STREAM_KIND, PLAIN_KIND = KIND_BY_PREFIX["/list/"], KIND_BY_PREFIX["/look/"]
LEAVES_AFTER = 3
CUT_AFTER_S = 0.3  # Time after which a stream's node is cut off from its server.
UNKNOWN_STREAM = "begun-at-no-node"
REJECTION_S = 0.5  # Time for which servers of another version want no requests.
# A request that ends servers comes so often to the nodes of each build.
FATAL_SENDS = 9
FATAL_INTERVAL_S = 0.7
# The users' bound: after the third end, three more sends at most later than contact.
ENDS_BEFORE_BOUND = 3
MAX_LATER_SENDS = 3
REFUSAL_S = 2.0  # Longest time in which a stream is refused whose version is unknown.

pytestmark = [
    pytest.mark.timeout(90),
    pytest.mark.parametrize("commit", COMMITS),
]


@asynccontextmanager
async def run_two_builds(folder, old, linked=LINKED):
    """Run three nodes of each build; two of them, one of each, over links."""
    deployment = Deployment(folder, old, NEW, linked)
    try:
        await deployment.start(newer=NEWER)
        yield deployment
    finally:
        await deployment.stop()


async def send(
    deployment,
    index,
    request_id,
    kind=STREAM_KIND,
    leaves_after=LEAVES_AFTER,
    **fields,
):
    """Send a request to a node; the client leaves a stream of its own early."""
    node = deployment.nodes[index]
    body = b"" if kind.method == "GET" else b"body"
    attempt = Attempt(request_id, kind, body, node=index, build=node.build, **fields)
    if not kind.is_stream or attempt.resumes:
        leaves_after = 0
    host, _, port = node.address("front").rpartition(":")
    connection = Connection(node, *await asyncio.open_connection(host, int(port)))
    await connection.exchange(attempt, [body] if body else [], leaves_after)
    connection.close()
    return attempt


async def take_up(deployment, index, stream, first_event=LEAVES_AFTER + 1):
    """Take a stream up at a node."""
    return await send(
        deployment,
        index,
        f"{stream}-at-{index}-{time.monotonic()}",
        resumes=stream,
        first_event=first_event,
    )


async def take_up_unknown(deployment, index):
    """Take up a stream that no node has a record of; return status and time taken."""
    began_at = time.monotonic()
    attempt = await take_up(deployment, index, UNKNOWN_STREAM)
    return attempt.status, time.monotonic() - began_at


async def add_version(deployment, version):
    for number in range(3):
        server_id = f"{STREAM_SERVICE}-{version}-{number}"
        await deployment.add_server(STREAM_SERVICE, server_id, version)


async def begin_at_version(deployment, index, version):
    """Begin a stream at a node and a version; return its id."""
    for number in range(30):
        name = f"{version}-from-{index}-{number}-{time.monotonic()}"
        attempt = await send(deployment, index, name)
        if {each for _, each in attempt.list_events()} == {version}:
            return name
        await asyncio.sleep(REJECTION_S / 10)
    raise AssertionError(f"no stream began at {version}")


async def begin_streams(deployment, nodes, version):
    """Begin a stream at each node, at a version; return the version by stream."""
    others = [
        server
        for server in deployment.list_servers(STREAM_SERVICE)
        if server.version != version
    ]
    for server in others:
        server.faults.rejects_requests = True
        server.faults.retry_after_s = REJECTION_S
    streams = {await begin_at_version(deployment, i, version): version for i in nodes}
    for server in others:
        server.faults.rejects_requests = False
    await asyncio.sleep(2 * REJECTION_S)
    return streams


async def list_mixed(deployment, version_by_stream, taken_up_at):
    """Return the streams that did not go on at their version, at the nodes given."""
    faults = []
    for stream, version in version_by_stream.items():
        rests = await asyncio.gather(
            *(take_up(deployment, index, stream) for index in taken_up_at)
        )
        event_ids = range(LEAVES_AFTER + 1, EVENT_COUNT + 1)
        expected = [(event_id, version) for event_id in event_ids]
        faults += [
            f"{stream} at entry-{rest.node}: {rest.status} {rest.list_events()}"
            for rest in rests
            if rest.list_events() != expected
        ]
    return faults


def test_streams_go_on_at_their_version_at_nodes_of_either_build(
    tmp_path, find_tree, commit
):
    async def scenario():
        async with run_two_builds(tmp_path, find_tree(commit)) as deployment:
            nodes = range(len(deployment.nodes))
            streams = await begin_streams(deployment, nodes, "v1")
            await add_version(deployment, "v2")
            await asyncio.sleep(1.0)
            streams |= await begin_streams(deployment, nodes, "v2")
            assert await list_mixed(deployment, streams, nodes) == []

    asyncio.run(scenario())


def test_a_newer_node_without_the_store_asks_all_older_peers(
    tmp_path, find_tree, commit
):
    async def scenario():
        async with run_two_builds(tmp_path, find_tree(commit)) as deployment:
            await deployment.store_links.cut((CUT_NODE,), Cut.HANG)
            await asyncio.sleep(CONTACT_S + 1.0)
            # All nodes that may run answer, and know one version.
            assert (await take_up_unknown(deployment, CUT_NODE))[0] == 200
            others = (OLDER[0], NEWER[0])
            streams = await begin_streams(deployment, others, "v1")
            paused = deployment.nodes[OLDER[-1]]
            paused.send_signal(signal.SIGSTOP)
            status, took_s = await take_up_unknown(deployment, CUT_NODE)
            paused.send_signal(signal.SIGCONT)
            assert status == 503
            assert took_s < REFUSAL_S
            await add_version(deployment, "v2")
            await asyncio.sleep(1.0)
            status, took_s = await take_up_unknown(deployment, CUT_NODE)
            assert status == 503
            assert took_s < REFUSAL_S
            streams |= await begin_streams(deployment, others, "v2")
            assert await list_mixed(deployment, streams, (CUT_NODE,)) == []

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("how", "bound_s"),
    [
        ("drained", DRAIN_S),
        # An older peer doesn't say whether the entry may have lapsed in an outage.
        ("removed", DRAIN_S + OUTAGE_EXPIRY_GRACE_S),
    ],
)
def test_older_peers_tell_a_newer_node_without_the_store_of_departures(
    tmp_path, find_tree, commit, how, bound_s
):
    async def scenario():
        async with run_two_builds(tmp_path, find_tree(commit)) as deployment:
            # Only nodes of the older build follow the store.
            for index in NEWER:
                if index != CUT_NODE:
                    deployment.nodes[index].send_signal(signal.SIGKILL)
            await deployment.store_links.cut((CUT_NODE,), Cut.HANG)
            await asyncio.sleep(CONTACT_S + 1.0)
            leaving = f"{PLAIN_SERVICE}-0"
            left_at = time.monotonic()
            if how == "drained":
                deployment.put_server(leaving, state="draining")
            else:
                deployment.store.delete(f"servers/{leaving}")
            attempts = []
            while time.monotonic() < left_at + bound_s + 1.5:
                name = f"look-{len(attempts)}"
                attempts.append(await send(deployment, CUT_NODE, name, PLAIN_KIND))
                await asyncio.sleep(0.02)
            runs = deployment.server_by_id[leaving].runs
            late = [run.started_at - left_at for run in runs]
            assert [at for at in late if at > bound_s] == []
            assert [each.status for each in attempts if not each.is_served] == []

    asyncio.run(scenario())


def test_peers_of_either_build_serve_for_a_node_of_the_other(
    tmp_path, find_tree, commit
):
    async def scenario():
        async with run_two_builds(tmp_path, find_tree(commit)) as deployment:
            is_served = deployment.old_passes_on
            for index in (CUT_NODE, CUT_OLDER_NODE):
                others = list_others_of_build(index)
                # Only nodes of the other build are left to serve for it.
                for each in others:
                    deployment.nodes[each].send_signal(signal.SIGSTOP)
                await asyncio.sleep(CONTACT_S)
                stream = asyncio.ensure_future(
                    send(deployment, index, f"cut-{index}", leaves_after=0)
                )
                await asyncio.sleep(CUT_AFTER_S)
                await deployment.links.cut((index,), Cut.RESET)
                check_stream(await stream, is_served=is_served)
                await asyncio.sleep(CONTACT_S + 0.5)
                await check_cut_node(deployment, index, is_served=is_served)
                await deployment.links.mend((index,))
                for each in others:
                    deployment.nodes[each].send_signal(signal.SIGCONT)
                await asyncio.sleep(CONTACT_S)

    asyncio.run(scenario())


def check_stream(attempt, *, is_served):
    """Check a stream that its node could go on with at peers only."""
    ids = [event_id for event_id, _ in attempt.list_events()]
    assert ids == list(range(1, len(ids) + 1))
    assert 0 < len(ids) < EVENT_COUNT or is_served
    assert attempt.is_served is is_served, attempt


def list_others_of_build(index):
    return [each for each in (NEWER if index in NEWER else OLDER) if each != index]


async def check_cut_node(deployment, index, *, is_served):
    """Send requests to a node that reaches no server; else it must refuse at once."""
    for kind in (PLAIN_KIND, STREAM_KIND):
        began_at = time.monotonic()
        attempt = await send(deployment, index, f"{kind.method}-{index}", kind)
        if not is_served:
            assert attempt.status in (0, 502, 503), attempt
            assert time.monotonic() - began_at < REFUSAL_S
            continue
        assert attempt.status == 200, attempt
    if not is_served:
        return
    rest = await take_up(deployment, index, f"{STREAM_KIND.method}-{index}")
    expected = list(range(LEAVES_AFTER + 1, EVENT_COUNT + 1))
    assert [event_id for event_id, _ in rest.list_events()] == expected


@pytest.mark.parametrize("first", [NEWER, OLDER], ids=["newer first", "older first"])
def test_a_request_that_ends_servers_is_held_at_nodes_of_both_builds(
    tmp_path, find_tree, commit, first
):
    async def scenario():
        # A link takes connections to a server that has ended.
        old = find_tree(commit)
        async with run_two_builds(tmp_path, old, linked=()) as deployment:
            servers = deployment.list_servers(PLAIN_SERVICE)
            for server in servers:
                server.fatal_lines = frozenset([f"GET {PLAIN_KIND.prefix}1"])
            others = OLDER if first == NEWER else NEWER
            for nodes in (first, others):
                for number in range(FATAL_SENDS):
                    index = nodes[number % len(nodes)]
                    await send(deployment, index, f"{index}-{number}", PLAIN_KIND)
                    await asyncio.sleep(FATAL_INTERVAL_S)
                await asyncio.sleep(CONTACT_S)
            ran_at = sorted(run.started_at for server in servers for run in server.runs)
            bound_at = ran_at[ENDS_BEFORE_BOUND - 1] + CONTACT_S
            assert len([at for at in ran_at if at > bound_at]) <= MAX_LATER_SENDS
            for index in (*NEWER, *OLDER):
                last = await send(deployment, index, f"last-{index}", PLAIN_KIND)
                assert last.status == 503, last

    asyncio.run(scenario())
