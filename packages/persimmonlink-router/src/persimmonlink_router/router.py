"""Composition of a router from its parts, its start, stop and reload."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_peers.peer_server import PeerServer
from persimmonlink_router.background_tasks import BackgroundTasks
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.byte_budget import ByteBudget
from persimmonlink_router.client_directory import ClientDirectory, DirectoryWire
from persimmonlink_router.client_pressure.bounded_log import BoundedLog
from persimmonlink_router.client_pressure.machine_limits import (
    read_max_descriptors,
    read_memory_mb,
)
from persimmonlink_router.client_pressure.memory_plan import plan_memory
from persimmonlink_router.client_use_times import DIRECTORY_TTL_S
from persimmonlink_router.cluster_membership import MEMBER_PREFIX, ClusterMembership
from persimmonlink_router.cluster_view import ClusterView, EntryReader
from persimmonlink_router.connection_pool import ConnectionPool
from persimmonlink_router.counted_store import CountedStore
from persimmonlink_router.crash_guard import CrashGuard
from persimmonlink_router.crash_reports import CrashReporter
from persimmonlink_router.end_confirmer import EndConfirmer
from persimmonlink_router.graceful_stop import GracefulStop
from persimmonlink_router.hold_records import HOLD_PREFIX, HoldRecords
from persimmonlink_router.http_listeners import HttpListeners
from persimmonlink_router.http_server import RequestLimits
from persimmonlink_router.loop_lag import LoopLagMonitor
from persimmonlink_router.member_registration import MemberRegistration
from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.operator_api import OperatorApi
from persimmonlink_router.peer_handlers import (
    register_membership,
    register_requests,
    register_rollouts,
    register_server_state,
)
from persimmonlink_router.peer_messages import EngineLoad, RouterMember
from persimmonlink_router.reach_board import ReachBoard
from persimmonlink_router.reach_monitor import ReachMonitor
from persimmonlink_router.request_forwarder import RequestForwarder
from persimmonlink_router.request_service import RequestService
from persimmonlink_router.rollouts.rollout_controller import (
    RolloutController,
    StatusWriter,
)
from persimmonlink_router.rollouts.rollout_records import ROLLOUT_PREFIX
from persimmonlink_router.router_status import RouterStatus
from persimmonlink_router.send_limits import ColdSendLimit, RetryBudget
from persimmonlink_router.server_chooser import ServerChooser
from persimmonlink_router.server_ends import ServerEndDetector
from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.server_limiter import ServerLimiter
from persimmonlink_router.server_places import ServerPlaces
from persimmonlink_router.server_reach import ServerReach
from persimmonlink_router.server_sender import ServerSender
from persimmonlink_router.stage_coordinator_client import StageCoordinatorClient
from persimmonlink_router.stage_leadership import StageLeadership
from persimmonlink_router.stage_scheduler import DISPATCH_INTERVAL_S, StageScheduler
from persimmonlink_router.stop_clock import StopClock
from persimmonlink_router.store import MetadataStore
from persimmonlink_router.store_backoff import StoreBackoff
from persimmonlink_router.store_follower import StoreFollower
from persimmonlink_router.store_intervals import choose_outage_interval_s
from persimmonlink_router.store_mirror import StoreMirror
from persimmonlink_router.store_returns import StoreReturns
from persimmonlink_router.stream_version_exchange import StreamVersionExchange
from persimmonlink_router.stream_version_saver import (
    StreamVersionSaver,
    is_saved_version,
)
from persimmonlink_router.stream_versions import StreamVersions
from persimmonlink_router.timers import LoopTimerService, run_each
from persimmonlink_router.view_confirmer import ViewConfirmer
from persimmonlink_router.wire_messages import Wire

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_model.result_code import ResultCode
    from persimmonlink_router.http_server import Exchange
    from persimmonlink_router.router_settings import RouterSettings
    from persimmonlink_router.server_ends import InterruptedRequest
    from persimmonlink_router.servers import Server
    from persimmonlink_router.store import StoredItem

OWN_PREFIX = "persimmonlink/"  # Prefix of all keys that routers write.
# Part of the allowed share of a new version that is used: requests are drawn by chance.
CANARY_MARGIN = 0.8
TICK_INTERVAL_S = 0.1  # Interval of the check for a suspension of the VM.
# Largest body of a request to the directory, or for readiness or metrics.
MAX_SERVICE_BODY_BYTES = 4096
SWEEP_INTERVAL_S = 1.0  # Interval of closing idle connections and discarding old state.


@dataclass(frozen=True)
class Adapters:
    """Adapters between the router and the platform.

    Parameters
    ----------
    store : MetadataStore
        Client of the platform's metadata store.
    reader : EntryReader
        Translates the entries of the store.
    wire : Wire
        Translates headers and messages of clients and servers.
    directory : DirectoryWire
        Formats the responses of the directory.
    status_writer : StatusWriter
        Translates decisions on rollouts for operators.
    """

    store: MetadataStore
    reader: EntryReader
    wire: Wire
    directory: DirectoryWire
    status_writer: StatusWriter


class Router:
    """Builds the parts of a router and controls their lifecycle.

    Parameters
    ----------
    settings : RouterSettings
        Settings of this node.
    adapters : Adapters
        Adapters to the platform.
    """

    def __init__(self, settings: RouterSettings, adapters: Adapters) -> None:
        self._settings = settings
        self._adapters = adapters
        self._rng = random.Random()
        limits = settings.limits
        plan = plan_memory(
            settings.memory_mb or read_memory_mb(),
            settings.max_descriptors or read_max_descriptors(),
        )
        self.metrics = RouterMetrics()
        self._peer_log = BoundedLog(self.metrics)
        self._loop_lag = LoopLagMonitor(TICK_INTERVAL_S, self.metrics)
        self._store = CountedStore(adapters.store, self.metrics)
        self._timers = LoopTimerService()
        self._tasks = BackgroundTasks()
        self._stop_clock = StopClock()
        self._is_dispatch_due = False
        self._reach = ServerReach()
        self._pool = ConnectionPool(self._reach)
        self._health = ServerHealth()
        self._cold_limit = ColdSendLimit(limits.cold_burst_factor, limits.cold_slack)
        self._retry_budget = RetryBudget(
            limits.retry_ratio, limits.retry_slack, limits.retry_window_s
        )
        self._piece_retry_budget = RetryBudget(
            limits.retry_ratio, limits.retry_slack, limits.retry_window_s
        )
        self.cluster_view = ClusterView(adapters.reader, self._on_view_change)
        self._mirror = StoreMirror(self._on_store_item)
        own_member = RouterMember(
            f"{settings.node}-{uuid.uuid4().hex[:8]}",
            "1",
            settings.domain,
            settings.listen.clients,
            settings.listen.peers,
            cores=settings.core_share * settings.core_speed,
            region=settings.region,
        )
        self.membership = ClusterMembership(
            own_member,
            settings.seeds,
            self.cluster_view,
            self._mirror,
            self._collect_engine_loads,
        )
        self.cluster_view.rollouts.trial_share = CANARY_MARGIN * limits.canary_share
        self.rollouts = RolloutController(
            self.membership,
            self.cluster_view,
            self._health,
            self._store,
            self._mirror,
            adapters.status_writer,
        )
        self._reach_board = ReachBoard(
            lambda: self.membership.own_member.node_id, self.membership.facts.spread
        )
        self.membership.facts.attach(self._reach_board)
        self.membership.facts.attach(
            StoreReturns(self.cluster_view, self.membership.facts.spread)
        )
        self._limiter = ServerLimiter(self.membership, self.cluster_view, self.metrics)
        self.membership.facts.attach(self._limiter)
        self._places = ServerPlaces(
            self.membership, self.cluster_view, self.metrics, self._reach
        )
        self.membership.facts.attach(self._places)
        self._crash_guard = CrashGuard(
            self.membership,
            CrashReporter(self.membership),
            HoldRecords(self._store),
            self.membership.facts.spread,
            self.metrics,
        )
        self.membership.facts.attach(self._crash_guard)
        self._end_confirmer = EndConfirmer(
            self.membership,
            self._reach_board,
            self._reach,
            self._pool,
            self.cluster_view,
            self._rng,
        )
        end_detector = ServerEndDetector(
            self._record_server_end,
            self._pool,
            self._end_confirmer,
            self.metrics,
        )
        self._scheduler = StageScheduler(
            self.cluster_view,
            self._pool,
            adapters.wire,
            self._health,
            self._piece_retry_budget,
            self.metrics,
            self._limiter,
            self._crash_guard,
            end_detector,
            self._reach,
            self._places,
        )
        self._stage_leadership = StageLeadership(
            self._scheduler,
            self._reach,
            self._reach_board,
            self.cluster_view,
            self.membership,
            self._stop_clock,
        )
        self._reach_monitor = ReachMonitor(
            self._reach,
            self.cluster_view,
            self._pool,
            self.metrics,
            self._on_reach_change,
        )
        self._coordinator_client = StageCoordinatorClient(
            self.membership, self._scheduler, self._reach_board
        )
        self._chooser = ServerChooser(
            settings.domain,
            self.cluster_view,
            self.membership,
            self._pool,
            self._health,
            self._cold_limit,
            self._limiter,
            self._places,
        )
        self._stream_versions = StreamVersions()
        mirrored_prefixes = (*adapters.reader.prefixes, OWN_PREFIX)
        self._version_exchange = StreamVersionExchange(
            self.membership,
            self.cluster_view,
            self._stream_versions,
            self._mirror,
            ViewConfirmer(
                self._store,
                mirrored_prefixes,
                self._mirror,
                self.cluster_view,
                self.membership.peak_node_count,
            ),
        )
        self.cluster_view.on_start = self._version_exchange.handle_restart
        self.stream_version_saver = StreamVersionSaver(
            self.membership,
            self.cluster_view,
            self._stream_versions,
            self._mirror,
            self._store,
            self.metrics,
        )
        self._sender = ServerSender(
            self._chooser,
            self.cluster_view,
            self.membership,
            self._pool,
            adapters.wire,
            self._health,
            self._retry_budget,
            self._version_exchange,
            end_detector,
            self._crash_guard,
            self._limiter,
            self.metrics,
            self._reach,
            self._places,
            plan,
        )
        self._forwarder = RequestForwarder(
            self.membership,
            self._reach_board,
            self.cluster_view,
            self.metrics,
            self._rng,
            self._sender.body_budget,
        )
        self._request_service = RequestService(
            self.cluster_view,
            adapters.wire,
            self._sender,
            self._coordinator_client,
            self.metrics,
            self._rng,
            self._forwarder,
            self._stop_clock,
            plan.relayed_bytes,
        )
        self._follower = StoreFollower(
            self._store,
            mirrored_prefixes,
            self._mirror,
            self.cluster_view,
            self.membership.peak_node_count,
            StoreBackoff(self._get_outage_interval_s, self._rng),
        )
        self.membership.subscribe_to_revisions(self._follower.record_peer_revision)
        self._registration = MemberRegistration(
            self._store,
            lambda: self.membership.own_member,
            self.membership.mark_registered,
            lambda: self.cluster_view.is_in_contact,
            StoreBackoff(self._get_outage_interval_s, self._rng),
        )
        self._client_limits = RequestLimits()
        self._listeners = HttpListeners(self.metrics)
        self._client_server = self._listeners.add(
            settings.listen.clients,
            self._request_service.handle,
            self._client_limits,
            plan,
        )
        status = RouterStatus(
            self.metrics,
            self.membership,
            self.cluster_view,
            self._reach_board,
            self._reach_monitor,
            self._forwarder,
            self._pool,
            self._scheduler.dispatcher,
            self._client_server,
        )
        operator_api = OperatorApi(
            status.render_metrics,
            self._crash_guard,
            status.describe_reach,
            self._places.describe,
        )
        directory = ClientDirectory(
            self.membership,
            self.cluster_view,
            self._reach_board,
            adapters.directory,
            lambda: min(DIRECTORY_TTL_S, self._settings.limits.directory_ttl_s),
            self._rng,
        )
        for address, handler, address_plan in (
            (settings.listen.readiness, self._respond_readiness, plan.for_operators()),
            (settings.listen.directory, directory.handle, plan.for_lookups()),
            (settings.listen.metrics, operator_api.handle, plan.for_operators()),
        ):
            limits_there = RequestLimits(body_bytes=MAX_SERVICE_BODY_BYTES)
            self._listeners.add(address, handler, limits_there, address_plan)
        self._peer_server = PeerServer(
            self._count_invalid_message,
            ByteBudget(plan.message_bytes, plan.small_message_bytes),
            plan.peer_connections,
            self._log_invalid_message,
        )
        self._graceful_stop = GracefulStop(
            self._stop_clock,
            self._client_server,
            self._listeners.servers,
            self._request_service,
            self._scheduler,
            self._peer_server,
            [
                end_detector,
                self._crash_guard,
                self.membership.facts,
                self._places,
                self._version_exchange,
                self._coordinator_client,
            ],
        )

    async def start(self) -> None:
        """Open all listeners, then start the timers and background tasks."""
        await self._start_peers()
        await self._listeners.start()
        self._timers.every(TICK_INTERVAL_S, self._tick, "tick")
        self._timers.every(SWEEP_INTERVAL_S, self._sweep, "sweep")
        self._timers.every(DISPATCH_INTERVAL_S, self._scheduler.tick, "stages")
        self._tasks.spawn_loop(self._follower.run, "store-follower")
        self._tasks.spawn_loop(self.membership.run_heartbeats, "heartbeats")
        self._tasks.spawn_loop(self._register, "registration")
        logger.bind(
            domain=self._settings.domain,
            member=self.membership.own_member.node_id,
            clients=self._settings.listen.clients,
        ).info("process.started")

    async def stop(self) -> None:
        """Leave the cluster, drain running requests and stages, then close."""
        self._stop_clock.begin(boot_time(), self._settings.limits.stop_s)
        self._tasks.spawn(self._leave(), "leave")
        await self._graceful_stop.drain()
        self._close()

    async def _leave(self) -> None:
        """Tell the other nodes and the store that this node leaves."""
        places, permits = self._places.succession, self._crash_guard.trials
        run_each(
            "leave",
            (
                self.membership.mark_leaving,
                lambda: self._tasks.spawn(places.hand_over(), "places"),
                lambda: self._tasks.spawn(permits.hand_over(), "permits"),
                self._scheduler.transfer_requests,
            ),
        )
        await self._registration.deregister()

    def reload(self, settings: RouterSettings) -> None:
        """Apply changed limits; the retry window and other settings need a restart."""
        limits = settings.limits
        self._settings = replace(self._settings, limits=limits, seeds=settings.seeds)
        self._retry_budget.configure(limits.retry_ratio, limits.retry_slack)
        self._piece_retry_budget.configure(limits.retry_ratio, limits.retry_slack)
        self._cold_limit.configure(limits.cold_burst_factor, limits.cold_slack)
        self.cluster_view.rollouts.trial_share = CANARY_MARGIN * limits.canary_share
        logger.info("process.reloaded")

    def _close(self) -> None:
        self._timers.stop()
        self._listeners.close()
        self._tasks.cancel()
        self.membership.close()

    async def _start_peers(self) -> None:
        peers = self._peer_server
        register_membership(peers, self.membership)
        register_requests(
            peers,
            self._request_service,
            self._coordinator_client,
            self._version_exchange,
        )
        register_server_state(
            peers,
            self._crash_guard,
            self._end_confirmer,
            self._places,
            self._limiter,
        )
        register_rollouts(peers, self.rollouts)
        host, _, port = self._settings.listen.peers.rpartition(":")
        await peers.start(host, int(port))

    async def _register(self) -> None:
        """Register this node in the store once it has a configuration."""
        while self.cluster_view.configuration is None:
            await asyncio.sleep(TICK_INTERVAL_S)
        self.membership.mark_configured(self.cluster_view.configuration.version)
        await self._registration.run()

    def _get_outage_interval_s(self) -> float:
        return choose_outage_interval_s(self.membership.peak_node_count())

    def _tick(self) -> None:
        run_each(
            "tick",
            (
                lambda: self._loop_lag.tick(boot_time(), time.process_time()),
                self._tick_view,
                self._crash_guard.tick,
                self.stream_version_saver.tick,
                self._reach_monitor.tick,
                self.rollouts.tick,
                self._end_stalled_clients,
                self._tick_leadership,
            ),
        )

    def _tick_view(self) -> None:
        if self.cluster_view.tick(boot_time()):
            self._follower.refresh()

    def _end_stalled_clients(self) -> None:
        count = 0
        for server in self._listeners.servers:
            server.close_departed()
            count += server.end_stalled(boot_time())
        if count:
            self.metrics.count("stalled_connections_ended_total", amount=count)

    def _tick_leadership(self) -> None:
        if self._reach.unreached_services:
            self._stage_leadership.update()

    def _sweep(self) -> None:
        keys = {s.key for s in self.cluster_view.servers.server_by_id.values()}
        run_each(
            "sweep",
            (
                lambda: self._pool.close_idle(keys),
                lambda: self._health.retain_servers(keys),
                lambda: self._reach.retain_servers(keys),
                lambda: self._chooser.retain_servers(keys),
                lambda: self._scheduler.servers.discard_absent(keys),
                lambda: self._stream_versions.discard_expired(boot_time()),
                self._version_exchange.sweep,
                self._crash_guard.sweep,
                lambda: self._limiter.retain_servers(keys),
                lambda: self._places.retain_servers(keys),
                self._retain_response_times,
            ),
        )

    def _retain_response_times(self) -> None:
        configuration = self.cluster_view.configuration
        if configuration is not None:
            self._health.response_times.retain_only(configuration.service_by_name)

    def _record_server_end(
        self, server: Server, requests: Sequence[InterruptedRequest]
    ) -> None:
        """Take the end of a server for evidence, a weaker one after rejections."""
        ended_at = requests[0].interrupted_at
        is_doubtful = self._places.explains_end(server, ended_at)
        if is_doubtful:
            logger.bind(server=server.server_id).info("server.ended_after_rejections")
        self._crash_guard.record_server_end(server, requests, is_doubtful=is_doubtful)

    def _on_reach_change(self) -> None:
        """Tell the other nodes which services this node doesn't reach."""
        self._reach_board.update_own(self._reach.unreached_services)
        self._stage_leadership.update()

    def _on_store_item(self, item: StoredItem) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self.membership.apply_store_item(item)
            return
        if item.key.startswith(HOLD_PREFIX):
            self._crash_guard.apply_store_item(item)
            return
        if item.key.startswith(ROLLOUT_PREFIX):
            self.rollouts.apply_store_item(item)
            return
        if is_saved_version(item.key):
            self.stream_version_saver.apply_store_item(item)
            return
        self.cluster_view.apply(item, self._mirror.origin)

    def _on_view_change(self) -> None:
        configuration = self.cluster_view.configuration
        if configuration is None:
            return
        limits = configuration.limits
        self._client_limits.header_bytes = limits.header_bytes
        self._client_limits.body_bytes = limits.body_bytes
        self._client_limits.header_timeout_s = limits.header_timeout_s
        self._client_limits.idle_timeout_s = limits.idle_timeout_s
        if not self._is_dispatch_due:
            self._is_dispatch_due = True
            asyncio.get_running_loop().call_soon(self._dispatch_pieces)

    def _dispatch_pieces(self) -> None:
        """Dispatch waiting pieces, once for all changes that came together."""
        self._is_dispatch_due = False
        self._scheduler.dispatcher.dispatch_all()

    def _collect_engine_loads(self) -> dict[str, EngineLoad]:
        loads = {}
        for server in self.cluster_view.servers.server_by_id.values():
            in_flight = self._health.in_flight(server.key)
            if not in_flight:
                continue
            unread = self._health.unread_tokens(server.key)
            loads[server.server_id] = EngineLoad(in_flight, unread)
        return loads

    def _log_invalid_message(self, code: ResultCode, reason: str) -> None:
        self._peer_log.write(
            "WARNING",
            "rejected peer message",
            str(code.value),
            code=code.value,
            reason=reason,
        )

    def _count_invalid_message(self, code: ResultCode) -> None:
        self.metrics.count("invalid_peer_messages_total", f'code="{code.value}"')

    async def _respond_readiness(self, exchange: Exchange) -> None:
        has_configuration = self.cluster_view.configuration is not None
        is_ready = has_configuration and not self._stop_clock.is_stopping
        status = 200 if is_ready else 503
        await exchange.respond(status, [], b"")


__all__ = ("Adapters", "DirectoryWire", "Router")
