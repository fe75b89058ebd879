"""Tells clients which nodes they may connect to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.http_exchange import Exchange
    from persimmonlink_router.http_messages import Headers
    from persimmonlink_router.reach_board import ReachBoard

MAX_DIRECTORY_ADDRESSES = 64  # Most addresses in a directory response.


class DirectoryWire(Protocol):
    """Format of the responses that tell clients where to connect."""

    def build_directory_response(
        self, addresses: Sequence[str], ttl_s: float
    ) -> tuple[Headers, bytes]:
        """Return headers and body of a response that lists addresses."""
        ...


class ClientDirectory:
    """Responds with the addresses of nodes that serve.

    Parameters
    ----------
    membership : ClusterMembership
        Members that serve.
    cluster_view : ClusterView
        Services in force.
    board : ReachBoard
        Which nodes don't reach which services.
    wire : DirectoryWire
        Formats the responses.
    get_ttl_s : callable
        Returns the time for which clients may use a response, in seconds.
    rng : random.Random
        Chooses among more nodes than a response lists.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        cluster_view: ClusterView,
        board: ReachBoard,
        wire: DirectoryWire,
        get_ttl_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._cluster_view = cluster_view
        self._board = board
        self._wire = wire
        self._get_ttl_s = get_ttl_s
        self._rng = rng

    async def handle(self, exchange: Exchange) -> None:
        """Respond with addresses, or with 503 if no node serves."""
        addresses = sorted({m.http_address for m in self._list_members()})
        if not addresses:
            await exchange.respond(503, [(b"retry-after", b"0.5")], b"")
            return
        if len(addresses) > MAX_DIRECTORY_ADDRESSES:
            addresses = self._rng.sample(addresses, MAX_DIRECTORY_ADDRESSES)
        ttl_s = self._get_ttl_s()
        headers, body = self._wire.build_directory_response(addresses, ttl_s)
        await exchange.respond(200, headers, body)

    def _list_members(self) -> list[Member]:
        """Return the members that clients are told of.

        Those that lack at least half of all services are left out, unless all do.
        """
        members = self._membership.list_serving_members()
        configuration = self._cluster_view.configuration
        if configuration is None:
            return members
        half = len(configuration.service_by_name) / 2
        able = [
            member
            for member in members
            if len(self._board.list_lacking(member.node_id)) < max(half, 1)
        ]
        return able or members


__all__ = ("ClientDirectory", "DirectoryWire")
