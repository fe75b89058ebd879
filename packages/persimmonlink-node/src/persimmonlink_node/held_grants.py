"""Grants held by this node for each pool, and the split of its need over pools."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from persimmonlink_model.slots import SlotGrant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_model.pool_ownership import PoolKey
    from persimmonlink_peers.grant_messages import PoolReply


@dataclass(frozen=True)
class HeldGrant:
    """The latest grant from one pool.

    Parameters
    ----------
    coordinator : str
        Node that issued the grant.
    sequence : int
        Sequence number of the request that it answers.
    expires_at : float
        Monotonic time of expiry, in seconds.
    slots_by_server : Mapping of str to int
        Requests that this node may have in flight on each server.
    slots_by_account : Mapping of str to int
        How many of these slots are reserved for each account.
    limit : int
        Total slots of the pool's servers over all nodes.
    warming : bool
        Whether a server is below its warm limit, so that the coordinator needs counts
        of completions.
    """

    coordinator: str
    sequence: int
    expires_at: float
    slots_by_server: Mapping[str, int] = field(default_factory=dict)
    slots_by_account: Mapping[str, int] = field(default_factory=dict)
    limit: int = 0
    warming: bool = True


class HeldGrants:
    """Grants by pool; slots on a single server can be discarded before they expire.

    Not thread-safe: the owner must hold its lock.

    Parameters
    ----------
    node_id : str
        Id of this node.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.grant_by_pool: dict[PoolKey, HeldGrant] = {}
        self._requested_coordinator_by_pool: dict[PoolKey, str] = {}
        # Replies to requests up to this sequence number are taken to grant no slots on
        # the server.
        self._discarded_sequence_by_server: dict[str, float] = {}

    def set_requested_coordinator(self, key: PoolKey, coordinator: str) -> None:
        """Set the coordinator that the pool's slots are now requested from.

        Later replies from any other coordinator are ignored, because the new one
        does not count the slots that they grant.
        """
        self._requested_coordinator_by_pool[key] = coordinator

    def apply(
        self,
        key: PoolKey,
        reply: PoolReply,
        sequence: int,
        replying_node_id: str,
        valid_until: float,
    ) -> None:
        """Replace the pool's grant by the one in a reply."""
        if (
            self._requested_coordinator_by_pool.get(key, replying_node_id)
            != replying_node_id
        ):
            return
        slots_by_server = {}
        for server_id, slots in reply.slots.items():
            if sequence > self._discarded_sequence_by_server.get(server_id, 0):
                slots_by_server[server_id] = slots
        self.grant_by_pool[key] = HeldGrant(
            replying_node_id,
            sequence,
            valid_until,
            slots_by_server,
            dict(reply.accounts),
            reply.limit,
            reply.warming,
        )

    def discard_grants(self, server_id: str, sequence: float = math.inf) -> None:
        """Discard slots on a server that were granted up to a request.

        With the default of infinity, all replies are ignored for the server until
        `accept_replies_after` sets a finite sequence number.
        """
        known = self._discarded_sequence_by_server.get(server_id, 0)
        self._discarded_sequence_by_server[server_id] = max(known, sequence)
        for key, grant in list(self.grant_by_pool.items()):
            if server_id not in grant.slots_by_server or grant.sequence > sequence:
                continue
            remaining = {
                s: n for s, n in grant.slots_by_server.items() if s != server_id
            }
            self.grant_by_pool[key] = replace(grant, slots_by_server=remaining)

    def accept_replies_after(self, server_id: str, sequence: int) -> None:
        """Accept slots on the server again in replies to later requests."""
        self._discarded_sequence_by_server[server_id] = sequence

    def find_applied_sequence(self, key: PoolKey, coordinator: str, now: float) -> int:
        """Return the sequence number of a coordinator's unexpired grant, or 0."""
        grant = self.grant_by_pool.get(key)
        if grant is None or grant.expires_at <= now:
            return 0
        return grant.sequence if grant.coordinator == coordinator else 0

    def wants_progress(self, key: PoolKey) -> bool:
        """Whether a pool's coordinator needs completion counts."""
        grant = self.grant_by_pool.get(key)
        return grant is None or grant.warming

    def get_other_coordinator_slots(
        self, key: PoolKey, coordinator: str, now: float
    ) -> Mapping[str, int]:
        """Return unexpired slots by server that another coordinator granted."""
        grant = self.grant_by_pool.get(key)
        if grant is None or grant.expires_at <= now:
            return {}
        return {} if grant.coordinator == coordinator else grant.slots_by_server

    def collect(
        self, keys: Iterable[PoolKey], usable: Iterable[str]
    ) -> tuple[dict[str, SlotGrant], dict[str, int]]:
        """Return the grants by server and the slots by account of several pools.

        Parameters
        ----------
        keys : iterable of PoolKey
            Pools to include.
        usable : iterable of str
            Servers that accept new requests in this node's view; others are left out.
        """
        usable_ids = set(usable)
        grant_by_server: dict[str, SlotGrant] = {}
        slots_by_account: dict[str, int] = {}
        for key in keys:
            held = self.grant_by_pool.get(key)
            if held is None:
                continue
            for server_id, slots in held.slots_by_server.items():
                if server_id not in usable_ids:
                    continue
                grant = SlotGrant(server_id, slots, held.expires_at)
                grant_by_server[server_id] = grant
            for account, slots in held.slots_by_account.items():
                slots_by_account[account] = slots_by_account.get(account, 0) + slots
        return grant_by_server, slots_by_account

    def count_shared(self, keys: Iterable[PoolKey], now: float) -> int:
        """Return the total slots of pools over all nodes, from unexpired grants."""
        shared_slots = 0
        for key in keys:
            held = self.grant_by_pool.get(key)
            if held is not None and held.expires_at > now:
                shared_slots += held.limit
        return shared_slots

    def split_need(
        self, key: PoolKey, keys: Iterable[PoolKey], need_by_account: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the share of a service's need to request from one of its pools.

        The need is split over the pools in proportion to their limits.
        """
        limit_by_pool = {}
        for each in keys:
            held = self.grant_by_pool.get(each)
            limit_by_pool[each] = 0 if held is None else held.limit
        if not any(limit_by_pool.values()):
            # Before the first reply no limit is known: split the need equally.
            limit_by_pool = dict.fromkeys(limit_by_pool, 1)
        need_here = {}
        for account, need in need_by_account.items():
            part = _split_proportionally(
                need, limit_by_pool, f"{self.node_id}/{account}"
            )[key]
            if part:
                need_here[account] = part
        return need_here


def _split_proportionally(
    need: int, limit_by_pool: Mapping[PoolKey, int], salt: str
) -> dict[PoolKey, int]:
    """Split `need` into whole parts in proportion to the limits.

    The remainder after rounding down goes to pools in rank order. The order depends
    on the salt, so that small needs are not all requested from the same pool.
    """
    total = sum(limit_by_pool.values())
    part_by_pool = {p: need * limit // total for p, limit in limit_by_pool.items()}
    ranked = sorted(
        (pool for pool, limit in limit_by_pool.items() if limit),
        key=lambda pool: xxh3_64_intdigest(f"{salt}/{pool}".encode()),
    )
    for pool in ranked[: need - sum(part_by_pool.values())]:
        part_by_pool[pool] += 1
    return part_by_pool


__all__ = ("HeldGrant", "HeldGrants")
