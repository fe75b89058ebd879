"""Choice of the peers that a node sends heartbeats to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def list_successors(
    own_id: str, node_ids: Iterable[str], fan_out: int, far_fan_out: int
) -> list[str]:
    """Return the nodes that a node sends heartbeats to.

    All nodes are placed on a ring ordered by hash. With up to `2 * fan_out + 1` nodes,
    each one sends to its next `fan_out` successors, so that every pair of nodes
    exchanges heartbeats. In a larger cluster each node sends to up to `far_fan_out`
    nodes at geometrically growing distances, so that an update reaches all nodes in few
    hops.

    Parameters
    ----------
    own_id : str
        Name of the node.
    node_ids : iterable of str
        Names of all nodes.
    fan_out : int
        Number of peers that each node sends to in a small cluster.
    far_fan_out : int
        Largest number of peers that each node sends to in a large cluster.
    """
    others = sorted(_compute_position(node_id) for node_id in set(node_ids) - {own_id})
    own_position = _compute_position(own_id)
    later = [
        node_id for position, node_id in others if (position, node_id) > own_position
    ]
    earlier = [
        node_id for position, node_id in others if (position, node_id) < own_position
    ]
    following = later + earlier
    if len(following) <= 2 * fan_out:
        return following[:fan_out]
    distances = {
        round((len(following) + 1) ** (step / far_fan_out))
        for step in range(far_fan_out)
    }
    return [following[distance - 1] for distance in sorted(distances)]


def _compute_position(node_id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(node_id.encode()), node_id


__all__ = ("list_successors",)
