"""Which peers a node sends heartbeats to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def list_successors(
    own_id: str, node_ids: Iterable[str], fan_out: int, far_fan_out: int
) -> list[str]:
    """Return the nodes that a node sends heartbeats to.

    All nodes stand on a ring, ordered by hash. Up to `2 * fan_out + 1` nodes, each
    calls the next `fan_out` on the ring, so that all hear each other. In a larger
    fleet each calls `far_fan_out` nodes at distances that grow geometrically, so that
    what one node tells its peers reaches all in few steps.

    Parameters
    ----------
    own_id : str
        Name of the node.
    node_ids : iterable of str
        All nodes.
    fan_out : int
        Peers of a node in a small fleet.
    far_fan_out : int
        Peers of a node in a large fleet.
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
