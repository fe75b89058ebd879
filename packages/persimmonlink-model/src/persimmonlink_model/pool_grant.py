"""Value types of slot requests and grants."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class PoolTimes:
    """Durations that bound grants.

    Parameters
    ----------
    grant_ttl_s : float
        Lifetime of a grant, in seconds.
    longest_request_s : float
        Longest time for which a request of a silent node may still run, in seconds.
    """

    grant_ttl_s: float = 1.0
    longest_request_s: float = 5.0


@dataclass(frozen=True)
class NodeReport:
    """Report and demand that a node sends in a slot request.

    Parameters
    ----------
    holder : str
        Node incarnation that holds the slots, as `NODE/INCARNATION`.
    sequence : int
        Sequence number of the request; increases with each one that the node sends.
    applied_sequence : int
        Request whose grant the node holds; 0 if it holds no live grant.
    in_flight_by_server : Mapping of str to int
        Requests in flight.
    demand_by_account : Mapping of str to float
        Slots wanted, including those in use.
    """

    holder: str
    sequence: int
    applied_sequence: int = 0
    in_flight_by_server: Mapping[str, int] = field(default_factory=dict)
    demand_by_account: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PoolGrant:
    """Slots granted to one node.

    Parameters
    ----------
    slots_by_server : Mapping of str to int
        Requests that the node may have in flight on each server.
    slots_by_account : Mapping of str to int
        Number of these slots reserved for each account.
    limit : int
        Sum of the limits of all servers of the pool.
    """

    slots_by_server: Mapping[str, int] = field(default_factory=dict)
    slots_by_account: Mapping[str, int] = field(default_factory=dict)
    limit: int = 0


__all__ = ("NodeReport", "PoolGrant", "PoolTimes")
