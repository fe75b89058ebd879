"""Faults that a soak injects from outside the routers, drawn from a seed."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tests.router.rig import make_configuration

from persimmonlink_stand_ins.metadata_store import StoreFaults
from persimmonlink_stand_ins.routed_server import ServerFaults

if TYPE_CHECKING:
    import random
    from pathlib import Path

    from tests.router.process_rig import ProcessRig

SERVER_FAULTS = ("is_full", "hangs", "resets", "fails", "doubles", "is_unframed")
PLAIN_FAULTS = frozenset(("doubles", "is_unframed", "fails"))


class FaultInjector:
    """Injects one fault after the other, some of which overlap.

    Parameters
    ----------
    rig : ProcessRig
        What the faults strike.
    rng : random.Random
        Draws them; the same seed draws the same faults.
    folder : Path
        Where routers that start again find their settings.
    """

    def __init__(self, rig: ProcessRig, rng: random.Random, folder: Path) -> None:
        self._rig = rig
        self._rng = rng
        self._folder = folder
        self._version = 10
        # Two faults that end the same router must not both start it again.
        self._lock_by_index = {i: asyncio.Lock() for i in range(len(rig.processes))}
        self.history: list[str] = []

    async def strike(self) -> None:
        """Inject a fault and end it after a while."""
        kinds = (
            self._kill,
            self._pause,
            self._stop,
            self._reload,
            self._silence_store,
            self._lose_store_answers,
            self._refuse_at_store,
            self._forget_history,
            self._spoil_server,
            self._cut_streams,
            self._drain_server,
            self._reconfigure,
        )
        kind = self._rng.choice(kinds)
        self.history.append(kind.__name__)
        await kind()

    def _pick_router(self) -> int:
        return self._rng.randrange(len(self._rig.processes))

    async def _end(self, number: signal.Signals) -> None:
        """End a router by a signal and start it again."""
        index = self._pick_router()
        async with self._lock_by_index[index]:
            router = self._rig.processes[index]
            router.signal(number)
            await asyncio.to_thread(router.process.wait)
            self._rig.start(index, self._folder)
            await self._rig.wait_until_ready(index)

    async def _kill(self) -> None:
        await self._end(signal.SIGKILL)

    async def _pause(self) -> None:
        router = self._rig.processes[self._pick_router()]
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        router.signal(signal.SIGCONT)

    async def _stop(self) -> None:
        await self._end(signal.SIGTERM)

    async def _reload(self) -> None:
        self._rig.processes[self._pick_router()].signal(signal.SIGHUP)

    async def _silence_store(self) -> None:
        await self._trouble_store(StoreFaults(is_silent=True))

    async def _lose_store_answers(self) -> None:
        await self._trouble_store(StoreFaults(loses_answers=True))

    async def _refuse_at_store(self) -> None:
        await self._trouble_store(StoreFaults(status=self._rng.choice((429, 503))))

    async def _trouble_store(self, faults: StoreFaults) -> None:
        self._rig.store.faults = faults
        await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        self._rig.store.faults = StoreFaults()

    async def _forget_history(self) -> None:
        self._rig.store.forget_history()

    async def _spoil_server(self) -> None:
        name = self._rng.choice(sorted(self._rig.server_by_id))
        fault = self._rng.choice(SERVER_FAULTS)
        if name.startswith("engines") and fault in PLAIN_FAULTS:
            fault = "resets"
        server = self._rig.server_by_id[name]
        setattr(server.faults, fault, True)
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        server.faults = ServerFaults()

    async def _cut_streams(self) -> None:
        server = self._rig.server_by_id["engines-0"]
        server.faults.cuts_after = self._rng.randint(1, 4)
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        server.faults = ServerFaults()

    async def _drain_server(self) -> None:
        name = self._rng.choice(sorted(self._rig.server_by_id))
        service = name.rpartition("-")[0]
        entry = self._rig.server_by_id[name].entry(service, state="draining")
        self._rig.store.put(f"servers/{name}", entry)
        await asyncio.sleep(self._rng.uniform(0.5, 1.5))
        self._rig.store.put(f"servers/{name}", {**entry, "state": "ready"})

    async def _reconfigure(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._rig.store.put("op/config", make_configuration(self._version))


__all__ = ("FaultInjector",)
