"""Fields common to all messages between nodes."""

from __future__ import annotations

from dataclasses import dataclass

PROTOCOL_VERSION = 1


@dataclass(frozen=True)
class Sender:
    """Node that sent a message.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : str
        Incarnation of the node, which changes at each start.
    version : int
        Protocol version of the message.
    """

    node_id: str
    incarnation: str
    version: int = PROTOCOL_VERSION


__all__ = ("PROTOCOL_VERSION", "Sender")
