"""Reports of servers that ended, sent to the members that combine them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import NEVER
from persimmonlink_router.keepers import choose_keepers
from persimmonlink_router.report_outbox import KeptReports, ReportOutbox, build_key

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from persimmonlink_model.membership import Member
    from persimmonlink_peers.message import Sender
    from persimmonlink_peers.peer_channel import PeerChannel
    from persimmonlink_router.crash_evidence import ServerEnd

REPORT_LIFETIME_S = 60.0  # Reports are also sent to members that keep them later.
MAX_KEPT_REPORTS = 4096  # Reports that are kept for later members, the newest.
# Members that combine the reports, if the cluster has so many.
MIN_KEEPERS = 3
KEEPER_CHECK_INTERVAL_S = 0.5  # Interval of looking for other such members.


class PeerDirectory(Protocol):
    """The members of the cluster, and the channels to them."""

    @property
    def sender(self) -> Sender:
        """Identity of this node in its messages."""
        ...

    def list_serving_members(self) -> list[Member]:
        """Return the live members that serve, sorted by id."""
        ...

    def channel(self, address: str) -> PeerChannel:
        """Return the channel to a peer's address."""
        ...


class CrashReporter:
    """Sends reports to one member of each failure domain, again if one fails.

    Each of these members has all reports of all nodes, so that any of them can tell
    which requests had a cause in common with those under which servers ended. They keep
    the reports of peers, and pass them on to the members that take the place of others.

    Parameters
    ----------
    peers : PeerDirectory
        Members and channels.
    """

    def __init__(self, peers: PeerDirectory) -> None:
        self._peers = peers
        self._reports = KeptReports()
        self._outbox_by_node_id: dict[str, ReportOutbox] = {}
        self._keeper_ids: tuple[str, ...] = ()
        self._checked_at = NEVER

    @property
    def is_keeper(self) -> bool:
        """Whether this node is one of the members that combine the reports."""
        own_id = self._peers.sender.node_id
        return any(member.node_id == own_id for member in self.list_keepers())

    @property
    def has_unsent(self) -> bool:
        """Whether a member that combines the reports has not got all of them."""
        if not self._reports:
            return False
        outboxes = self._update_outboxes().values()
        return any(outbox.has_unsent for outbox in outboxes)

    def add_ends(self, ends: Sequence[ServerEnd]) -> None:
        """Report ends of servers under requests of this node."""
        for end in ends:
            self._reports.end_by_key.setdefault(build_key(end), end)
        self._discard_excess()
        self.flush()

    def add_served(self, cause_id: str, served_at: float) -> None:
        """Report that a request with a suspect cause was served at a boot time."""
        self._reports.served_at_by_cause[cause_id] = served_at
        self.flush()

    def keep_reports(
        self,
        ends: Sequence[ServerEnd],
        served_at_by_cause: dict[str, float],
        receiver_ids: Collection[str] = (),
    ) -> None:
        """Keep what a peer reported for the other members that combine reports.

        Parameters
        ----------
        ends : sequence of ServerEnd
            Ends of servers.
        served_at_by_cause : dict of str to float
            Boot times at which suspect causes were served, in seconds.
        receiver_ids : collection of str
            Members that have it or get it from the peer; if empty, all that combine
            reports now.
        """
        outboxes = [
            outbox
            for node_id, outbox in self._update_outboxes().items()
            if not receiver_ids or node_id in receiver_ids
        ]
        kept = self._reports
        for end in ends:
            key = build_key(end)
            if key in kept.end_by_key:
                continue
            kept.end_by_key[key] = end
            for outbox in outboxes:
                outbox.mark_end_sent(key)
        for cause_id, served_at in served_at_by_cause.items():
            if kept.served_at_by_cause.get(cause_id, NEVER) >= served_at:
                continue
            kept.served_at_by_cause[cause_id] = served_at
            for outbox in outboxes:
                outbox.mark_served_sent(cause_id, served_at)
        self._discard_excess()
        self.flush()

    def tick(self) -> None:
        """Report to members that have begun to combine the reports."""
        if not self._reports:
            return
        now = boot_time()
        if now - self._checked_at < KEEPER_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        keeper_ids = tuple(member.node_id for member in self.list_keepers())
        if keeper_ids == self._keeper_ids:
            return
        self._keeper_ids = keeper_ids
        self.flush()

    def flush(self) -> None:
        """Send what is unsent."""
        if not self._reports:
            return
        for outbox in self._update_outboxes().values():
            if outbox.has_unsent:
                outbox.send_soon()

    def discard_expired(self, now: float) -> None:
        """Discard the reports that are older than `REPORT_LIFETIME_S`."""
        kept = self._reports
        kept.end_by_key = {
            key: end
            for key, end in kept.end_by_key.items()
            if now - end.ended_at < REPORT_LIFETIME_S
        }
        kept.served_at_by_cause = {
            cause_id: served_at
            for cause_id, served_at in kept.served_at_by_cause.items()
            if now - served_at < REPORT_LIFETIME_S
        }
        for outbox in self._outbox_by_node_id.values():
            outbox.discard_expired()

    def list_keepers(self) -> list[Member]:
        """Return the members that combine the reports, in the same order at all."""
        return choose_keepers(self._peers.list_serving_members(), 1, MIN_KEEPERS)

    def _update_outboxes(self) -> dict[str, ReportOutbox]:
        """Return one outbox for each other member that combines the reports, by id."""
        own_id = self._peers.sender.node_id
        keepers = {m.node_id: m for m in self.list_keepers() if m.node_id != own_id}
        for node_id in self._outbox_by_node_id.keys() - keepers.keys():
            self._outbox_by_node_id.pop(node_id).close()
        for node_id, member in keepers.items():
            if node_id not in self._outbox_by_node_id:
                outbox = ReportOutbox(self._peers, member, self._reports)
                self._outbox_by_node_id[node_id] = outbox
        self._reports.receiver_ids = tuple(keepers)
        return self._outbox_by_node_id

    def _discard_excess(self) -> None:
        while len(self._reports.end_by_key) > MAX_KEPT_REPORTS:
            del self._reports.end_by_key[next(iter(self._reports.end_by_key))]


__all__ = ("CrashReporter", "PeerDirectory")
