"""Replaces all nodes by those of another build as the platform does, one by one."""

from __future__ import annotations

import asyncio
import signal
import time
from enum import StrEnum
from typing import TYPE_CHECKING, ClassVar

from tests.router.rig import PLAIN_SERVICE, STREAM_SERVICE
from tests.upgrade.final_checks import list_leftovers, list_log_warnings
from tests.upgrade.run_view import CONTACT_S
from tests.upgrade.work import CALM_S, FATAL_PLAIN, FATAL_STREAM, Operator

from persimmonlink_stand_ins.store_faults import StoreFaults

if TYPE_CHECKING:
    from tests.upgrade.trees import Tree

PAUSE_S = 0.5  # Time from the readiness of a node to the SIGTERM of the next one.
STORE_OUTAGE_S = 3.0
SLOW_S = 1.0  # Time by which the responses of a slow store come later.
KILL_DELAY_S = 1.5  # Longest time from the SIGTERM of a node to the kill of another.
FREEZE_S = 2.0
# Longest time for which leases of nodes that are gone last, and nodes are unknown.
SETTLE_S = 5.0
STEADY_S = 5.0  # Time of the load that is judged once all nodes are replaced.
HELD_AFTER_S = CONTACT_S + 2.0  # Time after which fatal requests are held back.
FATAL_S = CONTACT_S + 5.0  # Time of requests that end servers, after that.


class StoreFault(StrEnum):
    """How the store fails."""

    SILENT = "silent"
    FAILS = "fails"
    LOSES_RESPONSES = "loses responses"
    SLOW = "slow"
    RETURNS_FROM_COPY = "returns from a copy"


class RollingUpgrade(Operator):
    """Replaces each node once the last one is ready, beside changes and faults.

    Nodes are killed, one stands still, the store fails, servers are released, and one
    node goes back to the older build and forth again.
    """

    # A link takes connections also for a server that has ended.
    linked_nodes: ClassVar[tuple[int, ...]] = ()

    async def run(self) -> None:
        """Replace all nodes, then judge the cluster as one that began as it is."""
        new, old = self._deployment.new, self._deployment.old
        order = list(range(len(self._deployment.nodes)))
        self._rng.shuffle(order)
        await self._hold_requests()
        await asyncio.gather(
            self._replace_node(order[0], new), self._change_configuration()
        )
        await asyncio.gather(
            self._replace_node(order[1], new), self._kill_node(order[2])
        )
        await asyncio.sleep(CALM_S)
        await asyncio.gather(self._replace_node(order[2], new), self._interrupt_store())
        await asyncio.sleep(CALM_S)
        await asyncio.gather(
            self._replace_node(order[3], new),
            self._change_configuration(),
            self._release_servers(),
        )
        await asyncio.gather(
            self._replace_node(order[0], old), self._freeze_node(order[3])
        )
        await asyncio.sleep(CALM_S)
        await asyncio.gather(
            self._replace_node(order[4], new), self._kill_node(order[1])
        )
        await asyncio.sleep(CALM_S)
        await asyncio.gather(
            self._replace_node(order[5], new),
            self._change_configuration(),
            self._drain_servers(),
        )
        await self._replace_node(order[0], new)
        await self._judge_result()

    async def _hold_requests(self) -> None:
        """Let the older build hold requests back, which come again all the time."""
        self._arm_plain()
        began_at = time.monotonic()
        self._load.fatal_prefixes = (FATAL_PLAIN,)
        await asyncio.sleep(HELD_AFTER_S)
        self._timeline.troubles.append((began_at, time.monotonic()))

    async def _replace_node(self, index: int, tree: Tree) -> None:
        await self._deployment.replace_node(index, tree)
        await asyncio.sleep(PAUSE_S)

    async def _kill_node(self, index: int) -> None:
        """Kill a node while another one stops; it starts with its build again."""
        await asyncio.sleep(self._rng.uniform(0.0, KILL_DELAY_S))
        began_at = time.monotonic()
        await self._deployment.kill_node(index)
        self._timeline.troubles.append((began_at, time.monotonic() + CONTACT_S))

    async def _freeze_node(self, index: int) -> None:
        """Let a node stand still while another one stops."""
        await asyncio.sleep(self._rng.uniform(0.0, KILL_DELAY_S))
        node = self._deployment.nodes[index]
        began_at = time.monotonic()
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        node.send_signal(signal.SIGCONT)
        ended_at = time.monotonic()
        node.incarnations[-1].frozen = (began_at, ended_at)
        self._timeline.troubles.append((began_at, ended_at + CONTACT_S))

    async def _interrupt_store(self) -> None:
        """Let the store fail in one of several ways while a node is replaced."""
        await asyncio.sleep(self._rng.uniform(0.0, 4.0))
        store = self._deployment.store
        fault = self._rng.choice(list(StoreFault))
        self._timeline.note(f"fault of the store: {fault}")
        store.take_copy()
        store.faults.never_responds = fault is StoreFault.SILENT
        store.faults.drops_responses = fault is StoreFault.LOSES_RESPONSES
        store.faults.delay_s = SLOW_S if fault is StoreFault.SLOW else 0.0
        if fault in (StoreFault.FAILS, StoreFault.RETURNS_FROM_COPY):
            store.faults.status = 503
        if fault is not StoreFault.SLOW:
            store.cut_watches(is_silent=fault is StoreFault.SILENT)
        await asyncio.sleep(STORE_OUTAGE_S)
        store.faults = StoreFaults()
        if fault is StoreFault.RETURNS_FROM_COPY:
            store.restore_copy()

    async def _judge_result(self) -> None:
        """Check what the older build may have left behind, then planned work."""
        await asyncio.sleep(SETTLE_S)
        self._timeline.findings += await list_leftovers(self._deployment)
        steady_at, steady_time = time.monotonic(), time.time()
        await asyncio.gather(asyncio.sleep(STEADY_S), self._change_configuration())
        self._timeline.steady_spans.append((steady_at, time.monotonic()))
        self._timeline.findings += list_log_warnings(
            self._deployment.nodes, steady_time
        )
        await asyncio.sleep(CALM_S)
        for service in (PLAIN_SERVICE, STREAM_SERVICE):
            self._drain(self._pick_server(service))
        self._arm_streams()
        began_at = time.monotonic()
        self._load.fatal_prefixes = (FATAL_PLAIN, FATAL_STREAM)
        await asyncio.sleep(FATAL_S)
        self._load.fatal_prefixes = ()
        self._timeline.troubles.append((began_at, time.monotonic()))


__all__ = ("RollingUpgrade",)
