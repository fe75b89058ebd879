"""Rendezvous hashing, by which all nodes choose the same owner of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_model.membership import Member


def choose_owner(key: str, node_ids: Iterable[str]) -> str:
    """Return the node that owns a key.

    When a node joins or leaves, only the keys that it owns change their owner.

    Parameters
    ----------
    key : str
        Key to assign.
    node_ids : iterable of str
        Candidate nodes, in any order.

    Returns
    -------
    str
        Name of the owner, or an empty string if there are no nodes.
    """
    return max(node_ids, key=lambda node_id: _compute_weight(node_id, key), default="")


def rank_members(members: Iterable[Member], key: str) -> list[Member]:
    """Return the members by descending weight for a key, the owner first."""
    return sorted(
        members, key=lambda member: _compute_weight(member.node_id, key), reverse=True
    )


def choose_shard(key: str, shards: int) -> int:
    """Return the number of the shard that a key belongs to, counted from 0."""
    return xxh3_64_intdigest(key.encode()) % shards


def _compute_weight(node_id: str, key: str) -> tuple[int, str]:
    return xxh3_64_intdigest(f"{key}\0{node_id}".encode()), node_id


__all__ = ("choose_owner", "choose_shard", "rank_members")
