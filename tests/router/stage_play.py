"""Plays callers against the scheduler of stages, in virtual time and without a network.

Callers of several kinds and accounts send requests, come back as `Retry-After` says,
and leave when their time is over. Servers of the stages take the time that they state.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from statistics import median, quantiles
from types import SimpleNamespace
from typing import TYPE_CHECKING, ClassVar

from tests.router.chains import make_server
from tests.router.virtual_time import run_in_virtual_time

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.configuration import BatchSpec
from persimmonlink_router.rollouts.rollout_book import RolloutBook
from persimmonlink_router.rollouts.version_shares import VersionShares
from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.servers import ServerDirectory
from persimmonlink_router.stage_job import StageJob, StageNeed
from persimmonlink_router.stage_outcome import StageState
from persimmonlink_router.stage_scheduler import DISPATCH_INTERVAL_S, StageScheduler
from persimmonlink_router.wire_messages import PieceResult

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence
    from typing import Any

    from persimmonlink_router.servers import Server

# Callers honour a Retry-After up to this part of the time that they have left.
HONOURED_PART = 1 / 3
ANSWER_S = 0.1  # Time from the end of the stages to the first event.
MIN_TIME_TO_TRY_S = 0.05  # Callers with less time left don't come again.


@dataclass(frozen=True)
class Caller:
    """A kind of caller.

    Parameters
    ----------
    name : str
        Name of the kind.
    share : float
        Its share of the requests.
    pieces : tuple of int
        Pieces of each stage, one after the other; 0 skips a stage.
    deadline_s : float
        Time that it has, in seconds.
    priority : int
        Rank, 0 first.
    objective_s : float
        Objective of its route, in seconds.
    account : str
        Client account.
    retries : int
        Times that it comes back after a refusal.
    max_silence_s : float
        Time after which it leaves without a first event, in seconds.
    """

    name: str
    share: float
    pieces: tuple[int, ...]
    deadline_s: float
    priority: int = 0
    objective_s: float = 1.4
    account: str = "acme"
    retries: int = 3
    max_silence_s: float = 60.0


@dataclass
class Outcomes:
    """What the callers of a kind got.

    Attributes
    ----------
    sent : int
        Callers.
    served : int
        Callers that were served in time.
    first_event_at : list of tuple of float
        Of each served caller, when it first tried, in seconds from the start, and the
        time from then to its first event, in seconds.
    tries : list of int
        Tries of the callers that were served.
    retry_after_s : list of float
        What refused tries were told, in seconds.
    refused_after_s : list of float
        Time from a refused try to its refusal, in seconds.
    """

    sent: int = 0
    served: int = 0
    first_event_at: list[tuple[float, float]] = field(default_factory=list)
    tries: list[int] = field(default_factory=list)
    retry_after_s: list[float] = field(default_factory=list)
    refused_after_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Share of the callers that were served in time."""
        return self.served / self.sent if self.sent else 0.0

    @property
    def first_event_s(self) -> list[float]:
        """Times from first tries to first events, in seconds."""
        return [time_s for _, time_s in self.first_event_at]

    @property
    def median_first_event_s(self) -> float:
        """Median time from a first try to the first event, in seconds."""
        return median(self.first_event_s)

    def describe(self) -> str:
        """Return the figures in one line."""
        firsts = sorted(self.first_event_s) or [0.0]
        last = quantiles(firsts, n=100)[98] if len(firsts) > 1 else firsts[0]
        told = median(self.retry_after_s) if self.retry_after_s else 0.0
        mean_tries = sum(self.tries) / len(self.tries) if self.tries else 0.0
        slowest = max(self.refused_after_s, default=0.0)
        return (
            f"sent {self.sent:5d} served {self.served_share:.2f} "
            f"first event {median(firsts):.2f} / {last:.2f} s tries {mean_tries:.2f} "
            f"told {told:.2f} s refused within {slowest:.2f} s"
        )


class PlayedCalls:
    """Stands in for the calls to stage servers, each of which runs one at a time.

    Parameters
    ----------
    spec_by_service : dict of str to BatchSpec
        How long the calls of each service take.
    """

    def __init__(self, spec_by_service: dict[str, BatchSpec]) -> None:
        self._spec_by_service = spec_by_service
        self._tasks: set[asyncio.Task[None]] = set()
        self.pieces_by_service: Counter[str] = Counter()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def prepare(self, _server: Server, _on_ready: Callable[[], None]) -> bool:
        """Return that a call may be sent."""
        return True

    def release(self, _results: Sequence[Any]) -> None:
        """Forget results."""

    async def run_batch(
        self, server: Server, pieces: Sequence[Any], _timeout_s: float, _on_sent: Any
    ) -> list[PieceResult]:
        """Return a result for each piece after the time of the call."""
        spec = self._spec_by_service[server.service]
        self.pieces_by_service[server.service] += len(pieces)
        await asyncio.sleep(spec.call_overhead_s + spec.time_per_piece_s * len(pieces))
        return [PieceResult(handle=f"h{id(piece)}") for piece in pieces]


