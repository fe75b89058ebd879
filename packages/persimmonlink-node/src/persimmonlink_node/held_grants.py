"""The grants that this node holds, by pool, and how its need is split over pools."""

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
    """The latest grant of one pool.

    Parameters
    ----------
    coordinator : str
        Node that gave it.
    sequence : int
        Request that it answered.
    expires_at : float
        Monotonic time of expiry, in seconds.
    slots_by_server : Mapping of str to int
        Requests that may be in flight.
    slots_by_account : Mapping of str to int
        How many of them are an account's own.
    limit : int
        Requests that all servers of the pool bear together.
    warming : bool
        Whether the coordinator wants to know of completions.
    """

    coordinator: str
    sequence: int
    expires_at: float
    slots_by_server: Mapping[str, int] = field(default_factory=dict)
    slots_by_account: Mapping[str, int] = field(default_factory=dict)
    limit: int = 0
    warming: bool = True


class HeldGrants:
    """Grants by pool; a server's grant may be dropped before its time.

    Guarded by its owner; holds no lock of its own.

    Parameters
    ----------
    node_id : str
        Node that holds them.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.grant_by_pool: dict[PoolKey, HeldGrant] = {}
        self._requested_coordinator_by_pool: dict[PoolKey, str] = {}
        # Answers to requests up to this one are not used for the server.
        self._discarded_sequence_by_server: dict[str, float] = {}

    def set_requested_coordinator(self, key: PoolKey, coordinator: str) -> None:
        """Note that a request for a pool goes to a coordinator now.

        An answer that another one still sends is not used: the new one doesn't know
        of it.
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
        """Take the answer to a request in place of the pool's last one."""
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
        """Stop using grants on a server that answer requests up to a number.

        Infinity stands for all, until `accept_replies_after` names a number.
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
        """Use answers to requests after this one again."""
        self._discarded_sequence_by_server[server_id] = sequence

    def find_applied_sequence(self, key: PoolKey, coordinator: str, now: float) -> int:
        """Return the request whose grant a coordinator gave and is live, or 0."""
        grant = self.grant_by_pool.get(key)
        if grant is None or grant.expires_at <= now:
            return 0
        return grant.sequence if grant.coordinator == coordinator else 0

    def wants_progress(self, key: PoolKey) -> bool:
        """Whether a pool's coordinator wants to know of completions."""
        grant = self.grant_by_pool.get(key)
        return grant is None or grant.warming

    def get_other_coordinator_slots(
        self, key: PoolKey, coordinator: str, now: float
    ) -> Mapping[str, int]:
        """Return the live slots that another coordinator gave."""
        grant = self.grant_by_pool.get(key)
        if grant is None or grant.expires_at <= now:
            return {}
        return {} if grant.coordinator == coordinator else grant.slots_by_server

    def collect(
        self, keys: Iterable[PoolKey], usable: Iterable[str]
    ) -> tuple[dict[str, SlotGrant], dict[str, int]]:
        """Return grants by server and slots by account over some pools.

        Parameters
        ----------
        keys : iterable of PoolKey
            The pools.
        usable : iterable of str
            Servers that may take new work as far as this node knows.
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
        """Return what the servers of some pools bear, by answers still in force."""
        shared_slots = 0
        for key in keys:
            held = self.grant_by_pool.get(key)
            if held is not None and held.expires_at > now:
                shared_slots += held.limit
        return shared_slots

    def split_need(
        self, key: PoolKey, keys: Iterable[PoolKey], need_by_account: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the part of a service's need that one of its pools is asked for.

        Each pool is asked in proportion to what its servers bear.
        """
        limit_by_pool = {}
        for each in keys:
            held = self.grant_by_pool.get(each)
            limit_by_pool[each] = 0 if held is None else held.limit
        if not any(limit_by_pool.values()):
            # Until an answer has come, the pools count as equal.
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
    """Split a whole number in proportion; the parts add up to it.

    What is left after rounding down goes to pools by rank, which differs by salt so
    that small needs don't all fall to one pool.
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
