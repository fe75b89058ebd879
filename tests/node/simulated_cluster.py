"""Simulates the membership of several nodes in one process, without sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from persimmonlink_model.heartbeat_ring import list_successors
from persimmonlink_model.server_directory import Vm, VmRole, VmState
from persimmonlink_node.entry_discovery import EntryDiscovery
from persimmonlink_node.heartbeats import Heartbeats
from persimmonlink_node.member_view import MemberView
from persimmonlink_node.node_state import NodeIdentity
from persimmonlink_node.settings import MembershipSettings

DOMAINS = ("a", "b", "c")
TTL_S = 5.0


@dataclass
class FakeClock:
    now: float = 1000.0

    def monotonic(self) -> float:
        return self.now

    def unix_ms(self) -> int:
        return int(self.now * 1000)


@dataclass
class FakeState:
    """The VM list and the drained domains."""

    vm_by_id: dict[str, Vm] = field(default_factory=dict)
    drained: set[str] = field(default_factory=set)
    revision: int = 1

    def find_vm(self, vm_id: str) -> Vm | None:
        return self.vm_by_id.get(vm_id)

    def list_entry_vms(self) -> list[Vm]:
        return list(self.vm_by_id.values())

    def is_drained(self, domain: str) -> bool:
        return domain in self.drained

    def accepts_work(self, vm: Vm) -> bool:
        return vm.state is VmState.LIVE and vm.domain not in self.drained


class SimulatedNode:
    """The membership view, entry discovery and heartbeats of one node."""

    def __init__(
        self,
        node_id: str,
        state: FakeState,
        clock: FakeClock,
        settings: MembershipSettings,
        incarnation: str = "00661c2d1759d867e3a1117",
    ) -> None:
        vm = state.vm_by_id[node_id]
        self.identity = NodeIdentity(
            node_id, incarnation, vm.domain, vm.address, vm.address + "0"
        )
        self.settings = settings
        self.state = state
        self.members = MemberView(self.identity, state, clock)  # type: ignore[arg-type]
        self.entry_discovery = EntryDiscovery(
            self.identity,
            state,  # type: ignore[arg-type]
            self.members,
            TTL_S,
            random.Random(1),
            clock,
        )
        self.heartbeats = Heartbeats(
            self.identity,
            state,  # type: ignore[arg-type]
            self.members,
            self.entry_discovery,
            settings,
            clock,
        )

    def exchange_heartbeat(self, peer: SimulatedNode) -> None:
        """Exchange one heartbeat with a peer."""
        peer_id = peer.identity.node_id
        reply = peer.heartbeats.handle_heartbeat(
            self.heartbeats.build_heartbeat(peer_id)
        )
        self.heartbeats.apply_reply(peer_id, reply)


class SimulatedCluster:
    """Nodes that exchange heartbeats in rounds."""

    def __init__(self, count: int, settings: MembershipSettings | None = None) -> None:
        self.clock = FakeClock()
        self.state = FakeState()
        self.settings = settings or MembershipSettings()
        self.node_by_id: dict[str, SimulatedNode] = {}
        for number in range(count):
            domain = DOMAINS[number % len(DOMAINS)]
            vm_id = f"entry-{number}"
            address = f"10.0.{number // 250}.{number % 250}:8000"
            vm = Vm(vm_id, VmRole.ENTRY, domain, address)
            self.state.vm_by_id[vm_id] = vm
        for vm_id in self.state.vm_by_id:
            self.start(vm_id)

    def start(
        self, node_id: str, incarnation: str = "00661c2d1759d867e3a1117"
    ) -> SimulatedNode:
        node = SimulatedNode(
            node_id, self.state, self.clock, self.settings, incarnation
        )
        self.node_by_id[node_id] = node
        return node

    def run_round(self, *, stopped_ids: frozenset[str] = frozenset()) -> None:
        """Advance by one interval and let each node send its heartbeats."""
        self.clock.now += self.settings.interval_s
        for node_id, node in self.node_by_id.items():
            if node_id in stopped_ids:
                continue
            for peer_id in list_successors(
                node_id,
                self.state.vm_by_id,
                self.settings.fan_out,
                self.settings.far_fan_out,
            ):
                if peer_id not in stopped_ids:
                    node.exchange_heartbeat(self.node_by_id[peer_id])
