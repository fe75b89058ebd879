"""Messages that report servers that ended, and what they ran."""

from __future__ import annotations

from dataclasses import dataclass, field

from persimmonlink_peers.message import Sender
from persimmonlink_router.foreign_values import Seconds


@dataclass(frozen=True)
class CrashReport:
    """A server that ended soon after a node had sent it a request.

    Parameters
    ----------
    server : str
        Incarnation of the server.
    part_ids : tuple of str
        Possible causes: the fingerprint of the request, and the parts of its prompt
        that the node has not served lately.
    age_s : float
        Time since the end, in seconds.
    sent_age_s : float or None
        Time since the request was sent, in seconds; None if unknown.
    software : str
        Service and software version of the server, empty if unknown.
    account : str
        Client account of the request, empty if unknown.
    path : str
        Path of the request, empty if unknown.
    is_doubtful : bool
        Whether something else may have ended the server.
    apart_from : tuple of str
        Servers that the node saw end before it sent the request, or whose requests it
        sent after the end.
    """

    server: str
    part_ids: tuple[str, ...]
    age_s: Seconds
    sent_age_s: Seconds | None = None
    software: str = ""
    account: str = ""
    path: str = ""
    is_doubtful: bool = False
    apart_from: tuple[str, ...] = ()


@dataclass(frozen=True)
class ReportCrashes:
    """Tells a peer of servers that ended, and of suspect parts that were served.

    Parameters
    ----------
    sender : Sender
        Identity of the sending node.
    crashes : tuple of CrashReport
        Ends of servers under requests of the sender.
    served_age_s_by_part : dict of str to float
        Times since suspect prompt parts were served, in seconds.
    receiver_ids : tuple of str
        Nodes that get this from the sender; empty if it doesn't say so.
    """

    sender: Sender
    crashes: tuple[CrashReport, ...]
    served_age_s_by_part: dict[str, Seconds] = field(default_factory=dict)
    receiver_ids: tuple[str, ...] = ()


__all__ = (
    "CrashReport",
    "ReportCrashes",
)
