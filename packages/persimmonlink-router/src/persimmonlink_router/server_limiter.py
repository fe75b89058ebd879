"""Keeps the requests of all nodes together to the rates that servers name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.rendezvous import choose_owner
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.named_limits import MIN_RATE_PER_S, NamedLimits
from persimmonlink_router.peer_messages import LimitNotice, SharedFacts
from persimmonlink_router.permit_messages import AskPermit, PermitReply
from persimmonlink_router.shared_rate import MAX_WAIT_S, PermitDecision, SharedRate

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.servers import Server, ServerKey
    from persimmonlink_router.wire_messages import ResponseInfo

ASK_TIMEOUT_S = 0.2  # Timeout of a question to the node that grants permits.
PERMIT_LIFETIME_S = 0.5  # Time for which a permit that was asked for early is kept.
PERMIT_MARGIN_S = 0.05  # Time in which a prepared request takes its permit.
MIN_PAUSE_S = 0.02  # Shortest time without requests after a refused permit.


class ServerLimiter:
    """Asks for a permit before each request to a server that names a limit.

    For each such server one member, the same in the view of all nodes, grants permits
    at the named rate. It grants only the part of the rate that the members it hears
    have among all known ones, so that parts of a divided cluster together keep to the
    rate. A node that can't reach that member keeps to its own fixed share.

    Parameters
    ----------
    membership : ClusterMembership
        Members, and channels to them.
    cluster_view : ClusterView
        Records for how long a server is to get no requests.
    metrics : RouterMetrics
        Counts permits and readings.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        cluster_view: ClusterView,
        metrics: RouterMetrics,
    ) -> None:
        self._membership = membership
        self._cluster_view = cluster_view
        self._metrics = metrics
        self._limits = NamedLimits()
        self._permit_until_by_key: dict[ServerKey, float] = {}
        self._ask_task_by_key: dict[ServerKey, asyncio.Task[None]] = {}
        self._granted_rate = SharedRate()
        self._own_share = SharedRate()

    def record_response(self, server: Server, info: ResponseInfo) -> None:
        """Record what a server's answer says of its limit, and pass news on."""
        if info.is_other_server:
            return
        if not self._limits.record(server.key, info.rate_limit_per_s, boot_time()):
            return
        self._apply_change(server.key, info.rate_limit_per_s, "answer")
        self._membership.facts.spread()

    def is_reading_due(self, server: Server) -> bool:
        """Whether a server is to get a request, to learn whether it has a limit."""
        return self._limits.is_due(server.key, boot_time())

    async def try_acquire(self, server: Server) -> bool:
        """Return whether a request may be sent now; pause the server if not."""
        rate_per_s = self._limits.find_rate(server.key)
        if rate_per_s is None:
            return True
        if self._permit_until_by_key.pop(server.key, 0.0) > boot_time():
            return True
        decision, granter = await self._ask(server.key, rate_per_s)
        outcome = "granted" if decision.is_granted else "refused"
        self._metrics.count("limit_permits_total", f'outcome="{outcome}"')
        if decision.is_granted:
            return True
        wait_s = min(MAX_WAIT_S, max(MIN_PAUSE_S, decision.wait_s))
        self._cluster_view.servers.pause_for_limit(server, boot_time() + wait_s)
        logger.bind(
            server=server.server_id,
            rate_per_s=rate_per_s,
            granter=granter,
            wait_s=round(wait_s, 3),
        ).debug("server.permit_refused")
        return False

    def prepare(self, server: Server, on_granted: Callable[[], None]) -> bool:
        """Return whether the next `try_acquire` succeeds at once.

        If not, a permit is asked for, kept for `PERMIT_LIFETIME_S` once it is granted,
        and `on_granted` is called then. For callers that can't take back what they
        have prepared for a server.
        """
        key = server.key
        if self._limits.find_rate(key) is None:
            return True
        if self._permit_until_by_key.get(key, 0.0) > boot_time() + PERMIT_MARGIN_S:
            return True
        if key not in self._ask_task_by_key:
            task = asyncio.get_running_loop().create_task(
                self._keep_permit(server, on_granted)
            )
            self._ask_task_by_key[key] = task
        return False

    async def _keep_permit(
        self, server: Server, on_granted: Callable[[], None]
    ) -> None:
        try:
            is_granted = await self.try_acquire(server)
        finally:
            del self._ask_task_by_key[server.key]
        if not is_granted:
            return
        self._permit_until_by_key[server.key] = boot_time() + PERMIT_LIFETIME_S
        on_granted()

    async def handle_ask(self, message: AskPermit) -> PermitReply:
        """Grant a peer a permit, or tell it when to ask again."""
        self._limits.apply_notice(message.limit, boot_time())
        rate_per_s = self._limits.find_rate(message.limit.server)
        if rate_per_s is None:
            rate_per_s = message.limit.rate_per_s or MIN_RATE_PER_S
        decision = self._grant(message.limit.server, rate_per_s, message.sender.node_id)
        return PermitReply(decision.is_granted, decision.wait_s)

    def collect_facts(self) -> SharedFacts:
        """Return what all nodes must know."""
        return SharedFacts(limits=self._limits.build_notices(boot_time()))

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        """Apply what a peer knows; return whether any of it is news."""
        is_news = False
        for notice in facts.limits:
            if not self._limits.apply_notice(notice, boot_time()):
                continue
            is_news = True
            self._apply_change(notice.server, notice.rate_per_s, member)
        return is_news

    def retain_servers(self, keys: Collection[ServerKey]) -> None:
        """Discard what is known of all other servers."""
        self._limits.retain(keys, boot_time())
        self._granted_rate.retain(keys)
        self._own_share.retain(keys)
        for key in set(self._permit_until_by_key) - set(keys):
            del self._permit_until_by_key[key]
        self._metrics.set_gauge("limited_servers", self._limits.count_limited())

    async def _ask(
        self, key: ServerKey, rate_per_s: float
    ) -> tuple[PermitDecision, str]:
        own_id = self._membership.own_member.node_id
        members = self._membership.list_serving_members()
        granter_id = choose_owner(
            "/".join(map(str, key)), [m.node_id for m in members] or [own_id]
        )
        if granter_id == own_id:
            return self._grant(key, rate_per_s, own_id), own_id
        granter = next(m for m in members if m.node_id == granter_id)
        now = boot_time()
        notice = LimitNotice(key, rate_per_s, self._limits.read_age_s(key, now))
        channel = self._membership.channel(granter.peer_address)
        reply = await channel.call(
            AskPermit(self._membership.sender, notice), PermitReply, ASK_TIMEOUT_S
        )
        if not isinstance(reply, Err):
            permit = reply.unwrap()
            return PermitDecision(permit.is_granted, permit.wait_s), granter_id
        share = rate_per_s / self._membership.count_known_addresses()
        return self._own_share.ask(key, share, own_id, boot_time()), "own share"

    def _grant(self, key: ServerKey, rate_per_s: float, node_id: str) -> PermitDecision:
        known = self._membership.count_known_addresses()
        heard = min(known, len(self._membership.list_live_members()))
        rate_per_s *= heard / known
        return self._granted_rate.ask(key, rate_per_s, node_id, boot_time())

    def _apply_change(
        self, key: ServerKey, rate_per_s: float | None, source: str
    ) -> None:
        self._cluster_view.servers.end_limit_pause(key)
        self._metrics.count("limit_changes_total")
        logger.bind(server=key[0], rate_per_s=rate_per_s, source=source).info(
            "server.rate_limit_changed"
        )


__all__ = ("ServerLimiter",)
