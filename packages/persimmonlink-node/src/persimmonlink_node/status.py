"""Reports the node's status and metrics to operators."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_node.config_watcher import ConfigWatcher
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.node_state import NodeIdentity, NodeState
    from persimmonlink_node.request_service import RequestService
    from persimmonlink_node.service_dispatchers import ServiceDispatchers
    from persimmonlink_node.slot_granter import SlotGranter
    from persimmonlink_node.view_freshness import ViewFreshness


class StatusReporter:
    """Collects the node's status and metrics from its components.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    state : NodeState
        Source of the configuration and the VM list.
    members : MemberView
        Source of the live members.
    dispatchers : ServiceDispatchers
        Source of slots and waiting requests.
    service : RequestService
        Source of the number of running requests.
    metrics : Metrics
        Source of counters and histograms.
    watcher : ConfigWatcher
        Reports whether this node watches the key-value service.
    freshness : ViewFreshness
        Reports how fresh the configuration is.
    granter : SlotGranter
        Reports the pools that this node coordinates.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        dispatchers: ServiceDispatchers,
        service: RequestService,
        metrics: Metrics,
        watcher: ConfigWatcher,
        freshness: ViewFreshness,
        granter: SlotGranter,
    ) -> None:
        self.identity = identity
        self._state = state
        self._members = members
        self._dispatchers = dispatchers
        self._service = service
        self._metrics = metrics
        self._watcher = watcher
        self._freshness = freshness
        self._granter = granter

    def describe(self) -> dict[str, object]:
        """Return the node's status as JSON values."""
        live = {member.node_id for member in self._members.list_live()}
        members = [
            {
                "node_id": vm.vm_id,
                "address": vm.address,
                "domain": vm.domain,
                "state": vm.state.value,
                "live": vm.vm_id in live,
            }
            for vm in self._state.list_entry_vms()
        ]
        return {
            **asdict(self.identity),
            **self._state.describe(),
            "view": self._describe_view(),
            "members": members,
            "services": self._dispatchers.describe(),
            "pools": self._granter.describe(),
            "running_requests": self._service.count_running(),
        }

    def _describe_view(self) -> dict[str, object]:
        key_value_age_s, confirmed_age_s = self._freshness.read_ages()
        return {
            "fresh": self._freshness.is_fresh(),
            "watches_key_value": self._watcher.is_watching,
            "key_value_age_s": key_value_age_s,
            "confirmed_age_s": confirmed_age_s,
        }

    def describe_metrics(self) -> dict[str, object]:
        """Return counters and histograms as JSON values."""
        return self._metrics.to_json()


__all__ = ("StatusReporter",)
