"""Asks the member that grants a brittle server's places, and frees them there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.permit_messages import (
    EndPlace,
    GiveUpPlace,
    PermitReply,
)
from persimmonlink_router.place_succession import ASK_TIMEOUT_S, END_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.permit_messages import AskPlace
    from persimmonlink_router.servers import ServerKey

MAX_GIVE_UP_SENDS = 2  # Messages that free a place of which the granter didn't reply.


class PlaceExchange:
    """Exchanges messages on places with the members that grant them.

    Parameters
    ----------
    membership : ClusterMembership
        Channels to members.
    """

    def __init__(self, membership: ClusterMembership) -> None:
        self._membership = membership
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_unsent(self) -> bool:
        """Whether a place is being freed at the node that granted it."""
        return bool(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Send messages without waiting for them."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def ask(self, granter: Member, message: AskPlace) -> bool | None:
        """Return whether a member grants a place, None if it doesn't reply."""
        channel = self._membership.channel(granter.peer_address)
        is_granted = None
        try:
            reply = await channel.call(message, PermitReply, ASK_TIMEOUT_S)
            if not isinstance(reply, Err):
                is_granted = reply.unwrap().is_granted
        finally:
            if is_granted is None:
                # It may have been granted all the same.
                server = message.limit.server
                self.spawn(self.give_up(granter, server, message.place_id))
        return is_granted

    async def end(self, granter: Member, message: EndPlace) -> None:
        """Free a place whose request has ended."""
        channel = self._membership.channel(granter.peer_address)
        reply = await channel.call(message, Acknowledgement, END_TIMEOUT_S)
        if isinstance(reply, Err):
            await self.give_up(granter, message.server, message.place_id)

    async def give_up(self, granter: Member, server: ServerKey, place_id: str) -> None:
        """Free a place that a member may hold for this node."""
        message = GiveUpPlace(self._membership.sender, server, place_id)
        channel = self._membership.channel(granter.peer_address)
        for _ in range(MAX_GIVE_UP_SENDS):
            reply = await channel.call(message, Acknowledgement, END_TIMEOUT_S)
            if not isinstance(reply, Err):
                return
        # The place is free when its time is over.
        logger.bind(server=server[0], member=granter.node_id).info(
            "server.place_not_freed"
        )


__all__ = ("PlaceExchange",)
