"""Grants and revokes slots in the pools that this node coordinates."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from persimmonlink_model.pool import Pool
from persimmonlink_model.pool_grant import NodeReport, PoolTimes
from persimmonlink_model.pool_ownership import (
    PoolKey,
    choose_coordinator,
    group_by_pool,
)
from persimmonlink_model.pool_server import ServerLimits
from persimmonlink_node.coordinated_pool import CoordinatedPool
from persimmonlink_peers.grant_messages import (
    PoolReply,
    PoolRequest,
    ServerNotice,
    SlotReply,
    SlotRequest,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.record import ServiceSpec
    from persimmonlink_node.load_poller import PollResult
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity, NodeState
    from persimmonlink_node.settings import GrantSettings
    from persimmonlink_node.view_freshness import FreshView
    from persimmonlink_peers.message import Sender

TICK_INTERVAL_S = 0.1
# A longer gap between two ticks means that this process was suspended, and another
# node may have taken over its pools.
MAX_TICK_GAP_S = 0.9
# A new coordinator grants slots only after the grant lifetime plus this margin, when
# the grants of the previous coordinator have expired.
TAKEOVER_MARGIN_S = 0.1
MEMBERSHIP_SETTLE_TIME_S = 3.0


class Revoker(Protocol):
    """Sends grant revocations to nodes."""

    def revoke(self, holder: str, sequence: int, server_ids: tuple[str, ...]) -> None:
        """Revoke grants of requests up to `sequence`; must not block.

        The holder is a node in one incarnation, as from `build_holder_id`.
        """
        ...


class PoolCoordinator:
    """Pools that this node coordinates; thread-safe.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    state : NodeState
        Services, servers and accounts.
    members : MemberView
        Live nodes, from which coordinators are chosen.
    freshness : FreshView
        Says whether this node's view is fresh enough to grant slots.
    settings : GrantSettings
        Lifetime of grants and limits that apply to all pools.
    clock : Clock
        Time source.
    revoker : Revoker
        Sends revocations to the holders of grants.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        freshness: FreshView,
        settings: GrantSettings,
        clock: Clock,
        revoker: Revoker,
    ) -> None:
        self._identity = identity
        self._state = state
        self._members = members
        self._freshness = freshness
        self._settings = settings
        self._clock = clock
        self._revoker = revoker
        self._lock = Lock()
        self._started_at = clock.monotonic()
        self._last_tick_at = clock.monotonic()
        self._pool_by_key: dict[PoolKey, CoordinatedPool] = {}

    def tick(self) -> dict[str, str]:
        """Update the pools to the current members, services and servers.

        Returns
        -------
        dict of str to str
            Address of each server to poll, by server id.
        """
        now = self._clock.monotonic()
        with self._lock:
            if now - self._last_tick_at > MAX_TICK_GAP_S:
                logger.warning("coordinator tick overdue; taking over all pools again")
                self._pool_by_key.clear()
                self._started_at = now
            self._last_tick_at = now
            spec_by_service = self._state.list_services()
            owned_pools = self._list_owned_pools(spec_by_service)
            for key in self._pool_by_key.keys() - owned_pools.keys():
                logger.info(
                    "no longer coordinating pool {}/{}", key.service, key.domain
                )
                del self._pool_by_key[key]
            for key, server_ids in owned_pools.items():
                spec = spec_by_service[key.service]
                self._update_pool(key, spec, server_ids, now)
            return self._list_addresses()

    def answer(self, request: SlotRequest) -> SlotReply:
        """Grant slots in the requested pools that this node coordinates."""
        now = self._clock.monotonic()
        fresh = self._freshness.is_fresh()
        replies = []
        with self._lock:
            if now - self._last_tick_at > MAX_TICK_GAP_S:
                return SlotReply(self._settings.ttl_s, ())
            for pool_request in request.pools:
                key = PoolKey(pool_request.service, pool_request.domain)
                owned = self._pool_by_key.get(key)
                if owned is None:
                    continue
                reply = self._answer_pool(owned, request, pool_request, now, fresh)
                if reply is not None:
                    replies.append(reply)
        return SlotReply(self._settings.ttl_s, tuple(replies))

    def apply_notice(self, notice: ServerNotice) -> bool:
        """Apply a notice of a possibly cold server.

        Returns False if this node does not coordinate the server's pool.
        """
        now = self._clock.monotonic()
        with self._lock:
            owned = self._pool_by_key.get(PoolKey(notice.service, notice.domain))
            if owned is None:
                return False
            reduced = owned.apply_notice(notice.server_id, notice.incarnation, now)
            self._revoke(owned.pool, reduced)
        logger.info(
            "node {} reported that server {} may have turned cold: {}",
            notice.sender.node_id,
            notice.server_id,
            notice.reason,
        )
        return True

    def apply_poll(self, poll: PollResult) -> None:
        """Apply a poll result and revoke grants on servers whose limit it reduced."""
        now = self._clock.monotonic()
        with self._lock:
            for owned in self._pool_by_key.values():
                self._revoke(owned.pool, owned.apply_poll(poll, now))

    def describe(self) -> list[dict[str, object]]:
        """Return the pools' servers and limits for the status endpoint."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                {"service": key.service, "domain": key.domain, **owned.describe(now)}
                for key, owned in sorted(self._pool_by_key.items())
            ]

    def _list_owned_pools(
        self, spec_by_service: Mapping[str, ServiceSpec]
    ) -> dict[PoolKey, list[str]]:
        active_members = self._members.list_active()
        server_ids_by_key: dict[PoolKey, list[str]] = {}
        for service in spec_by_service:
            groups = group_by_pool(self._state.list_servers(service))
            for key, server_ids in groups.items():
                if choose_coordinator(key, active_members) == self._identity.node_id:
                    server_ids_by_key[key] = server_ids
        for key in self._pool_by_key:
            # A fully drained pool is kept, so that its servers count as cold when they
            # return to service.
            if key.service not in spec_by_service:
                continue
            if choose_coordinator(key, active_members) == self._identity.node_id:
                server_ids_by_key.setdefault(key, [])
        return server_ids_by_key

    def _update_pool(
        self, key: PoolKey, spec: ServiceSpec, server_ids: list[str], now: float
    ) -> None:
        live = {member.node_id for member in self._members.list_live()}
        owned = self._pool_by_key.get(key)
        limits = ServerLimits(
            spec.warm_slots,
            spec.cold_slots,
            spec.warm_after,
            self._settings.report_lag_s,
        )
        if owned is None:
            times = PoolTimes(self._settings.ttl_s, self._settings.longest_request_s)
            opens_at = now + self._settings.ttl_s + TAKEOVER_MARGIN_S
            owned = CoordinatedPool(Pool(limits, times, opens_at, live, key.salt))
            self._pool_by_key[key] = owned
            logger.info("coordinating pool {}/{}", key.service, key.domain)
        owned.pool.limits = limits
        self._revoke(owned.pool, owned.pool.set_servers(server_ids))
        for node_id in owned.pool.list_awaited_nodes():
            if node_id not in live:
                owned.pool.stop_awaiting(node_id)

    def _answer_pool(
        self,
        owned: CoordinatedPool,
        request: SlotRequest,
        requested: PoolRequest,
        now: float,
        fresh: bool,
    ) -> PoolReply | None:
        holder = build_holder_id(request.sender)
        reduced = owned.apply_progress(holder, requested.progress, now)
        self._revoke(owned.pool, reduced)
        report = NodeReport(
            holder,
            request.sequence,
            requested.applied,
            requested.in_flight,
            requested.demand,
        )
        weight_by_account = {}
        for account in {*requested.demand, *owned.pool.list_accounts()}:
            spec = self._state.find_account(account)
            weight_by_account[account] = 1.0 if spec is None else spec.weight
        may_grant = fresh and self._has_complete_view(now)
        granted = owned.pool.grant(report, now, weight_by_account, may_grant=may_grant)
        if granted is None or not owned.pool.is_open(now):
            # Until the pool is open it is left out of the reply, so that the node keeps
            # the grant that it still holds.
            return None
        return PoolReply(
            requested.service,
            requested.domain,
            granted.slots_by_server,
            granted.slots_by_account,
            granted.limit,
            owned.pool.is_warming(),
        )

    def _has_complete_view(self, now: float) -> bool:
        """Whether all entry VMs are live, or the time to discover them has passed."""
        if now - self._started_at >= MEMBERSHIP_SETTLE_TIME_S:
            return True
        live = {member.node_id for member in self._members.list_live()}
        return all(vm.vm_id in live for vm in self._state.list_entry_vms())

    def _revoke(self, pool: Pool, server_ids: list[str]) -> None:
        for server_id in server_ids:
            for holder, sequence in pool.list_holders(server_id).items():
                self._revoker.revoke(holder, sequence, (server_id,))

    def _list_addresses(self) -> dict[str, str]:
        address_by_server = {}
        for owned in self._pool_by_key.values():
            for server_id, server in owned.pool.server_by_id.items():
                vm = self._state.find_vm(server_id)
                if vm is None or not server.in_service:
                    continue
                address_by_server[server_id] = vm.address
        return address_by_server


def build_holder_id(sender: Sender) -> str:
    """Return the id under which one incarnation of a node holds grants."""
    return f"{sender.node_id}/{sender.incarnation}"


__all__ = ("PoolCoordinator", "Revoker", "build_holder_id")
