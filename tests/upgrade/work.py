"""Replaces nodes by those of another build, beside changes and trouble."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, ClassVar

from tests.router.rig import (
    KEY,
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STREAM_SERVICE,
    send,
)
from tests.upgrade.exchange import FATAL_BODY, FATAL_PART_ID, HOSTNAME
from tests.upgrade.logs import was_node_not_run
from tests.upgrade.run_view import CONTACT_S
from tests.upgrade.timeline import BrittleTime, Cut, NamedLimit

from persimmonlink_stand_ins.link import Cut as CutKind
from persimmonlink_stand_ins.routed_server import CrashPoint

if TYPE_CHECKING:
    import random

    from tests.upgrade.clients import Load
    from tests.upgrade.deployment import Deployment
    from tests.upgrade.timeline import Timeline
    from tests.upgrade.trees import Tree

# Nodes that are cut off from all servers while one has the newer build, one the older.
LINKED = (1, 4)
# Prefixes of the requests of which some end servers.
FATAL_PLAIN, FATAL_STREAM = "/book/", "/list/"
CONFIG_S = 2.0  # The users' bound for a configuration to be in force everywhere.
PAUSE_S = 1.2  # Time from the SIGTERM of a node to that of the next one.
CALM_S = CONTACT_S + 0.3  # Time after a disturbance until all nodes are in touch.
STORE_CUT_S = 4.5
CUT_S = CONTACT_S + 3.0
TROUBLE_S = CONTACT_S + 6.0
# A server alone gets several times as many requests as it then allows.
LIMIT_PER_S = 0.2
BRITTLE_LIMIT = 2
OLDER_STREAMS_S = 4.0  # Time in which streams of a server that leaves end.


class Operator:
    """Does the work of a day with an upgrade.

    Parameters
    ----------
    deployment : Deployment
        Nodes, servers and the store.
    load : Load
        Requests of the clients.
    timeline : Timeline
        Keeps what is done when.
    rng : random.Random
        Chooses nodes, servers and pauses.
    """

    # Nodes that it cuts off.
    linked_nodes: ClassVar[tuple[int, ...]] = LINKED

    def __init__(
        self,
        deployment: Deployment,
        load: Load,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._load = load
        self._timeline = timeline
        self._rng = rng
        self._prefixes: list[str] = []

    async def run(self) -> None:
        """Upgrade half of the nodes, trouble them, upgrade all, and go back."""
        new, old = self._deployment.new, self._deployment.old
        await asyncio.sleep(1.0)
        # The first one coordinates stages, so the older build does while it can.
        first = [0, 1, 2]
        self._rng.shuffle(first)
        await asyncio.gather(self._replace(first, new), self._change_configuration())
        await self._cut_from_store()
        await asyncio.gather(
            self._change_configuration(), self._drain_servers(), self._release_servers()
        )
        await self._trouble()
        last = [3, 4, 5]
        self._rng.shuffle(last)
        await asyncio.gather(self._replace(last, new), self._change_configuration())
        # Now the newer build coordinates stages for the nodes that go back.
        back = self._rng.sample(range(1, 6), 2)
        await asyncio.gather(self._replace(back, old), self._change_configuration())
        await asyncio.sleep(1.0)

    async def _replace(self, indexes: list[int], tree: Tree) -> None:
        """Replace nodes by those of a build, with a pause between them."""
        stops = []
        for index in indexes:
            stops.append(
                asyncio.ensure_future(self._deployment.replace_node(index, tree))
            )
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*stops)

    async def _change_configuration(self) -> None:
        """Add and drop a route; check CONFIG at all nodes when that is due."""
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        dropped = self._prefixes[:1]
        added = f"/added-{len(self._prefixes)}-{self._rng.randrange(1000)}/"
        self._prefixes = [*self._prefixes[1:], added]
        self._deployment.put_configuration(*self._prefixes)
        await asyncio.sleep(CONFIG_S)
        for node in self._deployment.nodes:
            since = node.incarnations[-1].started_at
            if time.monotonic() - since < CONTACT_S:
                continue
            for prefix, is_there in [(added, True), *((p, False) for p in dropped)]:
                status = await self._probe(node.address("front"), prefix)
                if status and (status != 404) is not is_there:
                    text = f"CONFIG: {node.name} ({node.build}) {prefix}: {status}"
                    if was_node_not_run(node, time.time() - CONTACT_S):
                        self._timeline.note(f"not run by the machine: {text}")
                    else:
                        self._timeline.findings.append(text)

    async def _probe(self, address: str, prefix: str) -> int:
        """Return the status of a request, or 0 if the node takes none."""
        headers = {
            "Host": HOSTNAME,
            "Persimmonlink-Request-Id": f"probe-{self._rng.randrange(10**9)}",
            "Persimmonlink-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        try:
            return (await send(address, "GET", f"{prefix}1", headers)).status
        except OSError:
            return 0

    async def _cut_from_store(self) -> None:
        """Cut a node of each build off from the store; peers tell it of changes."""
        links = self._deployment.store_links
        await links.cut(LINKED, self._rng.choice((CutKind.HANG, CutKind.RESET)))
        await asyncio.sleep(STORE_CUT_S / 3)
        prefix = f"/told-by-peers-{self._rng.randrange(1000)}/"
        self._prefixes.append(prefix)
        self._deployment.put_configuration(*self._prefixes)
        await asyncio.sleep(STORE_CUT_S * 2 / 3)
        for index in LINKED:
            node = self._deployment.nodes[index]
            if await self._probe(node.address("front"), prefix) in (0, 404):
                self._timeline.findings.append(
                    f"CONFIG: peers did not tell {node.name} ({node.build}) {prefix}"
                )
        await links.mend(LINKED)
        await asyncio.sleep(1.0)

    async def _drain_servers(self) -> None:
        """Let one server of each service leave."""
        for service in (PLAIN_SERVICE, STREAM_SERVICE, STAGE_SERVICE):
            server_id = self._pick_server(service)
            self._drain(server_id)
            await asyncio.sleep(0.3)

    def _pick_server(self, service: str) -> str:
        """Return a server of a service that does not leave."""
        entries = self._deployment.entry_by_id
        return self._rng.choice(
            [
                server.server_id
                for server in self._deployment.list_servers(service)
                if entries[server.server_id]["state"] == "ready"
            ]
        )

    def _drain(self, server_id: str) -> None:
        self._deployment.put_server(server_id, state="draining")
        self._timeline.drained_at_by_server[server_id] = time.monotonic()

    async def _release_servers(self) -> None:
        """Replace some engines by ones of a new software version."""
        for number in range(3):
            await self._deployment.add_server(
                STREAM_SERVICE, f"{STREAM_SERVICE}-new-{number}", "v2"
            )
            await asyncio.sleep(0.3)
        for server in self._deployment.list_servers(STREAM_SERVICE)[:2]:
            if server.server_id not in self._timeline.drained_at_by_server:
                self._drain(server.server_id)
        await asyncio.sleep(OLDER_STREAMS_S)

    async def _trouble(self) -> None:
        """Fatal requests, limits, brittle servers, cuts and kills, all at once."""
        began_at = time.monotonic()
        self._arm_streams()
        self._arm_plain()
        self._load.fatal_prefixes = (FATAL_PLAIN, FATAL_STREAM)
        await asyncio.gather(
            self._cut_nodes(), self._name_limit(), self._make_brittle(), self._kill()
        )
        self._load.fatal_prefixes = ()
        await asyncio.sleep(CALM_S)
        self._timeline.troubles.append((began_at, time.monotonic()))

    def _arm_streams(self) -> None:
        for server in self._deployment.list_servers(STREAM_SERVICE):
            server.fatal_part_ids = frozenset((FATAL_PART_ID,))
            server.crash_point = self._rng.choice(list(CrashPoint))

    def _arm_plain(self) -> None:
        for server in self._deployment.list_servers(PLAIN_SERVICE):
            server.fatal_bodies = frozenset((FATAL_BODY,))

    async def _cut_nodes(self) -> None:
        began_at = time.monotonic()
        await self._deployment.links.cut(LINKED, self._rng.choice(list(CutKind)))
        await asyncio.sleep(CUT_S)
        nodes, new = self._deployment.nodes, self._deployment.new.name
        newer = tuple(index for index in LINKED if nodes[index].build == new)
        self._timeline.cuts.append(Cut(LINKED, newer, began_at, time.monotonic()))
        await self._deployment.links.mend(LINKED)

    async def _name_limit(self) -> None:
        server = self._deployment.server_by_id[self._pick_server(PLAIN_SERVICE)]
        named_at = time.monotonic()
        server.rate_limit_per_s = LIMIT_PER_S
        await asyncio.sleep(TROUBLE_S)
        server.rate_limit_per_s = 0.0
        self._timeline.limits.append(
            NamedLimit(server.server_id, LIMIT_PER_S, named_at, time.monotonic())
        )

    async def _make_brittle(self) -> None:
        servers = self._deployment.list_servers(STAGE_SERVICE)
        named_at = time.monotonic()
        for server in servers:
            server.slots, server.queue = 1, 3
            server.brittle_limit = BRITTLE_LIMIT
        await asyncio.sleep(CONTACT_S)
        for server in servers:
            server.queue = 0
        await asyncio.sleep(TROUBLE_S - CONTACT_S)
        for server in servers:
            server.slots = server.brittle_limit = 0
        self._timeline.brittle_times.append(BrittleTime(named_at, time.monotonic()))

    async def _kill(self) -> None:
        """Kill a node of each build."""
        for index in (self._rng.choice((0, 2)), self._rng.choice((3, 5))):
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            await self._deployment.kill_node(index)


__all__ = ("CALM_S", "FATAL_PLAIN", "FATAL_STREAM", "LINKED", "Operator")
