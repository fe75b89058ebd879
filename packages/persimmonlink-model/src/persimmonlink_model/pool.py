"""One service's servers in one failure domain, and the slots granted on them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmonlink_model.pool_grant import NodeReport, PoolGrant, PoolTimes
from persimmonlink_model.pool_server import PoolServer, ServerLimits
from persimmonlink_model.share_division import divide_slots

if TYPE_CHECKING:
    from collections.abc import Iterable

ROTATION_PERIOD_S = 4.0
IDLE_NODE_SLOTS = 1


@dataclass
class _Holder:
    """What a node may be using, from its last report and the grants since."""

    sequence: int = 0
    reported_at: float = 0.0
    in_flight_by_server: Mapping[str, int] = field(default_factory=dict)
    demand_by_account: Mapping[str, float] = field(default_factory=dict)
    grant_by_sequence: dict[int, PoolGrant] = field(default_factory=dict)

    def count_max_in_flight(self, server_id: str) -> int:
        """Return the most requests that the node may have in flight on a server."""
        max_in_flight = self.in_flight_by_server.get(server_id, 0)
        for grant in self.grant_by_sequence.values():
            max_in_flight = max(max_in_flight, grant.slots_by_server.get(server_id, 0))
        return max_in_flight


class Pool:
    """Grants slots so that all nodes together stay under what each server bears.

    A node counts with the most it may have in flight: what it reported, and each
    grant that it may have used since. A grant ceases to count only at a later
    report, which says whether the node still holds it and what it has in flight.

    Guarded by its owner; holds no lock of its own.

    Parameters
    ----------
    limits : ServerLimits
        What the servers bear.
    times : PoolTimes
        Life of grants.
    opens_at : float
        Monotonic time before which nothing is granted, in seconds: grants of an
        earlier coordinator may be live until then.
    expected_nodes : iterable of str
        Nodes that must have reported before anything is granted, unless they stay
        silent for the longest request.
    salt : int
        Differs between pools, so that they don't all favour one node at a time.
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
        """Set the servers in service; return those that were taken out."""
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
        """Whether no grant of an earlier coordinator can be in use unreported."""
        if now < self.opens_at:
            return False
        return (
            not self._awaited_nodes
            or now >= self.opens_at + self.times.longest_request_s
        )

    def stop_awaiting(self, node_id: str) -> None:
        """Wait no longer for the first report of a node that has gone."""
        self._awaited_nodes.discard(node_id)

    def grant(
        self,
        report: NodeReport,
        now: float,
        weight_by_account: Mapping[str, float],
        *,
        may_grant: bool = True,
    ) -> PoolGrant | None:
        """Answer a node's request.

        Parameters
        ----------
        report : NodeReport
            The request.
        now : float
            Monotonic time, in seconds.
        weight_by_account : Mapping of str to float
            Weights of the accounts that want slots.
        may_grant : bool
            Whether slots may be given out; the report is taken in any case.

        Returns
        -------
        PoolGrant or None
            None for a request that a later one has overtaken.
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
        """Return the most requests that all nodes may have in flight on a server."""
        return sum(
            h.count_max_in_flight(server_id) for h in self._holder_by_id.values()
        )

    def is_warming(self) -> bool:
        """Whether completions matter, because a server is below its warm limit."""
        return any(self._is_below_warm(server_id) for server_id in self.server_by_id)

    def list_accounts(self) -> set[str]:
        """Return the accounts that any node wants slots for."""
        accounts: set[str] = set()
        for holder in self._holder_by_id.values():
            accounts.update(holder.demand_by_account)
        return accounts

    def list_awaited_nodes(self) -> list[str]:
        """Return the nodes whose first report is still awaited."""
        return sorted(self._awaited_nodes)

    def list_holders(self, server_id: str) -> dict[str, int]:
        """Return the last request of each node that may hold slots on a server."""
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
        # A node asks again only when it has had or given up the last answer, so
        # that of the grants before this request it can use the applied one alone.
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
        """Return a node's slots by account, and those beyond its demand."""
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
        # What nobody wants now is split over the nodes with work, so that one whose
        # demand rises has slots at hand; withheld, it would lie idle meanwhile.
        spare = max(0, spare - len(idle) * IDLE_NODE_SLOTS)
        rotated_index = (active.index(holder_id) + rotation) % len(active)
        return own, spare // len(active) + (rotated_index < spare % len(active))

    def _assign_slots(
        self, holder_id: str, holder: _Holder, wanted: int
    ) -> dict[str, int]:
        """Place slots on servers, first where the node has requests in flight."""
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
            # A cold server warms up by work alone, so each gets a little of it.
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