def make_scheduler(
    spec_by_service: dict[str, BatchSpec], servers: int
) -> StageScheduler:
    """Return a scheduler before servers that are always sound."""
    listed = {
        name: [
            make_server(f"{name}-{index}", "abc"[index % 3], service=name)
            for index in range(servers)
        ]
        for name in spec_by_service
    }
    directory = SimpleNamespace(
        list_usable=lambda name: listed.get(name, []),
        server_by_id={s.server_id: s for group in listed.values() for s in group},
        pause_left_s=lambda _server, _now: 0.0,
        version_shares=VersionShares(),
    )
    services = {
        name: SimpleNamespace(name=name, batch=spec)
        for name, spec in spec_by_service.items()
    }
    view = SimpleNamespace(
        servers=directory,
        find_service=services.get,
        rollouts=RolloutBook(ServerDirectory()),
    )
    guard = SimpleNamespace(find_hold=lambda _: None, is_suspect=lambda _: False)
    budget = SimpleNamespace(
        record_request=lambda *_: None, try_acquire=lambda *_: True
    )
    metrics = SimpleNamespace(count=lambda *_: None, set_gauge=lambda *_: None)
    other: Any = SimpleNamespace()
    scheduler = StageScheduler(
        view, other, other, ServerHealth(), budget, metrics, other, guard, other,
        other, other,
    )  # fmt: skip
    calls = PlayedCalls(spec_by_service)
    scheduler._calls = scheduler.dispatcher._calls = calls  # type: ignore[assignment]
    return scheduler


def make_job(
    caller: Caller, name: str, left_s: float, stages: Sequence[str]
) -> StageJob:
    """Return the job of a caller's try, which has some time left, in seconds."""
    used = [i for i, count in enumerate(caller.pieces) if count]
    needs = tuple(
        StageNeed(stages[i], (place - 1,) if place else (), 1000, caller.pieces[i])
        for place, i in enumerate(used)
    )
    return StageJob(
        name, caller.account, 2 * caller.priority, caller.objective_s,
        min(left_s, caller.max_silence_s), ANSWER_S, "", name.partition("-")[0], needs,
        fingerprint=name.partition("-")[0],
    )  # fmt: skip


class StagePlay:
    """Callers before the stages of three services.

    Parameters
    ----------
    callers : sequence of Caller
        Kinds of callers.
    seed : int
        Seed of the arrivals and of the jitter.
    build_job : callable
        Builds the job of a try.
    servers : int
        Servers of each service.
    """

    SPEC_BY_SERVICE: ClassVar = {
        "encode": BatchSpec(1, 5, 0.24, 0.0416, 6e9),
        "retrieve": BatchSpec(1, 15, 0.24, 0.0132, 6e9),
        "rerank": BatchSpec(1, 22, 0.24, 0.0093, 6e9),
    }

    def __init__(
        self,
        callers: Sequence[Caller],
        seed: int = 1,
        build_job: Callable[..., StageJob] = make_job,
        servers: int = 3,
    ) -> None:
        self.callers = callers
        self._rng = random.Random(seed)
        self._build_job = build_job
        self._servers = servers
        self.outcomes: dict[str, Outcomes] = defaultdict(Outcomes)
        self.scheduler: StageScheduler

    def capacity_per_s(self) -> float:
        """Return the requests a second that full batches of all servers bear."""
        rates = []
        for index, spec in enumerate(self.SPEC_BY_SERVICE.values()):
            mean = sum(c.share * c.pieces[index] for c in self.callers)
            call_s = spec.call_overhead_s + spec.time_per_piece_s * spec.max_pieces
            if mean:
                rates.append(self._servers * spec.max_pieces / call_s / mean)
        return min(rates)

    def run(self, phases: Sequence[tuple[float, float]]) -> dict[str, Outcomes]:
        """Play phases, each some seconds at a multiple of capacity; return outcomes."""
        run_in_virtual_time(self._run(phases))
        return self.outcomes

    async def _run(self, phases: Sequence[tuple[float, float]]) -> None:
        self._started_at = boot_time()
        self.scheduler = make_scheduler(self.SPEC_BY_SERVICE, self._servers)
        ticks = asyncio.create_task(self._tick())
        tasks = []
        for seconds, load in phases:
            ends_at = boot_time() + seconds
            while boot_time() < ends_at:
                rate = load * self.capacity_per_s()
                await asyncio.sleep(self._rng.expovariate(rate))
                tasks.append(asyncio.create_task(self._call(len(tasks))))
        await asyncio.gather(*tasks)
        ticks.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_S)
            self.scheduler.tick()

    def _choose_scheduler(self, _number: int) -> StageScheduler:
        return self.scheduler

    async def _call(self, number: int) -> None:
        caller = self._rng.choices(self.callers, [c.share for c in self.callers])[0]
        outcomes = self.outcomes[caller.name]
        scheduler = self._choose_scheduler(number)
        outcomes.sent += 1
        began_at = boot_time()
        ends_at = began_at + caller.deadline_s
        for attempt in range(caller.retries + 1):
            left_s = ends_at - boot_time()
            if left_s < MIN_TIME_TO_TRY_S:
                return
            tried_at = boot_time()
            leaves_at = min(ends_at, tried_at + caller.max_silence_s)
            name = f"{number}-{attempt}"
            job = self._build_job(caller, name, left_s, list(self.SPEC_BY_SERVICE))
            outcome = await scheduler.run(job)
            if outcome.state is StageState.DONE:
                await asyncio.sleep(ANSWER_S)
                scheduler.release(name)
                if boot_time() > leaves_at:
                    continue
                outcomes.served += 1
                first_event_s = boot_time() - began_at
                outcomes.first_event_at.append(
                    (began_at - self._started_at, first_event_s)
                )
                outcomes.tries.append(attempt + 1)
                return
            outcomes.refused_after_s.append(boot_time() - tried_at)
            outcomes.retry_after_s.append(outcome.retry_after_s)
            jitter = 0.0 if outcome.has_turn else 0.4 * self._rng.random()
            wait_s = outcome.retry_after_s * (1 + jitter)
            await asyncio.sleep(min(wait_s, HONOURED_PART * (ends_at - boot_time())))


__all__ = ("Caller", "Outcomes", "StagePlay", "make_scheduler")
