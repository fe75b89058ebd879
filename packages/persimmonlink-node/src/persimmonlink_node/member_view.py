"""Membership under a lock, with this node's own entry kept up to date."""

from __future__ import annotations

from dataclasses import replace
from threading import Lock
from typing import TYPE_CHECKING

from persimmonlink_model.membership import Member, MemberReport, Membership

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.node_state import NodeIdentity, NodeState

LOAD_ROUNDING_STEPS = 20


class MemberView:
    """The nodes as this node sees them; safe for all threads.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    state : NodeState
        Gives the configuration's revision.
    clock : Clock
        Time.
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
        """Have this node's load read from a callable, as a share of its threads."""
        self._read_load = read_load

    def describe_self(self) -> Member:
        """Return what this node says of itself now.

        The load is rounded, so that small changes of it aren't sent to peers.
        """
        load = round(self._read_load() * LOAD_ROUNDING_STEPS) / LOAD_ROUNDING_STEPS
        revision = self._state.revision
        with self._lock:
            return replace(self._own_member, revision=revision, load=load)

    def mark_leaving(self) -> None:
        """Say from now on that this node is leaving."""
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
        """Take in what another member says of itself."""
        now = self._clock.monotonic()
        with self._lock:
            if member.node_id == self._own_member.node_id:
                return
            self._membership.apply_direct_update(member, now)
            self._membership.expire_silent(now)

    def refresh_contact(self, node_id: str, incarnation: str) -> None:
        """Take in that a member lives and says of itself what it said before."""
        known = self.find(node_id)
        if known is not None and known.incarnation == incarnation:
            self.apply_direct_update(known)

    def apply_relayed_report(self, report: MemberReport) -> None:
        """Take in what a member passed on about another."""
        now = self._clock.monotonic()
        with self._lock:
            self._membership.apply_relayed_report(report, now)

    def mark_unresponsive(self, node_id: str) -> None:
        """Take a member for dead until it is heard of again."""
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
        """Return the members heard directly lately, this node included."""
        with self._lock:
            return self._membership.list_neighbours(self._clock.monotonic())

    def is_neighbour(self, node_id: str) -> bool:
        """Whether a member itself was heard lately."""
        with self._lock:
            return self._membership.is_neighbour(node_id, self._clock.monotonic())

    def list_reports(self) -> list[MemberReport]:
        """Return what can be passed on about the other live members."""
        with self._lock:
            return self._membership.list_reports(self._clock.monotonic())

    def last_contact_at(self, node_id: str) -> float | None:
        """Return when a member itself was last heard, or None."""
        with self._lock:
            return self._membership.last_contact_at(node_id)

    def list_contacted_within(self, seconds: float) -> list[str]:
        """Return the names of the other members heard directly in the last seconds."""
        since = self._clock.monotonic() - seconds
        with self._lock:
            return self._membership.list_contacted_since(since)

    def find(self, node_id: str) -> Member | None:
        """Return a member, live or not, or None."""
        with self._lock:
            return self._membership.find(node_id)

    def is_live(self, node_id: str) -> bool:
        """Whether a member was heard of lately."""
        with self._lock:
            return self._membership.is_live(node_id, self._clock.monotonic())


def _no_load() -> float:
    return 0.0


__all__ = ("MemberView",)
