"""Keeps all nodes from overfilling servers that end if they reject too much."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.named_limits import NamedLimits
from persimmonlink_router.peer_messages import (
    Acknowledgement,
    LimitNotice,
    SharedFacts,
)
from persimmonlink_router.permit_messages import (
    AskPlace,
    EndPlace,
    GiveUpPlace,
    HandPlacesOver,
    PermitReply,
)
from persimmonlink_router.place_counter import RETRY_S, PlaceCounter
from persimmonlink_router.place_exchange import PlaceExchange
from persimmonlink_router.place_succession import PlaceSuccession

if TYPE_CHECKING:
    from collections.abc import Collection

    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.servers import Server, ServerKey
    from persimmonlink_router.wire_messages import ResponseInfo

# Time after the end of a request by which its place is free if no message frees it.
PLACE_MARGIN_S = 0.5
# A brittle server that ends so soon after a rejection has ended of that.
END_WINDOW_S = 1.5
PLACE_ID_BYTES = 8


class Place:
    """Permission for one request to be in flight at a server.

    Parameters
    ----------
    owner : ServerPlaces or None
        Frees it; None if the server grants its places to anyone.
    server : Server
        The server.
    granter : Member or None
        Node that granted it; None for this node.
    place_id : str
        Its id among the places of this node; empty if it has none.
    """

    def __init__(
        self,
        owner: ServerPlaces | None,
        server: Server,
        granter: Member | None,
        place_id: str = "",
    ) -> None:
        self._owner = owner
        self._server = server
        self._granter = granter
        self._place_id = place_id

    def end(self, *, was_rejected: bool = False) -> None:
        """Free the place, once."""
        if self._owner is None:
            return
        self._owner.end_place(
            self._server,
            self._granter,
            was_rejected=was_rejected,
            place_id=self._place_id,
        )
        self._owner = None


class ServerPlaces:
    """Asks for a place before each request to a server that says it is brittle.

    For each such server one member, the same in the view of all nodes, grants places.
    A node that can't reach that member keeps to its own fixed share.

    Parameters
    ----------
    membership : ClusterMembership
        Members, and channels to them.
    cluster_view : ClusterView
        Records for how long a server is to get no requests.
    metrics : RouterMetrics
        Counts places and brittle servers.
    reach : ServerReach
        Which servers have answered this node.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        cluster_view: ClusterView,
        metrics: RouterMetrics,
        reach: ServerReach,
    ) -> None:
        self._membership = membership
        self._reach = reach
        self._cluster_view = cluster_view
        self._metrics = metrics
        self._readings = NamedLimits()
        self._granted = PlaceCounter()
        self.succession = PlaceSuccession(membership, self._granted)
        self._own_share = PlaceCounter()
        self._rejected_at_by_key: dict[ServerKey, float] = {}
        self._exchange = PlaceExchange(membership)

    def explains_end(self, server: Server, ended_at: float) -> bool:
        """Whether a brittle server ended as it had just rejected requests."""
        rejected_at = self._rejected_at_by_key.get(server.key)
        return rejected_at is not None and ended_at - rejected_at < END_WINDOW_S

    def record_response(self, server: Server, info: ResponseInfo) -> None:
        """Record what a server's answer says, and pass news on."""
        if info.is_other_server:
            return
        limit = info.max_rejections_per_s
        if not self._readings.record(server.key, limit, boot_time()):
            return
        self._log_change(server.key, limit, "answer")
        self._membership.facts.spread()

    def find_limit(self, server: Server) -> float | None:
        """Return the rejections a second over which a server ends, None for any.

        A server that has not answered yet is taken to be as the others of its service.
        """
        if not len(self._readings):
            return None
        limit = self._readings.find_rate(server.key)
        if limit is not None or self._reach.answered_since(server.key, 0.0):
            return limit
        limits = [
            self._readings.find_rate(other.key)
            for other in self._cluster_view.servers.list_usable(server.service)
        ]
        return min((limit for limit in limits if limit is not None), default=None)

    def is_reading_due(self, server: Server) -> bool:
        """Whether a server is to be asked whether it is still brittle."""
        return self._readings.is_due(server.key, boot_time())

    @property
    def has_unsent(self) -> bool:
        """Whether a place is being freed at the node that granted it."""
        return self._exchange.has_unsent

    async def acquire(self, server: Server, lease_s: float) -> Place | None:
        """Return a place, or None if there is none; the server is paused then.

        Parameters
        ----------
        server : Server
            The server.
        lease_s : float
            Longest time until the request has ended, in seconds.
        """
        limit = self.find_limit(server)
        if limit is None:
            return Place(None, server, None)
        place_id = secrets.token_hex(PLACE_ID_BYTES)
        is_granted, granter = await self._ask(
            server, limit, lease_s + PLACE_MARGIN_S, place_id
        )
        outcome = "granted" if is_granted else "refused"
        self._metrics.count("server_places_total", f'outcome="{outcome}"')
        if is_granted:
            return Place(self, server, granter, place_id)
        self._cluster_view.servers.pause_for_limit(server, boot_time() + RETRY_S)
        return None

    def end_place(
        self,
        server: Server,
        granter: Member | None,
        *,
        was_rejected: bool,
        place_id: str = "",
    ) -> None:
        """Free a place at the node that granted it."""
        own_id = self._membership.own_member.node_id
        now = boot_time()
        if was_rejected:
            self._rejected_at_by_key[server.key] = now
        message = EndPlace(
            self._membership.sender, server.key, was_rejected, place_id=place_id
        )
        if granter is None:
            was_held = [
                counter.end(
                    server.key,
                    own_id,
                    now,
                    was_rejected=was_rejected,
                    place_id=place_id,
                )
                for counter in (self._own_share, self._granted)
            ]
            if was_held[-1]:
                self._exchange.spawn(self.succession.end(message))
            return
        self._exchange.spawn(self._exchange.end(granter, message))

    async def handle_ask(self, message: AskPlace) -> PermitReply:
        """Grant a peer a place, or none."""
        self._readings.apply_notice(message.limit, boot_time())
        reply = await self.succession.ask(message)
        if reply is not None:
            return reply
        is_granted = self._grant(
            message.limit,
            message.sender.node_id,
            message.slots,
            message.lease_s,
            message.place_id,
        )
        return PermitReply(is_granted, 0.0 if is_granted else RETRY_S)

    async def handle_end(self, message: EndPlace) -> Acknowledgement:
        """Free a peer's place."""
        self._granted.end(
            message.server,
            message.sender.node_id,
            boot_time(),
            was_rejected=message.was_rejected,
            place_id=message.place_id,
        )
        await self.succession.end(message)
        return Acknowledgement()

    async def handle_give_up(self, message: GiveUpPlace) -> Acknowledgement:
        """Free a place that a peer doesn't use, if it is held."""
        self._granted.give_up(message.server, message.sender.node_id, message.place_id)
        await self.succession.end(message)
        return Acknowledgement()

    async def handle_hand_over(self, message: HandPlacesOver) -> Acknowledgement:
        """Count the places that a leaving peer granted."""
        self._granted.take_over(
            message.server, message.capacity, message.left_s_by_node, boot_time()
        )
        logger.bind(
            server=message.server[0],
            member=message.sender.node_id,
            held=sum(len(left) for left in message.left_s_by_node.values()),
        ).info("server.places_taken_over")
        return Acknowledgement()

    def collect_facts(self) -> SharedFacts:
        """Return what all nodes must know."""
        return SharedFacts(brittle=self._readings.build_notices(boot_time()))

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        """Apply what a peer knows; return whether any of it is news."""
        is_news = False
        for notice in facts.brittle:
            if self._readings.apply_notice(notice, boot_time()):
                is_news = True
                self._log_change(notice.server, notice.rate_per_s, member)
        return is_news

    def count_brittle(self) -> int:
        """Return the number of servers that say that they are brittle."""
        return self._readings.count_limited()

    def describe(self) -> list[dict[str, object]]:
        """Return the brittle servers, for operators."""
        now = boot_time()
        return [
            {
                "server": key[0],
                "max_rejections_per_s": limit,
                "granted_here": self._granted.find_capacity(key),
                "held": self._granted.count_held(key, now),
            }
            for key, limit in self._readings.list_limited()
        ]

    def retain_servers(self, keys: Collection[ServerKey]) -> None:
        """Discard what is known of all other servers."""
        self._readings.retain(keys, boot_time())
        self._granted.retain(keys)
        self._own_share.retain(keys)
        for key in set(self._rejected_at_by_key) - set(keys):
            del self._rejected_at_by_key[key]
        self._metrics.set_gauge("brittle_servers", self.count_brittle())

    async def _ask(
        self, server: Server, limit: float, lease_s: float, place_id: str
    ) -> tuple[bool, Member | None]:
        own_id = self._membership.own_member.node_id
        key = server.key
        now = boot_time()
        notice = LimitNotice(key, limit, self._readings.read_age_s(key, now))
        granter = self.succession.find_granter(key)
        if granter is None:
            is_granted = self._grant(notice, own_id, server.slots, lease_s, place_id)
            return is_granted, None
        message = AskPlace(
            self._membership.sender, notice, server.slots, lease_s, place_id=place_id
        )
        reply = await self._exchange.ask(granter, message)
        if reply is not None:
            return reply, granter
        share = server.slots // self._membership.count_known_addresses()
        if not share:
            return False, None
        now = boot_time()
        is_granted = self._own_share.ask(
            key, own_id, share, limit, now, now + lease_s, place_id
        )
        return is_granted, None

    def _grant(
        self,
        notice: LimitNotice,
        node_id: str,
        slots: int,
        lease_s: float,
        place_id: str,
    ) -> bool:
        now = boot_time()
        limit = self._readings.find_rate(notice.server) or notice.rate_per_s or 0.0
        return self._granted.ask(
            notice.server, node_id, slots, limit, now, now + lease_s, place_id
        )

    def _log_change(self, key: ServerKey, limit: float | None, source: str) -> None:
        self._cluster_view.servers.end_limit_pause(key)
        logger.bind(server=key[0], max_rejections_per_s=limit, source=source).info(
            "server.brittleness_changed"
        )


__all__ = ("Place", "ServerPlaces")
