"""Builds and handles heartbeats, which carry the cluster's membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_model.membership import Member, MemberReport
from persimmonlink_peers.membership_messages import (
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    compute_checksum,
)
from persimmonlink_peers.message import Sender

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.entry_discovery import EntryDiscovery
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity, NodeState
    from persimmonlink_node.settings import MembershipSettings
    from persimmonlink_peers.peer_server import PeerServer

# Number of messages in which a node repeats each change of another member.
TRANSMISSIONS_PER_UPDATE = 12
# Maximum number of changed members in one message.
MAX_UPDATES_PER_MESSAGE = 8


class Heartbeats:
    """Builds heartbeats and handles those of peers.

    A node sends its description of itself only if the peer's checksum shows that the
    peer holds an outdated one. Digests of third nodes are sent only in clusters so
    large that not all nodes exchange heartbeats with each other.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    state : NodeState
        Source of the VM list, which holds the failure domains of nodes.
    members : MemberView
        Membership view that received descriptions and digests are applied to.
    entry_discovery : EntryDiscovery
        Reports when peers were last advertised to callers.
    settings : MembershipSettings
        Fan-out, and digests per message.
    clock : Clock
        Clock for the ages of advertisements.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        entry_discovery: EntryDiscovery,
        settings: MembershipSettings,
        clock: Clock,
    ) -> None:
        self.sender = Sender(identity.node_id, identity.incarnation)
        self._state = state
        self._members = members
        self._entry_discovery = entry_discovery
        self._settings = settings
        self._clock = clock
        self._known_checksum_by_id: dict[str, int] = {}
        self._next_report_index = 0
        self._transmissions_left_by_id: dict[str, int] = {}

    def register(self, server: PeerServer) -> None:
        """Register the handler of heartbeats."""
        server.register(Heartbeat, HeartbeatReply, self._on_heartbeat)

    def build_heartbeat(self, node_id: str) -> Heartbeat:
        """Build the next heartbeat for a peer."""
        own_member = self._members.describe_self()
        is_known = self._known_checksum_by_id.get(node_id) == compute_checksum(
            own_member
        )
        return Heartbeat(
            self.sender,
            None if is_known else own_member,
            compute_checksum(self._members.find(node_id)),
            self._choose_digests(),
        )

    def apply_reply(self, node_id: str, reply: HeartbeatReply) -> None:
        """Apply a peer's reply to a heartbeat of this node."""
        self._known_checksum_by_id[node_id] = reply.known_checksum
        member = reply.member or self._members.find(node_id)
        if member is not None:
            self._apply_description(member)
        self._apply_digests(reply.digests)

    async def _on_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Handle a heartbeat that the peer server received."""
        return self.handle_heartbeat(message)

    def handle_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Apply a peer's heartbeat and build the reply; safe for all threads."""
        sender = message.sender
        if message.member is not None:
            self._apply_description(message.member)
        else:
            self._members.refresh_contact(sender.node_id, sender.incarnation)
        self._apply_digests(message.digests)
        own_member = self._members.describe_self()
        is_known = message.known_checksum == compute_checksum(own_member)
        return HeartbeatReply(
            None if is_known else own_member,
            compute_checksum(self._members.find(sender.node_id)),
            self._choose_digests()
            if message.known_checksum
            else self._build_all_digests(),
            self._compute_advertised_age(sender.node_id),
        )

    def _compute_advertised_age(self, node_id: str) -> float | None:
        advertised_at = self._entry_discovery.last_advertised_at(node_id)
        if advertised_at is None:
            return None
        return max(0.0, self._clock.monotonic() - advertised_at)

    def _choose_digests(self) -> tuple[MemberDigest, ...]:
        """Build the digests of a message: changed members first, then others in turn.

        Returns none in a cluster where all nodes exchange heartbeats directly.
        """
        if len(self._state.list_entry_vms()) <= 2 * self._settings.fan_out + 1:
            return ()
        reports = self._members.list_reports()
        report_by_id = {report.member.node_id: report for report in reports}
        chosen: dict[str, MemberReport] = {}
        for node_id in self._pop_updated_ids():
            if node_id in report_by_id:
                chosen[node_id] = report_by_id[node_id]
        while len(chosen) < min(self._settings.digests_per_message, len(reports)):
            self._next_report_index = (self._next_report_index + 1) % len(reports)
            report = reports[self._next_report_index]
            chosen[report.member.node_id] = report
        return tuple(_build_digest(report) for report in chosen.values())

    def _build_all_digests(self) -> tuple[MemberDigest, ...]:
        """Build digests of all live members, for a peer that has just started."""
        if len(self._state.list_entry_vms()) <= 2 * self._settings.fan_out + 1:
            return ()
        return tuple(_build_digest(report) for report in self._members.list_reports())

    def _pop_updated_ids(self) -> list[str]:
        """Return the changed members that were sent least often.

        Each is counted as sent once more, and dropped after `TRANSMISSIONS_PER_UPDATE`
        messages.
        """
        transmissions_left = self._transmissions_left_by_id
        least_sent_ids = sorted(
            transmissions_left, key=lambda node_id: -transmissions_left[node_id]
        )
        chosen = least_sent_ids[:MAX_UPDATES_PER_MESSAGE]
        for node_id in chosen:
            transmissions_left[node_id] -= 1
            if not transmissions_left[node_id]:
                del transmissions_left[node_id]
        return chosen

    def _apply_description(self, member: Member) -> None:
        before = self._members.find(member.node_id)
        self._members.apply_direct_update(member)
        self._queue_if_changed(member.node_id, before)

    def _queue_if_changed(self, node_id: str, before: Member | None) -> None:
        after = self._members.find(node_id)
        if after is None or node_id == self.sender.node_id:
            return
        if before is not None and _disseminated_state(before) == _disseminated_state(
            after
        ):
            return
        self._transmissions_left_by_id[node_id] = TRANSMISSIONS_PER_UPDATE

    def _apply_digests(self, digests: tuple[MemberDigest, ...]) -> None:
        for digest in digests:
            vm = self._state.find_vm(digest.node_id)
            if vm is None:
                continue
            member = Member(
                digest.node_id,
                digest.incarnation,
                vm.domain,
                vm.address,
                digest.peer_address,
                digest.leaving,
            )
            before = self._members.find(digest.node_id)
            self._members.apply_relayed_report(MemberReport(member, digest.age_s))
            self._queue_if_changed(digest.node_id, before)


def _disseminated_state(member: Member) -> tuple[str, bool]:
    return member.incarnation, member.leaving


def _build_digest(report: MemberReport) -> MemberDigest:
    member = report.member
    return MemberDigest(
        member.node_id,
        member.incarnation,
        member.peer_address,
        member.leaving,
        report.age_s,
    )


__all__ = ("Heartbeats",)
