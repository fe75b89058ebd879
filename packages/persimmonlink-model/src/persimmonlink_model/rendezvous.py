"""Rendezvous hashing: all nodes choose the same owner of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_model.membership import Member


def choose_owner(key: str, node_ids: Iterable[str]) -> str:
    """Return the node that owns a key.

    When a node joins or goes, only the keys that it owns change their owner.

    Parameters
    ----------
    key : str
        What is owned.
    node_ids : iterable of str
        Nodes to choose from, in any order.

    Returns
    -------
    str
        One of the nodes, or an empty string if there is none.
    """
    return max(node_ids, key=lambda node_id: _compute_weight(node_id, key), default="")


def rank_members(members: Iterable[Member], key: str) -> list[Member]:
    """Return the members by their weight for a key, the owner first."""
    return sorted(
        members, key=lambda member: _compute_weight(member.node_id, key), reverse=True
    )


def choose_shard(key: str, shards: int) -> int:
    """Return the shard, from 0 on, that a key belongs to."""
    return xxh3_64_intdigest(key.encode()) % shards


def _compute_weight(node_id: str, key: str) -> tuple[int, str]:
    return xxh3_64_intdigest(f"{key}\0{node_id}".encode()), node_id


__all__ = ("choose_owner", "choose_shard", "rank_members")
