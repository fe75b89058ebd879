"""What nodes tell each other in heartbeats and their replies."""

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
    from persimmonlink_node.address_book import AddressBook
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.node_state import NodeIdentity, NodeState
    from persimmonlink_node.settings import MembershipSettings
    from persimmonlink_peers.peer_server import PeerServer

# Times that a node passes on what is new about another.
NEWS_SENDS = 12
# Most members in a message that something is new about.
MAX_NEWS = 8


class Heartbeats:
    """Makes heartbeats and answers those of peers.

    A node's description of itself is sent only when the peer's checksum shows that it
    knows another one, and what is known of third nodes only when there are more nodes
    than hear each other directly.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    state : NodeState
        The VM list, which holds the failure domains of nodes.
    members : MemberView
        Told what is heard.
    addresses : AddressBook
        Remembers which nodes were named to callers.
    settings : MembershipSettings
        Fan-out and digests a message.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        state: NodeState,
        members: MemberView,
        addresses: AddressBook,
        settings: MembershipSettings,
        clock: Clock,
    ) -> None:
        self.sender = Sender(identity.node_id, identity.incarnation)
        self._state = state
        self._members = members
        self._addresses = addresses
        self._settings = settings
        self._clock = clock
        self._known_checksum_by_id: dict[str, int] = {}
        self._next_report = 0
        self._news_sends_left_by_id: dict[str, int] = {}

    def register(self, server: PeerServer) -> None:
        """Serve heartbeats."""
        server.register(Heartbeat, HeartbeatReply, self.answer)

    def make(self, node_id: str) -> Heartbeat:
        """Return the next heartbeat for a peer."""
        own = self._members.describe_self()
        is_known = self._known_checksum_by_id.get(node_id) == compute_checksum(own)
        return Heartbeat(
            self.sender,
            None if is_known else own,
            compute_checksum(self._members.find(node_id)),
            self._choose_digests(),
        )

    def take_reply(self, node_id: str, reply: HeartbeatReply) -> None:
        """Take in a peer's reply to a heartbeat."""
        self._known_checksum_by_id[node_id] = reply.known_checksum
        member = reply.member or self._members.find(node_id)
        if member is not None:
            self._hear(member)
        self._take_digests(reply.digests)

    async def answer(self, message: Heartbeat) -> HeartbeatReply:
        """Take in a peer's heartbeat and reply to it."""
        return self.answer_now(message)

    def answer_now(self, message: Heartbeat) -> HeartbeatReply:
        """Take in a peer's heartbeat and reply to it; may be called on any thread."""
        sender = message.sender
        if message.member is not None:
            self._hear(message.member)
        else:
            self._members.hear_again(sender.node_id, sender.incarnation)
        self._take_digests(message.digests)
        own = self._members.describe_self()
        is_known = message.known_checksum == compute_checksum(own)
        return HeartbeatReply(
            None if is_known else own,
            compute_checksum(self._members.find(sender.node_id)),
            self._choose_digests() if message.known_checksum else self._list_digests(),
            self._find_named_age(sender.node_id),
        )

    def _find_named_age(self, node_id: str) -> float | None:
        named_at = self._addresses.last_named_at(node_id)
        if named_at is None:
            return None
        return max(0.0, self._clock.monotonic() - named_at)

    def _choose_digests(self) -> tuple[MemberDigest, ...]:
        """Return news first, then members in turn, if not all hear each other."""
        if len(self._state.list_entry_vms()) <= 2 * self._settings.fan_out + 1:
            return ()
        reports = self._members.list_reports()
        report_by_id = {report.member.node_id: report for report in reports}
        chosen: dict[str, MemberReport] = {}
        for node_id in self._take_news():
            if node_id in report_by_id:
                chosen[node_id] = report_by_id[node_id]
        while len(chosen) < min(self._settings.digests_per_message, len(reports)):
            self._next_report = (self._next_report + 1) % len(reports)
            report = reports[self._next_report]
            chosen[report.member.node_id] = report
        return tuple(_digest(report) for report in chosen.values())

    def _list_digests(self) -> tuple[MemberDigest, ...]:
        """Return all that is known, for a peer that has just started."""
        if len(self._state.list_entry_vms()) <= 2 * self._settings.fan_out + 1:
            return ()
        return tuple(_digest(report) for report in self._members.list_reports())

    def _take_news(self) -> list[str]:
        """Return the members whose news were sent least."""
        left = self._news_sends_left_by_id
        newest = sorted(left, key=lambda node_id: -left[node_id])
        chosen = newest[:MAX_NEWS]
        for node_id in chosen:
            left[node_id] -= 1
            if not left[node_id]:
                del left[node_id]
        return chosen

    def _hear(self, member: Member) -> None:
        before = self._members.find(member.node_id)
        self._members.hear(member)
        self._note_news(member.node_id, before)

    def _note_news(self, node_id: str, before: Member | None) -> None:
        after = self._members.find(node_id)
        if after is None or node_id == self.sender.node_id:
            return
        if before is not None and _state_of(before) == _state_of(after):
            return
        self._news_sends_left_by_id[node_id] = NEWS_SENDS

    def _take_digests(self, digests: tuple[MemberDigest, ...]) -> None:
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
            self._members.hear_report(MemberReport(member, digest.age_s))
            self._note_news(digest.node_id, before)


def _state_of(member: Member) -> tuple[str, bool]:
    return member.incarnation, member.leaving


def _digest(report: MemberReport) -> MemberDigest:
    member = report.member
    return MemberDigest(
        member.node_id,
        member.incarnation,
        member.peer_address,
        member.leaving,
        report.age_s,
    )


__all__ = ("Heartbeats",)
