"""Messages between routers about a rollout."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_peers.message import Sender
from persimmonlink_router.foreign_values import Count, Seconds


@dataclass(frozen=True)
class RouteEvidence:
    """Outcomes that a node has seen on a route since the order.

    Parameters
    ----------
    route : str
        Name of the route; empty for calls of stages.
    is_new : bool
        Whether servers of the new version ran the requests.
    answered : int
        Requests that were answered well.
    failed : int
        Requests that servers failed.
    count_by_bucket : dict of int to int
        Number of responses by the bucket of the time until they began.
    given_up_by_bucket : dict of int to int
        Number of requests given up before that, by the bucket of the time until then.
    """

    route: str
    is_new: bool
    answered: Count
    failed: Count
    count_by_bucket: dict[int, Count]
    given_up_by_bucket: dict[int, Count]


@dataclass(frozen=True)
class ReportRollout:
    """All that a node has seen of a rollout; a later report replaces it.

    Parameters
    ----------
    sender : Sender
        Identity of the sending node.
    service : str
        Service that is moved.
    order_revision : int
        Revision of the store at which the order was written.
    elapsed_s : float
        Time since the order as the sender knows it, in seconds.
    old_in_flight : int
        Requests that the sender has in flight at servers of old versions.
    evidence : tuple of RouteEvidence
        Outcomes by route and side.
    """

    sender: Sender
    service: str
    order_revision: Count
    elapsed_s: Seconds
    old_in_flight: Count
    evidence: tuple[RouteEvidence, ...]


@dataclass(frozen=True)
class RolloutReply:
    """What the receiver of a report knows of the rollout.

    Parameters
    ----------
    can_write : bool
        Whether it knows the order and reaches the store, so that it may decide.
    is_suspended : bool
        Whether the new version is to get nothing more for now.
    elapsed_s : float
        Time since the order as the receiver knows it, in seconds.
    """

    can_write: bool
    is_suspended: bool
    elapsed_s: Seconds


__all__ = ("ReportRollout", "RolloutReply", "RouteEvidence")
