"""An operator whose other work comes just before and during the stops of nodes."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from tests.planned_work import sheet
from tests.planned_work.operator import (
    MIN_RUNNING_NODES,
    RESTART_S,
    Operator,
    do_later,
)

if TYPE_CHECKING:
    from tests.planned_work.deployment import Node

LEAD_S = (2.6, 3.4)  # From the loss of another node to a stop, in seconds.
FAILURE_SHARE = 0.4  # Share of the stops that the loss of another node precedes.
ALL_SHARE = 0.15  # Share of the rounds in which all nodes stop.
SIGNAL_SHARE = 0.5  # Share of the stops with another signal before or in them.
LATE_SILENCE_SHARE = 0.5  # Share of the stops at whose end servers are silent.
LATE_SILENCE_S = 6.8  # Time from SIGTERM to that silence.
ABSENCE_SHARE = 0.15  # Share of the nodes that are away for long.
ABSENCE_S = 8.0
SILENCE_PERIOD_S = (0.8, 2.2)  # From one silence of servers to the next.


class DenseOperator(Operator):
    """Stops nodes in series and overlapping, and does other work beside that."""

    async def _stop_some(self) -> None:
        rng = self._rng
        idle = [n for n in self._deployment.nodes if n.name not in self._busy]
        count = min(rng.randint(1, 3), len(idle) - MIN_RUNNING_NODES)
        if rng.random() < ALL_SHARE and len(idle) == len(self._deployment.nodes):
            count = len(idle)
        if count <= 0:
            await asyncio.sleep(0.2)
            return
        chosen = rng.sample(idle, count)
        if rng.random() < FAILURE_SHARE:
            await self._lose_another(chosen)
        self._spawn(self._work_beside())
        for node in chosen:
            if node.name in self._busy:
                continue
            if rng.random() < SIGNAL_SHARE:
                self._spawn(self._signal_around(node))
            self._spawn(self._restart(node))
            if rng.random() < LATE_SILENCE_SHARE:
                self._spawn(do_later(LATE_SILENCE_S, self._silence_desk_late))
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.1, 3.0))))

    def _choose_absence_s(self) -> float:
        return ABSENCE_S if self._rng.random() < ABSENCE_SHARE else RESTART_S

    async def _lose_another(self, chosen: list[Node]) -> None:
        """Kill another node, or await the end of its stop, some 3 s before."""
        nodes = self._deployment.nodes
        others = [n for n in nodes if n.name not in self._busy and n not in chosen]
        if not others:
            return
        if self._has_kills:
            self._spawn(self._kill_node(others))
        else:
            other = self._rng.choice(others)
            self._spawn(self._restart(other))
            await asyncio.sleep(0.1)
            while other.is_running():
                await asyncio.sleep(0.05)
        await asyncio.sleep(self._rng.uniform(*LEAD_S))

    async def _signal_around(self, node: Node) -> None:
        """Send signals that a node may get beside its SIGTERM, until it has ended."""
        rng, process = self._rng, node.process
        for _ in range(rng.randint(1, 3)):
            number = rng.choice((signal.SIGHUP, signal.SIGHUP, signal.SIGTERM))
            await asyncio.sleep(rng.uniform(0.0, 2.5))
            if node.process is not process:
                return
            if number is signal.SIGHUP:
                self._deployment.log("SIGHUP", node.name)
            node.send_signal(number)

    async def _work_beside(self) -> None:
        """Do other work while nodes stop, until their time is over."""
        rng = self._rng
        for work in (self._write_storm, self._release_desk, self._write_storm):
            if rng.random() < 0.6:
                self._spawn(do_later(rng.uniform(0.0, 6.0), work))
        ends_at = time.monotonic() + sheet.GRACE_S
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(*SILENCE_PERIOD_S))
            self._silence_desk()

    async def _release_desk(self) -> None:
        await self._release(sheet.PLAIN_SERVICE)

    def _silence_desk(self) -> None:
        """Let one or several servers of bookings fall silent at once."""
        rng = self._rng
        server_ids = self._deployment.list_servers(sheet.PLAIN_SERVICE)
        self._silence(rng.sample(server_ids, rng.randint(1, len(server_ids))))

    async def _silence_desk_late(self) -> None:
        """Let all servers of bookings fall silent at the end of a stop."""
        self._silence(self._deployment.list_servers(sheet.PLAIN_SERVICE))

    def _silence(self, server_ids: list[str]) -> None:
        for server_id in server_ids:
            server = self._deployment.server_by_id[server_id]
            silence_s = self._rng.uniform(0.3, 1.1)
            server.silent_until = time.monotonic() + silence_s
            self._deployment.log("silence", server_id, f"{silence_s:.3f}")
