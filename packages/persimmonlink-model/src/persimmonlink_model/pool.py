"""Pool of one service's servers in one failure domain, and the slots granted on it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_model.pool_grant import NodeReport, PoolGrant, PoolTimes
from persimmonlink_model.pool_server import PoolServer, ServerLimits
from persimmonlink_model.share_division import divide_slots

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time after which slots that do not divide evenly go to other nodes and accounts.
ROTATION_PERIOD_S = 4.0
IDLE_NODE_SLOTS = 1  # Slots granted to a node without demand while slots are spare.


@dataclass
class _Holder:
    """Slots that a node may be using: its last report and the grants made since."""

    sequence: int = 0
    reported_at: float = 0.0
    in_flight_by_server: Mapping[str, int] = field(default_factory=dict)
    demand_by_account: Mapping[str, float] = field(default_factory=dict)
    grant_by_sequence: dict[int, PoolGrant] = field(default_factory=dict)

    def count_max_in_flight(self, server_id: str) -> int:
        """Return the upper bound of the node's requests in flight on a server."""
        max_in_flight = self.in_flight_by_server.get(server_id, 0)
        for grant in self.grant_by_sequence.values():
            max_in_flight = max(max_in_flight, grant.slots_by_server.get(server_id, 0))
        return max_in_flight


