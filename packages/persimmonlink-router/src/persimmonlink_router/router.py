"""One router: its parts, how they are joined, started and stopped."""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from persimmonlink_peers.peer_server import PeerServer
from persimmonlink_router.beliefs import Beliefs, EntryReader
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import Wire
from persimmonlink_router.connection_pool import ConnectionPool
from persimmonlink_router.fleet import MEMBER_PREFIX, Fleet
from persimmonlink_router.http_server import HttpServer, ServerLimits
from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.peer_messages import (
    Done,
    EngineLoad,
    MirrorNews,
    MirrorPull,
    PrepareStages,
    ReleaseResults,
    RouterHeartbeat,
    RouterMember,
)
from persimmonlink_router.request_service import RequestService
from persimmonlink_router.send_limits import ColdLimit, RetryBudget
from persimmonlink_router.server_chooser import ServerChooser
from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.server_sender import ServerSender
from persimmonlink_router.stage_link import StageLink
from persimmonlink_router.stage_outcome import StageOutcome
from persimmonlink_router.stage_scheduler import PUMP_INTERVAL_S, StageScheduler
from persimmonlink_router.store import MetadataStore
from persimmonlink_router.store_follower import MemberRegistration, StoreFollower
from persimmonlink_router.store_mirror import StoreMirror
from persimmonlink_router.timers import LoopTimerService

if TYPE_CHECKING:
    from collections.abc import Coroutine, Sequence
    from typing import Any

    from persimmonlink_model.result_code import ResultCode
    from persimmonlink_router.http_messages import Headers
    from persimmonlink_router.http_server import Exchange
    from persimmonlink_router.router_settings import RouterSettings
    from persimmonlink_router.store import StoredItem

TICK_S = 0.1  # How often the node notes that it runs.
SWEEP_S = 1.0  # How often idle connections and old records are dropped.
DIRECTORY_TTL_S = 1.0  # Clients keep answers up to three times as long.
STOP_LINGER_S = 3.5  # Time in which clients still hold old directory answers.
STOP_MARGIN_S = 0.4  # Time kept to end in order before the process is killed.
STOP_POLL_S = 0.05  # How often it is looked whether all requests are over.
MAX_DIRECTORY_ADDRESSES = 64  # Addresses that a directory answer may hold.


class DirectoryWire(Protocol):
    """How clients are told where to connect."""

    def make_directory_answer(
        self, addresses: Sequence[str], ttl_s: float
    ) -> tuple[Headers, bytes]:
        """Return headers and body of a directory answer."""
        ...


@dataclass(frozen=True)
class Adapters:
    """What connects the router to the platform around it.

    Parameters
    ----------
    store : MetadataStore
        The store.
    reader : EntryReader
        Reads its entries.
    wire : Wire
        Headers and messages of clients and servers.
    directory : DirectoryWire
        Answers of the directory.
    """

    store: MetadataStore
    reader: EntryReader
    wire: Wire
    directory: DirectoryWire


