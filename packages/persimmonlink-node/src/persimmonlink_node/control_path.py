"""Builds and runs the components that track the platform and the peers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_interfaces.clock import SystemClock, ThreadTimerService
from persimmonlink_interfaces.etcd_key_value import EtcdKeyValueStore
from persimmonlink_interfaces.vm_list import HttpVmListReader
from persimmonlink_model.server_directory import VmState
from persimmonlink_node.config_gossip import ConfigGossip
from persimmonlink_node.config_watcher import ConfigWatcher
from persimmonlink_node.control_loop import ControlLoop
from persimmonlink_node.entry_discovery import EntryDiscovery
from persimmonlink_node.heartbeats import Heartbeats
from persimmonlink_node.member_view import MemberView
from persimmonlink_node.metrics import Metrics
from persimmonlink_node.node_state import NodeState, create_identity
from persimmonlink_node.peer_links import PeerLinks
from persimmonlink_node.view_freshness import ViewFreshness
from persimmonlink_peers.peer_server import PeerServer

if TYPE_CHECKING:
    from persimmonlink_model.result_code import ResultCode
    from persimmonlink_node.settings import Settings

START_TIMEOUT_S = 5.0


class ControlPath:
    """Tracks the configuration, the VM list and the membership of the cluster.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.identity = create_identity(settings)
        self.clock = SystemClock()
        self.timers = ThreadTimerService()
        self.loop = ControlLoop()
        self.metrics = Metrics(settings.metrics, settings.node_id)
        self.state = NodeState(self.metrics, settings.schema.max_version)
        self.store = EtcdKeyValueStore(settings.key_value.addresses[0])
        self.peer_server = PeerServer(self._count_invalid_message)
        self.members = MemberView(self.identity, self.state, self.clock)
        self.entry_discovery = EntryDiscovery(
            self.identity,
            self.state,
            self.members,
            settings.entry.ttl_s,
            random.Random(),
            self.clock,
        )
        self.links = self._create_peer_links()
        self.freshness = ViewFreshness(
            self.identity.node_id,
            self.clock,
            lambda: self.state.version,
            self._list_known_ids,
        )
        self.watcher = self._create_watcher()
        self._gossip = self._create_gossip()
        self._vm_list = HttpVmListReader(settings.vm_list.address)

    def start(self) -> None:
        """Start serving peers, and reading the key-value service and the VM list.

        All components that handle peers' messages must be registered before.
        """
        listen = self.settings.listen
        self.loop.start()
        self.loop.run(
            self.peer_server.start(listen.address, listen.peer_port), START_TIMEOUT_S
        )
        self.links.start()
        self._gossip.start()
        self.watcher.start()
        interval_s = self.settings.vm_list.interval_s
        self.timers.every(interval_s, self._read_vm_list, "vm-list")

    def stop(self) -> None:
        """Stop all components."""
        self.watcher.stop()
        self.timers.stop()
        self.loop.run(self.peer_server.stop(), START_TIMEOUT_S)
        self.loop.stop()

    def _create_peer_links(self) -> PeerLinks:
        heartbeats = Heartbeats(
            self.identity,
            self.state,
            self.members,
            self.entry_discovery,
            self.settings.membership,
            self.clock,
        )
        heartbeats.register(self.peer_server)
        return PeerLinks(
            self.identity,
            self.state,
            self.members,
            heartbeats,
            self.settings.membership,
            self.loop,
        )

    def _create_watcher(self) -> ConfigWatcher:
        return ConfigWatcher(
            self.store,
            self.state,
            self.freshness,
            lambda: [member.node_id for member in self.members.list_live()],
            self.settings.configuration.watchers,
            self.metrics,
            self.clock,
            random.Random(),
        )

    def _create_gossip(self) -> ConfigGossip:
        return ConfigGossip(
            self.state,
            self.members,
            self.links,
            self.peer_server,
            self.freshness,
            self.loop,
            self.clock,
            random.Random(),
            self.settings.configuration.exchange_interval_s,
        )

    def _list_known_ids(self) -> set[str]:
        """Return the nodes that may hold newer records, without leaving ones.

        Active members are included, since a node may serve before the VM list shows
        it.
        """
        listed = {
            vm.vm_id for vm in self.state.list_entry_vms() if vm.state is VmState.LIVE
        }
        return listed | {member.node_id for member in self.members.list_active()}

    def _read_vm_list(self) -> None:
        read = self._vm_list.read()
        if isinstance(read, Err):
            failure = read.failure()
            logger.warning("result code {}: {}", failure.code.value, failure.detail)
            self.metrics.count("vm_list_failed")
            return
        self.state.apply_listing(read.unwrap())

    def _count_invalid_message(self, code: ResultCode) -> None:
        self.metrics.count(f"peer_message_refused.{code.value}")


__all__ = ("ControlPath",)
