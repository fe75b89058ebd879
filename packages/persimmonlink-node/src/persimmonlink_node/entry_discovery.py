"""Selects the entry VMs that are advertised to callers."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.membership import Member
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity, NodeState

# A node whose running requests reach this fraction of their limit is busy.
BUSY_LOAD_SHARE = 0.8
# Keeps 1 / weight finite for a fully loaded node.
MIN_WEIGHT = 0.05


@dataclass(frozen=True)
class EntryAddress:
    """An entry VM that accepts new callers.

    Parameters
    ----------
    address : str
        `IP:PORT` for callers.
    domain : str
        Failure domain of the VM.
    """

    address: str
    domain: str


@dataclass(frozen=True)
class EntryAnswer:
    """The answer to `GET /v1/entry`.

    Parameters
    ----------
    addresses : tuple of EntryAddress
        Entry VMs in the order in which the caller should try them.
    ttl_s : float
        Seconds for which the caller may cache the answer.
    id_prefix : str
        Prefix of request ids that only this node's incarnation may run; empty when
        this node accepts no new callers.
    """

    addresses: tuple[EntryAddress, ...]
    ttl_s: float
    id_prefix: str


class EntryDiscovery:
    """Builds entry answers, and records when each node was last advertised.

    Only neighbours, the nodes that exchange heartbeats with this one, are advertised.
    A leaving node then has to notify its neighbours only, and their replies say when
    they last advertised it.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    state : NodeState
        Source of drained domains and the VM list.
    members : MemberView
        Source of the neighbours and their load.
    ttl_s : float
        Seconds for which callers may cache answers.
    rng : random.Random
        Generator that shuffles the advertised nodes.
    clock : Clock
        Clock for the times of advertisements.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        ttl_s: float,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self.ttl_s = ttl_s
        self._identity = identity
        self._state = state
        self._members = members
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._advertised_at_by_id: dict[str, float] = {}

    def build_answer(self, domain: str = "") -> EntryAnswer:
        """Return the entry VMs that accept new callers.

        Parameters
        ----------
        domain : str
            The caller's failure domain, empty if it has none.
        """
        # Members are read and the times recorded under one lock, so that a call of
        # `last_advertised_at` after a node was marked as leaving covers every
        # advertisement made before the mark.
        with self._lock:
            eligible = [
                m for m in self._members.list_neighbours() if self._is_eligible(m)
            ]
            ordered = order_members(eligible, domain, self._rng)
            now = self._clock.monotonic()
            for member in ordered:
                self._advertised_at_by_id[member.node_id] = now
        addresses = tuple(EntryAddress(m.http_address, m.domain) for m in ordered)
        accepts_callers = any(m.node_id == self._identity.node_id for m in ordered)
        prefix = self._identity.id_prefix if accepts_callers else ""
        return EntryAnswer(addresses, self.ttl_s, prefix)

    def last_advertised_at(self, node_id: str) -> float | None:
        """Return when a node was last advertised to a caller, or None."""
        with self._lock:
            return self._advertised_at_by_id.get(node_id)

    def _is_eligible(self, member: Member) -> bool:
        if member.leaving:
            return False
        vm = self._state.find_vm(member.node_id)
        if vm is None:
            return not self._state.is_drained(member.domain)
        return self._state.accepts_work(vm)


def order_members(
    members: Iterable[Member], domain: str, rng: random.Random
) -> list[Member]:
    """Return the members that a caller should try, in order.

    Busy members are omitted unless all are busy. Members of the caller's domain come
    first, then all others. Both groups are in a new weighted random order at each call,
    in which less loaded members tend to come first: callers that cache their answers
    then don't all choose the same node.
    """
    candidates = list(members)
    unloaded = [member for member in candidates if member.load < BUSY_LOAD_SHARE]

    def rank(member: Member) -> tuple[bool, float]:
        weight = max(MIN_WEIGHT, 1.0 - member.load)
        return (member.domain != domain, -(rng.random() ** (1.0 / weight)))

    return sorted(unloaded or candidates, key=rank)


__all__ = ("EntryAddress", "EntryAnswer", "EntryDiscovery", "order_members")
