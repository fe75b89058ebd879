"""Passes on the places that a node which leaves has granted."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, cast

from returns.result import Failure as Err

from persimmonlink_model.rendezvous import choose_owner
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.permit_messages import (
    AskPlace,
    EndPlace,
    GiveUpPlace,
    HandPlacesOver,
    PermitReply,
)

if TYPE_CHECKING:
    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.place_counter import PlaceCounter
    from persimmonlink_router.servers import ServerKey

ASK_TIMEOUT_S = 0.2  # Timeout of a question to the node that grants places.
END_TIMEOUT_S = 0.5  # Timeout of a message that frees places or hands them over.


class PlaceSuccession:
    """Knows which node grants the places of a server, and tells it what it must know.

    A node that leaves hands over the places that it granted, and passes on what peers
    ask and tell it until they know that it leaves. A message is passed on once.

    Parameters
    ----------
    membership : ClusterMembership
        Members, and channels to them.
    granted : PlaceCounter
        Places that this node has granted.
    """

    def __init__(self, membership: ClusterMembership, granted: PlaceCounter) -> None:
        self._membership = membership
        self._granted = granted

    def find_granter(self, key: ServerKey) -> Member | None:
        """Return the member that grants the places of a server, None if this node."""
        own_id = self._membership.own_member.node_id
        members = self._membership.list_serving_members()
        member_by_id = {member.node_id: member for member in members}
        granter_id = choose_owner(
            "/".join(map(str, key)), list(member_by_id) or [own_id]
        )
        return None if granter_id == own_id else member_by_id[granter_id]

    async def hand_over(self) -> None:
        """Tell the next granters which places are held."""
        await asyncio.gather(
            *(
                self._hand_over_server(cast("ServerKey", key))
                for key in self._granted.list_keys()
            )
        )

    async def _hand_over_server(self, key: ServerKey) -> None:
        successor = self.find_granter(key)
        if successor is None:
            return
        message = HandPlacesOver(
            self._membership.sender,
            key,
            self._granted.find_capacity(key) or 1,
            self._granted.collect_left_s(key, boot_time()),
        )
        channel = self._membership.channel(successor.peer_address)
        await channel.call(message, Acknowledgement, END_TIMEOUT_S)

    async def ask(self, message: AskPlace) -> PermitReply | None:
        """Pass a question on; return the reply, None if this node has to decide."""
        successor = self._find_successor(message.limit.server, message)
        if successor is None:
            return None
        channel = self._membership.channel(successor.peer_address)
        message = replace(message, is_passed_on=True)
        reply = await channel.call(message, PermitReply, ASK_TIMEOUT_S)
        return None if isinstance(reply, Err) else reply.unwrap()

    async def end(self, message: EndPlace | GiveUpPlace) -> None:
        """Pass on that a place is free, if this node leaves."""
        successor = self._find_successor(message.server, message)
        if successor is None:
            return
        channel = self._membership.channel(successor.peer_address)
        message = replace(message, is_passed_on=True)
        await channel.call(message, Acknowledgement, END_TIMEOUT_S)

    def _find_successor(
        self, key: ServerKey, message: AskPlace | EndPlace | GiveUpPlace
    ) -> Member | None:
        if message.is_passed_on or not self._membership.own_member.leaving:
            return None
        return self.find_granter(key)


__all__ = ("ASK_TIMEOUT_S", "END_TIMEOUT_S", "PlaceSuccession")
