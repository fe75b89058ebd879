"""Entries of the members in the store, and which of them are superseded."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_model.membership import Member
    from persimmonlink_router.peer_messages import RouterMember


class MemberRegistry:
    """Store entries by member, and the newest entry of each address.

    A restarted node writes a new entry under a new name. The entry of its previous run
    stays until its lease expires, and may be read after the newer one.
    """

    def __init__(self) -> None:
        self._member_by_id: dict[str, RouterMember] = {}
        self._newest_id_by_address: dict[str, str] = {}

    def add(self, member: RouterMember) -> None:
        """Add or replace an entry."""
        self._member_by_id[member.node_id] = member
        newest_id = self._newest_id_by_address.get(member.peer_address)
        newest = self._member_by_id.get(newest_id or "")
        if newest is None or newest.seniority <= member.seniority:
            self._newest_id_by_address[member.peer_address] = member.node_id

    def remove(self, node_id: str) -> None:
        """Remove an entry if it exists."""
        member = self._member_by_id.pop(node_id, None)
        if member is None:
            return
        address = member.peer_address
        if self._newest_id_by_address.get(address) != node_id:
            return
        del self._newest_id_by_address[address]
        others = [
            other
            for other in self._member_by_id.values()
            if other.peer_address == address
        ]
        if others:
            newest = max(others, key=lambda other: other.seniority)
            self._newest_id_by_address[address] = newest.node_id

    def find(self, node_id: str) -> RouterMember | None:
        """Return a member's entry, or None if it has none."""
        return self._member_by_id.get(node_id)

    def list_all(self) -> list[RouterMember]:
        """Return the entries of all members, superseded ones included."""
        return list(self._member_by_id.values())

    def is_superseded(self, member: Member) -> bool:
        """Whether another member has the newest entry of the same address."""
        if member.node_id not in self._member_by_id:
            return False
        newest_id = self._newest_id_by_address.get(member.peer_address)
        return newest_id not in (None, member.node_id)


__all__ = ("MemberRegistry",)