class Router:
    """A router with all its parts.

    Parameters
    ----------
    settings : RouterSettings
        Its settings.
    adapters : Adapters
        The platform around it.
    """

    def __init__(self, settings: RouterSettings, adapters: Adapters) -> None:
        self._settings = settings
        self._adapters = adapters
        self._rng = random.Random()
        limits = settings.limits
        self.metrics = RouterMetrics()
        self._timers = LoopTimerService()
        self._tasks: list[asyncio.Task[Any]] = []
        self._is_stopping = False
        self._pool = ConnectionPool()
        self._health = ServerHealth()
        self._cold = ColdLimit(limits.cold_burst_factor, limits.cold_slack)
        self._budget = RetryBudget(
            limits.retry_ratio, limits.retry_slack, limits.retry_window_s
        )
        self._piece_budget = RetryBudget(
            limits.retry_ratio, limits.retry_slack, limits.retry_window_s
        )
        self.beliefs = Beliefs(adapters.reader, self._on_belief_change)
        self._mirror = StoreMirror(self._on_item)
        own = RouterMember(
            f"{settings.node}-{uuid.uuid4().hex[:8]}",
            "1",
            settings.domain,
            settings.listen.clients,
            settings.listen.peers,
            cores=settings.core_share * settings.core_speed,
        )
        self.fleet = Fleet(
            own, settings.seeds, self.beliefs, self._mirror, self._list_loads
        )
        self._scheduler = StageScheduler(
            self.beliefs,
            self._pool,
            adapters.wire,
            self._health,
            self._piece_budget,
            self.metrics,
        )
        self._stages = StageLink(self.fleet, self._scheduler)
        self._chooser = ServerChooser(
            settings.domain,
            self.beliefs,
            self.fleet,
            self._pool,
            self._health,
            self._cold,
        )
        self._sender = ServerSender(
            self._chooser,
            self.beliefs,
            self.fleet,
            self._pool,
            adapters.wire,
            self._health,
            self._budget,
        )
        self._requests = RequestService(
            self.beliefs,
            adapters.wire,
            self._sender,
            self._stages,
            self.metrics,
            self._rng,
        )
        self._follower = StoreFollower(
            adapters.store,
            (*adapters.reader.prefixes, MEMBER_PREFIX),
            self._mirror,
            self.beliefs,
            self.fleet.count_nodes,
        )
        self._registration = MemberRegistration(
            adapters.store, lambda: self.fleet.own, self.fleet.note_registered
        )
        self._limits = ServerLimits()
        self._clients = HttpServer(self._requests.handle, self._limits)
        self._others = [
            (settings.listen.readiness, HttpServer(self._answer_ready, ServerLimits())),
            (
                settings.listen.directory,
                HttpServer(self._answer_directory, ServerLimits()),
            ),
            (settings.listen.metrics, HttpServer(self._answer_metrics, ServerLimits())),
        ]
        self._peers = PeerServer(self._count_invalid)

    async def start(self) -> None:
        """Start all parts."""
        await self._start_peers()
        await self._listen(self._settings.listen.clients, self._clients)
        for address, server in self._others:
            await self._listen(address, server)
        self._timers.every(TICK_S, self._tick, "tick")
        self._timers.every(SWEEP_S, self._sweep, "sweep")
        self._timers.every(PUMP_INTERVAL_S, self._scheduler.tick, "stages")
        self._spawn(self._follower.run(), "store-follower")
        self._spawn(self.fleet.run_heartbeats(), "heartbeats")
        self._spawn(self._register(), "registration")
        logger.bind(
            domain=self._settings.domain,
            member=self.fleet.own.node_id,
            clients=self._settings.listen.clients,
        ).info("process.start")

    async def stop(self) -> None:
        """Leave the directory, finish what runs, then close."""
        self._is_stopping = True
        started = boot_time()
        logger.bind(serving=self._clients.count_serving()).info("process.stopping")
        self._clients.is_stopping = True
        self.fleet.leave()
        self._scheduler.hand_over()
        self._spawn(self._registration.leave(), "leave")
        limit_s = self._settings.limits.stop_s - STOP_MARGIN_S
        while (spent_s := boot_time() - started) < limit_s:
            is_busy = self._clients.count_serving() or self._scheduler.count_running()
            if spent_s > STOP_LINGER_S and not is_busy:
                break
            await asyncio.sleep(STOP_POLL_S)
        logger.bind(
            serving=self._clients.count_serving(), took_s=round(spent_s, 2)
        ).info("process.stop")
        self._close()

    def reload(self, settings: RouterSettings) -> None:
        """Take over settings that have changed while the node runs."""
        limits = settings.limits
        self._settings = replace(self._settings, limits=limits, seeds=settings.seeds)
        self._budget.configure(limits.retry_ratio, limits.retry_slack)
        self._piece_budget.configure(limits.retry_ratio, limits.retry_slack)
        self._cold.configure(limits.cold_burst_factor, limits.cold_slack)
        logger.info("process.reload")

    def _close(self) -> None:
        self._timers.stop()
        self._clients.close()
        for _, server in self._others:
            server.close()
        for task in self._tasks:
            task.cancel()
        self.fleet.close()

    async def _start_peers(self) -> None:
        peers = self._peers
        fleet = self.fleet
        stages = self._stages
        peers.register(RouterHeartbeat, RouterHeartbeat, fleet.handle_heartbeat)
        peers.register(MirrorPull, MirrorNews, fleet.handle_pull)
        peers.register(PrepareStages, StageOutcome, stages.handle_prepare)
        peers.register(ReleaseResults, Done, stages.handle_release)
        host, _, port = self._settings.listen.peers.rpartition(":")
        await peers.start(host, int(port))

    async def _listen(self, address: str, server: HttpServer) -> None:
        host, _, port = address.rpartition(":")
        await server.start(host, int(port))

    async def _register(self) -> None:
        """Name this node in the store once it can serve."""
        while self.beliefs.configuration is None:
            await asyncio.sleep(TICK_S)
        self.fleet.note_configured(self.beliefs.configuration.version)
        await self._registration.run()

    def _spawn(self, work: Coroutine[Any, Any, Any], name: str) -> None:
        task = asyncio.get_running_loop().create_task(work, name=name)
        task.add_done_callback(_log_end)
        self._tasks.append(task)

    def _tick(self) -> None:
        self.beliefs.tick(boot_time())

    def _sweep(self) -> None:
        keys = {s.key for s in self.beliefs.servers.server_by_id.values()}
        self._pool.drop_idle(keys)
        self._health.forget_other(keys)
        self._chooser.forget_other(keys)
        self._scheduler.servers.forget_other(keys)
        configuration = self.beliefs.configuration
        if configuration is not None:
            names = {route.name for route in configuration.routes}
            self._requests.forget_other_routes(names)

    def _on_item(self, item: StoredItem) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self.fleet.take_store_item(item)
            return
        self.beliefs.apply(item)

    def _on_belief_change(self) -> None:
        configuration = self.beliefs.configuration
        if configuration is None:
            return
        limits = configuration.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._scheduler.dispatcher.pump_all()

    def _list_loads(self) -> dict[str, EngineLoad]:
        loads = {}
        for server in self.beliefs.servers.server_by_id.values():
            in_flight = self._health.in_flight(server.key)
            if not in_flight:
                continue
            unread = self._health.unread_tokens(server.key)
            loads[server.server_id] = EngineLoad(in_flight, unread)
        return loads

    def _count_invalid(self, code: ResultCode) -> None:
        self.metrics.count("invalid_peer_messages_total", f'code="{code.value}"')

    async def _answer_ready(self, exchange: Exchange) -> None:
        is_ready = self.beliefs.configuration is not None and not self._is_stopping
        status = 200 if is_ready else 503
        await exchange.answer(status, [], b"")

    async def _answer_directory(self, exchange: Exchange) -> None:
        members = self.fleet.list_entries()
        addresses = sorted({m.http_address for m in members})
        if not addresses:
            await exchange.answer(503, [(b"retry-after", b"0.5")], b"")
            return
        if len(addresses) > MAX_DIRECTORY_ADDRESSES:
            addresses = self._rng.sample(addresses, MAX_DIRECTORY_ADDRESSES)
        ttl_s = min(DIRECTORY_TTL_S, self._settings.limits.directory_ttl_s)
        headers, body = self._adapters.directory.make_directory_answer(addresses, ttl_s)
        await exchange.answer(200, headers, body)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        self._note_gauges()
        await exchange.answer(200, headers, self.metrics.to_text().encode())

    def _note_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge("connections_opened_total", self._pool.opened)
        metrics.gauge("stage_batches_total", self._scheduler.dispatcher.batches)
        metrics.gauge("stage_pieces_total", self._scheduler.dispatcher.batched_pieces)
        metrics.gauge("requests_in_progress", self._clients.count_serving())
        metrics.gauge("store_age_seconds", boot_time() - self.beliefs.contact_at)


def _log_end(task: asyncio.Task[Any]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logger.bind(task=task.get_name(), error=repr(error)).error("task.failed")


__all__ = ("Adapters", "DirectoryWire", "Router")