class Pool:
    """Grants slots so that all nodes together stay within each server's limit.

    Each node is counted with the upper bound of its requests in flight: the maximum
    of what it reported and of each grant that it may have used since. A grant stops
    counting only at a later report, which states whether the node still holds the
    grant and what it has in flight.

    Not thread-safe; the owner serializes access.

    Parameters
    ----------
    limits : ServerLimits
        Limits of the servers.
    times : PoolTimes
        Lifetime of grants and of requests.
    opens_at : float
        Monotonic time before which nothing is granted, in seconds: grants of an
        earlier coordinator may be live until then.
    expected_nodes : iterable of str
        Nodes that must report before anything is granted, unless they stay silent
        for the duration of the longest request.
    salt : int
        Number that differs between pools, so that they do not all favour the same node
        at once.
    """

    def __init__(
        self,
        limits: ServerLimits,
        times: PoolTimes,
        opens_at: float,
        expected_nodes: Iterable[str] = (),
        salt: int = 0,
    ) -> None:
        self.limits = limits
        self.times = times
        self.opens_at = opens_at
        self.salt = salt
        self.server_by_id: dict[str, PoolServer] = {}
        self._awaited_nodes = set(expected_nodes)
        self._holder_by_id: dict[str, _Holder] = {}

    def set_servers(self, server_ids: Iterable[str]) -> list[str]:
        """Set the servers in service; return those that were removed from it."""
        in_service = set(server_ids)
        for server_id in in_service:
            server = self.server_by_id.get(server_id)
            if server is None:
                self.server_by_id[server_id] = PoolServer(server_id)
                continue
            server.return_to_service()
        removed = []
        for server_id, server in self.server_by_id.items():
            if server_id in in_service or not server.in_service:
                continue
            server.remove_from_service()
            removed.append(server_id)
        return removed

    def is_open(self, now: float) -> bool:
        """Whether requests under earlier coordinators' grants are counted or ended.

        The grants have expired by `opens_at`. Requests sent under them are counted by
        the first reports of the expected nodes; those of a node that stays silent have
        ended after the duration of the longest request.
        """
        if now < self.opens_at:
            return False
        return (
            not self._awaited_nodes
            or now >= self.opens_at + self.times.longest_request_s
        )

    def stop_awaiting(self, node_id: str) -> None:
        """Stop awaiting the first report of a node that is no longer live."""
        self._awaited_nodes.discard(node_id)

    def grant(
        self,
        report: NodeReport,
        now: float,
        weight_by_account: Mapping[str, float],
        *,
        may_grant: bool = True,
    ) -> PoolGrant | None:
        """Apply a node's report and return the slots granted to it.

        Parameters
        ----------
        report : NodeReport
            Report and demand of the node.
        now : float
            Monotonic time, in seconds.
        weight_by_account : Mapping of str to float
            Weights of the accounts with demand.
        may_grant : bool
            Whether slots may be granted; the report is applied in any case.

        Returns
        -------
        PoolGrant or None
            None if a request of the same or a later sequence number was handled.
        """
        holder = self._apply_report(report, now)
        if holder is None:
            return None
        granted = PoolGrant()
        if may_grant and self.is_open(now):
            granted = self._build_grant(report.holder, holder, now, weight_by_account)
        holder.grant_by_sequence[report.sequence] = granted
        return granted

    def count_outstanding(self, server_id: str) -> int:
        """Return the upper bound of all nodes' requests in flight on a server."""
        return sum(
            h.count_max_in_flight(server_id) for h in self._holder_by_id.values()
        )

    def is_warming(self) -> bool:
        """Whether a server is below its warm limit, so that completions count."""
        return any(self._is_below_warm(server_id) for server_id in self.server_by_id)

    def list_accounts(self) -> set[str]:
        """Return the accounts for which any node has reported demand."""
        accounts: set[str] = set()
        for holder in self._holder_by_id.values():
            accounts.update(holder.demand_by_account)
        return accounts

    def list_awaited_nodes(self) -> list[str]:
        """Return the nodes whose first report has not arrived, ordered by name."""
        return sorted(self._awaited_nodes)

    def list_holders(self, server_id: str) -> dict[str, int]:
        """Return the last sequence number of each node that may use a server."""
        return {
            holder_id: holder.sequence
            for holder_id, holder in self._holder_by_id.items()
            if holder.count_max_in_flight(server_id)
        }

    def _apply_report(self, report: NodeReport, now: float) -> _Holder | None:
        holder = self._holder_by_id.setdefault(report.holder, _Holder())
        if report.sequence <= holder.sequence:
            return None
        self._awaited_nodes.discard(report.holder.partition("/")[0])
        holder.sequence = report.sequence
        holder.reported_at = now
        holder.in_flight_by_server = dict(report.in_flight_by_server)
        holder.demand_by_account = dict(report.demand_by_account)
        # A node sends its next request only after it received or gave up on the last
        # reply, so of the grants before this request it can use only the applied one.
        applied = holder.grant_by_sequence.get(report.applied_sequence)
        holder.grant_by_sequence = (
            {} if applied is None else {report.applied_sequence: applied}
        )
        for holder_id, other in list(self._holder_by_id.items()):
            if now - other.reported_at > self.times.longest_request_s:
                del self._holder_by_id[holder_id]
        return holder

    def _build_grant(
        self,
        holder_id: str,
        holder: _Holder,
        now: float,
        weight_by_account: Mapping[str, float],
    ) -> PoolGrant:
        limit = sum(s.limit(self.limits) for s in self.server_by_id.values())
        own, extra = self._compute_entitlement(holder_id, limit, now, weight_by_account)
        wanted = sum(own.values()) + extra
        slots_by_server = self._assign_slots(holder_id, holder, wanted)
        assigned = sum(slots_by_server.values())
        demand = {(holder_id, account): float(n) for account, n in own.items()}
        divided = divide_slots(assigned, demand, weight_by_account)
        by_account = {account: count for (_, account), count in divided.items()}
        return PoolGrant(slots_by_server, by_account, limit)

    def _compute_entitlement(
        self,
        holder_id: str,
        limit: int,
        now: float,
        weight_by_account: Mapping[str, float],
    ) -> tuple[dict[str, int], int]:
        """Return a node's slots by account, and its slots beyond its demand."""
        rotation = int(now / ROTATION_PERIOD_S) + self.salt
        demand: dict[tuple[str, str], float] = {}
        idle: list[str] = []
        active: list[str] = []
        for other_id, other in sorted(self._holder_by_id.items()):
            if now - other.reported_at > self.times.grant_ttl_s:
                continue
            for account, wanted in other.demand_by_account.items():
                demand[other_id, account] = wanted
            (active if any(other.demand_by_account.values()) else idle).append(other_id)
        divided = divide_slots(limit, demand, weight_by_account, rotation)
        own = {a: count for (node, a), count in divided.items() if node == holder_id}
        spare = limit - sum(divided.values())
        if holder_id in idle:
            rotated_index = (idle.index(holder_id) + rotation) % len(idle)
            return own, IDLE_NODE_SLOTS if rotated_index < spare else 0
        # Slots without demand are split over the nodes with work, so that a node whose
        # demand rises can use them at once; withheld, they would stay unused until
        # its next request.
        spare = max(0, spare - len(idle) * IDLE_NODE_SLOTS)
        rotated_index = (active.index(holder_id) + rotation) % len(active)
        return own, spare // len(active) + (rotated_index < spare % len(active))

    def _assign_slots(
        self, holder_id: str, holder: _Holder, wanted: int
    ) -> dict[str, int]:
        """Assign slots on servers, first where the node has requests in flight."""
        free_by_server: dict[str, int] = {}
        for server_id, server in self.server_by_id.items():
            others = self.count_outstanding(server_id) - holder.count_max_in_flight(
                server_id
            )
            free = server.limit(self.limits) - others
            if free > 0:
                free_by_server[server_id] = free
        slots_by_server: dict[str, int] = {}

        def allocate(server_id: str, count: int) -> int:
            count = min(count, free_by_server[server_id], wanted)
            if count > 0:
                slots_by_server[server_id] = slots_by_server.get(server_id, 0) + count
                free_by_server[server_id] -= count
            return max(0, count)

        for server_id in free_by_server:
            wanted -= allocate(server_id, holder.in_flight_by_server.get(server_id, 0))
        for server_id in free_by_server:
            # A cold server warms up only by completing requests, so each gets one.
            if wanted >= 2 and self._is_below_warm(server_id):
                wanted -= allocate(server_id, 1)
        while wanted > 0 and any(free_by_server.values()):
            most_free = max(
                free_by_server, key=lambda s: (free_by_server[s], f"{holder_id}{s}")
            )
            wanted -= allocate(most_free, 1)
        return slots_by_server

    def _is_below_warm(self, server_id: str) -> bool:
        limit = self.server_by_id[server_id].limit(self.limits)
        return limit < self.limits.warm_slots


__all__ = ("Pool",)
