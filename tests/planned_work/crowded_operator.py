"""An operator whose stops coincide with each other, with starts, and with trouble."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.planned_work import sheet
from tests.planned_work.dense_operator import DenseOperator
from tests.planned_work.operator import MIN_RUNNING_NODES, do_later

if TYPE_CHECKING:
    from tests.planned_work.deployment import Node

EARLY_SHARE = 0.3  # Share of the starts that a stop follows at once.
EARLY_STOP_S = (0.05, 1.6)  # From such a start to SIGTERM.
MAX_EARLY_STOPS = 2
ALL_SHARE = 0.15
ALL_BUT_ONE_SHARE = 0.15
SIGNAL_GAP_S = (0.0, 0.1)
NEXT_STOP_S = (0.2, 1.0)
IDLE_TIMEOUTS_S = (15.0, 15.0, 6.0, 4.0, 30.0)
STORE_TROUBLE_S = (0.5, 5.0)
MIN_SERVERS = 2
SERVER_ABSENCE_S = (0.1, 2.5)
STORE_DELAY_S = (0.1, 1.5)


class CrowdedOperator(DenseOperator):
    """Stops nodes at once, in quick series and right after their start."""

    _early_stops = 0
    _is_store_troubled = False

    async def _stop_some(self) -> None:
        rng = self._rng
        nodes = self._deployment.nodes
        idle = [n for n in nodes if n.name not in self._busy]
        most = max(3, len(nodes) // 3)
        count = min(rng.randint(1, most), len(idle) - MIN_RUNNING_NODES)
        draw = rng.random()
        if len(idle) == len(nodes) and draw < ALL_SHARE + ALL_BUT_ONE_SHARE:
            count = len(idle) - (draw < ALL_BUT_ONE_SHARE)
        if count <= 0:
            await asyncio.sleep(0.2)
            return
        self._spawn(self._work_beside())
        for work in (self._trouble_store, self._reject_some, self._release_in_place):
            if rng.random() < 0.5:
                self._spawn(do_later(rng.uniform(0.0, 1.0), work))
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        gap_s = rng.choice((SIGNAL_GAP_S, SIGNAL_GAP_S, NEXT_STOP_S))
        for node in rng.sample(idle, count):
            if node.name in self._busy:
                continue
            if rng.random() < 0.3:
                self._spawn(self._signal_around(node))
            self._spawn(self._restart(node))
            await asyncio.sleep(rng.uniform(*gap_s))
        if rng.random() < 0.5:
            self._spawn(do_later(rng.uniform(0.0, 8.0), self._release_any))

    async def _start(self, node: Node) -> None:
        if self._rng.random() > EARLY_SHARE or self._early_stops >= MAX_EARLY_STOPS:
            await super()._start(node)
            return
        self._early_stops += 1
        await asyncio.sleep(self._choose_absence_s())
        self._deployment.log("start", node.name)
        node.start()
        await asyncio.sleep(self._rng.uniform(*EARLY_STOP_S))
        await self._restart(node)
        self._early_stops -= 1

    def _choose_idle_timeout_s(self) -> float:
        return self._rng.choice(IDLE_TIMEOUTS_S)

    async def _trouble_store(self) -> None:
        """Let the store be slow, refuse all calls, or leave them without answers."""
        rng, store = self._rng, self._deployment.store
        if self._is_store_troubled:
            return
        self._is_store_troubled = True
        kind = rng.choice(("slow", "refuses", "hangs", "silent connections"))
        self._deployment.log("store trouble", kind)
        if kind == "slow":
            store.faults.delay_s = rng.uniform(*STORE_DELAY_S)
        elif kind == "refuses":
            store.faults.status = 503
        elif kind == "hangs":
            store.faults.never_responds = True
        else:
            store.silence_connections()
        await asyncio.sleep(rng.uniform(*STORE_TROUBLE_S))
        store.faults.delay_s = self._deployment.plan.store_delay_s
        store.faults.status = 0
        store.faults.never_responds = False
        self._deployment.log("store sound", kind)
        self._is_store_troubled = False

    async def _release_in_place(self) -> None:
        """Start servers of a service again one by one, with their ids, as new ones."""
        deployment, rng = self._deployment, self._rng
        service = rng.choice((sheet.ENGINE_SERVICE, sheet.ENGINE_SERVICE, sheet.YARD))
        if service in self._releases:
            return
        self._releases.add(service)
        self._software += 1
        version = f"v{self._software}"
        for server_id in deployment.list_servers(service):
            if len(deployment.list_servers(service)) < MIN_SERVERS:
                break
            self._spawn(self._start_again(server_id, version))
            await asyncio.sleep(rng.uniform(0.3, 1.5))
        self._releases.discard(service)

    async def _start_again(self, server_id: str, version: str) -> None:
        deployment = self._deployment
        service = deployment.server_by_id[server_id].service
        await self._leave(server_id)
        if deployment.state_by_id[server_id] != "gone":
            return
        await asyncio.sleep(self._rng.uniform(*SERVER_ABSENCE_S))
        deployment.log("server returned", server_id, version)
        await deployment.add_server(service, version, server_id)

    async def _reject_some(self) -> None:
        """Let a server of bookings reject requests for a while, with Retry-After."""
        rng = self._rng
        server_id = rng.choice(self._deployment.list_servers(sheet.PLAIN_SERVICE))
        faults = self._deployment.server_by_id[server_id].faults
        faults.rejects_requests, faults.retry_after_s = True, rng.choice((0.0, 0.3))
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        faults.rejects_requests, faults.retry_after_s = False, 0.0
