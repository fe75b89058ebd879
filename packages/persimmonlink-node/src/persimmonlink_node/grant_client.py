"""Requests slots from pool coordinators, with one task per coordinator."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial
from threading import Lock
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.pool_ownership import (
    PoolKey,
    choose_coordinators,
    group_by_pool,
)
from persimmonlink_node.held_grants import HeldGrants
from persimmonlink_peers.grant_messages import (
    PoolRequest,
    ServerNotice,
    ServerNoticeReply,
    ServerProgress,
    SlotReply,
    SlotRequest,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.cold_server_detector import ProgressSource
    from persimmonlink_node.control_loop import ControlLoop
    from persimmonlink_node.dispatcher import ServiceDemand
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.peer_links import PeerLinks
    from persimmonlink_node.pool_coordinator import PoolCoordinator
    from persimmonlink_node.service_dispatchers import ServiceDispatchers
    from persimmonlink_node.settings import GrantSettings

RECONCILE_INTERVAL_S = 0.1
MIN_REQUEST_GAP_S = 0.1
CALL_TIMEOUT_S = 0.5
NOTICE_RETRY_INTERVAL_S = 0.2
MAX_NOTICE_ATTEMPTS = 10


class GrantClient:
    """Requests grants from pool coordinators and passes them to the dispatchers.

    Parameters
    ----------
    state : NodeState
        Services and servers.
    members : MemberView
        Live nodes, from which coordinators are chosen.
    dispatchers : ServiceDispatchers
        Dispatchers that receive the grants.
    links : PeerLinks
        Connections to the coordinators.
    local_coordinator : PoolCoordinator
        This node's own coordinator, called without a network round trip.
    control : ControlLoop
        Event loop that runs the tasks.
    settings : GrantSettings
        Request intervals.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        state: NodeState,
        members: MemberView,
        dispatchers: ServiceDispatchers,
        links: PeerLinks,
        local_coordinator: PoolCoordinator,
        control: ControlLoop,
        settings: GrantSettings,
        clock: Clock,
    ) -> None:
        self._state = state
        self._members = members
        self._dispatchers = dispatchers
        self._links = links
        self._local_coordinator = local_coordinator
        self._control = control
        self._settings = settings
        self._clock = clock
        self._lock = Lock()
        self._held_grants = HeldGrants(links.sender.node_id)
        self._sequence = 0
        self._progress: ProgressSource | None = None
        self._sent_progress_by_server: dict[tuple[str, str], ServerProgress] = {}
        self._coordinator_by_pool: dict[PoolKey, str] = {}
        self._wake_event_by_coordinator: dict[str, asyncio.Event] = {}
        self._subscribed_services: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, progress: ProgressSource) -> None:
        """Start requesting slots."""
        self._progress = progress
        self._control.submit(self._reconcile_periodically())

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        """Stop using a server's grant and notify the coordinator of its pool."""
        vm = self._state.find_vm(server_id)
        if vm is None:
            return
        with self._lock:
            self._held_grants.discard_grants(server_id)
        self._dispatchers.get(service).drop_grant(server_id)
        notice = ServerNotice(
            self._links.sender, service, vm.domain, server_id, incarnation, reason
        )
        self._control.submit(self._send_notice(notice))

    def revoke(self, server_ids: tuple[str, ...], sequence: int) -> None:
        """Discard grants that a coordinator revokes, from requests up to `sequence`."""
        with self._lock:
            for server_id in server_ids:
                self._held_grants.discard_grants(server_id, sequence)
        self._update_dispatchers()

    async def _reconcile_periodically(self) -> None:
        """Keep one request task per coordinator and refresh the dispatchers' grants."""
        while True:
            try:
                self._start_request_tasks()
                self._update_dispatchers()
            except Exception:
                logger.exception("update of grant request tasks failed")
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    def _start_request_tasks(self) -> None:
        self._coordinator_by_pool = self._choose_coordinators()
        for service in {key.service for key in self._coordinator_by_pool}:
            if service not in self._subscribed_services:
                self._subscribed_services.add(service)
                wake = partial(self._schedule_wake, service)
                self._dispatchers.get(service).set_starved_callback(wake)
        for node_id in set(self._coordinator_by_pool.values()):
            if node_id in self._wake_event_by_coordinator:
                continue
            self._wake_event_by_coordinator[node_id] = asyncio.Event()
            task = asyncio.create_task(self._request_grants_periodically(node_id))
            self._tasks.add(task)
            task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("grant request task failed")

    def _choose_coordinators(self) -> dict[PoolKey, str]:
        keys: list[PoolKey] = []
        for service in self._state.list_services():
            keys += group_by_pool(self._state.list_servers(service))
        return choose_coordinators(keys, self._members.list_active())

    async def _request_grants_periodically(self, node_id: str) -> None:
        """Send requests to a coordinator one at a time while it coordinates a pool."""
        wake = self._wake_event_by_coordinator[node_id]
        settings = self._settings
        try:
            while node_id in self._coordinator_by_pool.values():
                wake.clear()
                is_underserved = await self._request_grants(node_id)
                await asyncio.sleep(MIN_REQUEST_GAP_S)
                wait_s = (
                    settings.ask_interval_s
                    if is_underserved
                    else settings.idle_interval_s
                )
                with suppress(TimeoutError):
                    await asyncio.wait_for(wake.wait(), wait_s - MIN_REQUEST_GAP_S)
        finally:
            # The next reconciliation starts a new task if the coordinator needs one.
            del self._wake_event_by_coordinator[node_id]

    async def _request_grants(self, node_id: str) -> bool:
        """Send one request; return whether fewer slots than needed were granted."""
        requested_at = self._clock.monotonic()
        request = self._build_request(node_id, requested_at)
        if node_id == self._links.sender.node_id:
            reply = self._local_coordinator.answer(request)
        else:
            call = self._links.call(node_id, request, SlotReply, CALL_TIMEOUT_S)
            call_result = await call
            if isinstance(call_result, Err):
                logger.debug("slot request failed: {}", call_result.failure().detail)
                return True
            reply = call_result.unwrap()
        valid_until = requested_at + reply.ttl_s
        with self._lock:
            for each in reply.pools:
                key = PoolKey(each.service, each.domain)
                self._held_grants.apply(
                    key, each, request.sequence, node_id, valid_until
                )
        for pool_request in request.pools:
            for server_id, progress in pool_request.progress.items():
                self._sent_progress_by_server[node_id, server_id] = progress
        self._update_dispatchers()
        return _is_underserved(request, reply)

    def _build_request(self, node_id: str, now: float) -> SlotRequest:
        keys = [k for k, owner in self._coordinator_by_pool.items() if owner == node_id]
        progress = {} if self._progress is None else self._progress.read_progress()
        demand_by_service: dict[str, ServiceDemand] = {}
        for key in keys:
            if key.service not in demand_by_service:
                dispatcher = self._dispatchers.get(key.service)
                demand_by_service[key.service] = dispatcher.read_demand()
        with self._lock:
            self._sequence += 1
            pools = tuple(
                self._build_pool_request(
                    key, node_id, demand_by_service[key.service], progress, now
                )
                for key in keys
            )
            return SlotRequest(self._links.sender, self._sequence, pools)

    def _build_pool_request(
        self,
        key: PoolKey,
        node_id: str,
        demand: ServiceDemand,
        progress: Mapping[str, ServerProgress],
        now: float,
    ) -> PoolRequest:
        self._held_grants.set_requested_coordinator(key, node_id)
        in_flight = dict(
            self._held_grants.get_other_coordinator_slots(key, node_id, now)
        )
        for server_id, count in demand.in_flight_by_server.items():
            if self._is_in_pool(key, server_id):
                in_flight[server_id] = max(count, in_flight.get(server_id, 0))
        new_progress = {}
        for server_id, each in progress.items():
            if not self._held_grants.wants_progress(key) or not self._is_in_pool(
                key, server_id
            ):
                continue
            if self._sent_progress_by_server.get((node_id, server_id)) != each:
                new_progress[server_id] = each
        siblings = [k for k in self._coordinator_by_pool if k.service == key.service]
        return PoolRequest(
            key.service,
            key.domain,
            self._held_grants.find_applied_sequence(key, node_id, now),
            in_flight,
            self._held_grants.split_need(key, siblings, demand.need_by_account),
            new_progress,
        )

    def _is_in_pool(self, key: PoolKey, server_id: str) -> bool:
        vm = self._state.find_vm(server_id)
        return vm is not None and (vm.service, vm.domain) == (key.service, key.domain)

    async def _send_notice(self, notice: ServerNotice) -> None:
        """Send a notice until the coordinator accepts it, then accept new grants.

        After `MAX_NOTICE_ATTEMPTS`, grants on the server are accepted again even if no
        coordinator has accepted the notice.
        """
        key = PoolKey(notice.service, notice.domain)
        for _ in range(MAX_NOTICE_ATTEMPTS):
            node_id = self._coordinator_by_pool.get(key, "")
            if node_id == self._links.sender.node_id:
                if self._local_coordinator.apply_notice(notice):
                    break
            elif node_id:
                call_result = await self._links.call(
                    node_id, notice, ServerNoticeReply, CALL_TIMEOUT_S
                )
                if not isinstance(call_result, Err) and call_result.unwrap().taken:
                    break
            await asyncio.sleep(NOTICE_RETRY_INTERVAL_S)
        with self._lock:
            self._held_grants.accept_replies_after(notice.server_id, self._sequence)

    def _update_dispatchers(self) -> None:
        """Pass the held grants on servers in service to the dispatchers."""
        for service in self._state.list_services():
            usable = [vm.vm_id for vm in self._state.list_servers(service)]
            with self._lock:
                keys = [
                    k for k in self._held_grants.grant_by_pool if k.service == service
                ]
                grants, accounts = self._held_grants.collect(keys, usable)
                shared_slots = self._held_grants.count_shared(
                    keys, self._clock.monotonic()
                )
            dispatcher = self._dispatchers.get(service)
            dispatcher.set_grants(grants, accounts, shared_slots)

    def _schedule_wake(self, service: str) -> None:
        self._control.submit(self._wake_request_tasks(service))

    async def _wake_request_tasks(self, service: str) -> None:
        for key, node_id in self._coordinator_by_pool.items():
            wake = self._wake_event_by_coordinator.get(node_id)
            if key.service == service and wake is not None:
                wake.set()


def _is_underserved(request: SlotRequest, reply: SlotReply) -> bool:
    granted_slots_by_pool = {
        (p.service, p.domain): sum(p.slots.values()) for p in reply.pools
    }
    for pool in request.pools:
        granted_slots = granted_slots_by_pool.get((pool.service, pool.domain), 0)
        if granted_slots < sum(pool.demand.values()):
            return True
    return False


__all__ = ("GrantClient",)
