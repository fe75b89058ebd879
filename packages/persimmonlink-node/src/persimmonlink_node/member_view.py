"""A thread-safe membership view that includes this node's own description."""

from __future__ import annotations

from dataclasses import replace
from threading import Lock
from typing import TYPE_CHECKING

from persimmonlink_model.membership import Member, MemberReport, Membership

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.node_state import NodeIdentity, NodeState

LOAD_ROUNDING_STEPS = 20  # Steps from no load to full load.


class MemberView:
    """Holds the members that this node knows of; safe for all threads.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    state : NodeState
        Source of the configuration's revision.
    clock : Clock
        Clock for the times of contacts.
    """

    def __init__(self, identity: NodeIdentity, state: NodeState, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._lock = Lock()
        self._membership = Membership(identity.node_id)
        self._read_load: Callable[[], float] = _no_load
        self._own_member = Member(
            identity.node_id,
            identity.incarnation,
            identity.domain,
            identity.http_address,
            identity.peer_address,
        )
        self._membership.apply_direct_update(self._own_member, clock.monotonic())

    def set_load_source(self, read_load: Callable[[], float]) -> None:
        """Set the callable that returns the running requests over their limit."""
        self._read_load = read_load

    def describe_self(self) -> Member:
        """Return the current description of this node.

        The load is rounded, so that small changes don't cause the description to be
        sent to peers again.
        """
        load = round(self._read_load() * LOAD_ROUNDING_STEPS) / LOAD_ROUNDING_STEPS
        revision = self._state.revision
        with self._lock:
            return replace(self._own_member, revision=revision, load=load)

    def mark_leaving(self) -> None:
        """Mark this node as leaving in its description from now on."""
        with self._lock:
            self._own_member = replace(self._own_member, leaving=True)
            self._membership.apply_direct_update(
                self._own_member, self._clock.monotonic()
            )

    @property
    def is_leaving(self) -> bool:
        """Whether this node is leaving."""
        with self._lock:
            return self._own_member.leaving

    def apply_direct_update(self, member: Member) -> None:
        """Apply the description that another member sent of itself."""
        now = self._clock.monotonic()
        with self._lock:
            if member.node_id == self._own_member.node_id:
                return
            self._membership.apply_direct_update(member, now)
            self._membership.expire_silent(now)

    def refresh_contact(self, node_id: str, incarnation: str) -> None:
        """Record contact with a member whose description hasn't changed."""
        known = self.find(node_id)
        if known is not None and known.incarnation == incarnation:
            self.apply_direct_update(known)

    def apply_relayed_report(self, report: MemberReport) -> None:
        """Apply what a member reported about another."""
        now = self._clock.monotonic()
        with self._lock:
            self._membership.apply_relayed_report(report, now)

    def mark_unresponsive(self, node_id: str) -> None:
        """Treat a member as dead until a new message or report of it arrives."""
        now = self._clock.monotonic()
        with self._lock:
            self._membership.mark_unresponsive(node_id, now)

    def list_live(self) -> list[Member]:
        """Return the live members, this node included."""
        with self._lock:
            return self._membership.list_live(self._clock.monotonic())

    def list_active(self) -> list[Member]:
        """Return the live members that are not leaving."""
        with self._lock:
            return self._membership.list_active(self._clock.monotonic())

    def list_neighbours(self) -> list[Member]:
        """Return the members with recent direct contact, this node included."""
        with self._lock:
            return self._membership.list_neighbours(self._clock.monotonic())

    def is_neighbour(self, node_id: str) -> bool:
        """Whether there was recent direct contact with a member."""
        with self._lock:
            return self._membership.is_neighbour(node_id, self._clock.monotonic())

    def list_reports(self) -> list[MemberReport]:
        """Return reports about the other live members, to send to peers."""
        with self._lock:
            return self._membership.list_reports(self._clock.monotonic())

    def last_contact_at(self, node_id: str) -> float | None:
        """Return when a member's own message last arrived, or None."""
        with self._lock:
            return self._membership.last_contact_at(node_id)

    def list_contacted_within(self, seconds: float) -> list[str]:
        """Return the ids of the other members with direct contact in that time."""
        since = self._clock.monotonic() - seconds
        with self._lock:
            return self._membership.list_contacted_since(since)

    def find(self, node_id: str) -> Member | None:
        """Return a member, live or not, or None."""
        with self._lock:
            return self._membership.find(node_id)

    def is_live(self, node_id: str) -> bool:
        """Whether a recent message or report shows that a member is alive."""
        with self._lock:
            return self._membership.is_live(node_id, self._clock.monotonic())


def _no_load() -> float:
    return 0.0


__all__ = ("MemberView",)
