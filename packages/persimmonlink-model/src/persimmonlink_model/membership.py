"""Membership view of one node: the known members and how recently each was seen."""

from __future__ import annotations

from dataclasses import dataclass, replace

# A member that sends its updates directly is not live after this time of silence.
SUSPECT_AFTER_S = 2.0
# A member known from relayed reports is not live after this time without a newer one;
# reports take several rounds to arrive.
REPORTED_SUSPECT_AFTER_S = 180.0
MEMBER_EXPIRY_S = 600.0  # Silence after which a member is removed from the view.
MAX_REPORT_AGE_S = 3600.0  # Older reports are ignored.


@dataclass(frozen=True)
class Member:
    """Description that a node publishes of itself.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : str
        Changes at each start; later incarnations sort after earlier ones.
    domain : str
        Failure domain.
    http_address : str
        `IP:PORT` that callers and operators connect to.
    peer_address : str
        `IP:PORT` that peers connect to.
    leaving : bool
        Whether the node is stopping and accepts no new callers.
    revision : int
        Revision of its configuration.
    load : float
        Fraction of its request threads in use.
    """

    node_id: str
    incarnation: str
    domain: str
    http_address: str
    peer_address: str
    leaving: bool = False
    revision: int = 0
    load: float = 0.0


@dataclass(frozen=True)
class MemberReport:
    """Description of a member that another node relays.

    Parameters
    ----------
    member : Member
        The member described.
    age_s : float
        Seconds since the member published the description.
    """

    member: Member
    age_s: float


@dataclass(frozen=True)
class _Liveness:
    """When a member was last seen or marked unresponsive, and how this node knows."""

    last_seen_at: float
    is_direct: bool
    is_unresponsive: bool = False


class Membership:
    """Members by name, each with the time at which it was last seen.

    A member is seen directly through its own messages, or indirectly through reports
    that other nodes relay. Reports take several rounds to arrive, so a member known
    only from reports is suspected later.

    Not thread-safe; the owner serializes access.

    Parameters
    ----------
    own_id : str
        Name of this node, which always counts as live in its own view.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.member_by_id: dict[str, Member] = {}
        self._liveness_by_id: dict[str, _Liveness] = {}
        self._contact_at_by_id: dict[str, float] = {}
        # Both are kept after a member expires, so that a delayed message cannot restore
        # an earlier incarnation or one that left.
        self._newest_incarnation_by_id: dict[str, str] = {}
        self._leaving_incarnation_by_id: dict[str, str] = {}

    def apply_direct_update(self, member: Member, now: float) -> bool:
        """Apply a description received from the member itself.

        Returns False if it is of an earlier incarnation than the newest known one. An
        incarnation that has once been leaving stays leaving.
        """
        if not self._apply(member, now, is_direct=True):
            return False
        self._contact_at_by_id[member.node_id] = now
        return True

    def apply_relayed_report(self, report: MemberReport, now: float) -> bool:
        """Apply a report relayed by another node; return False if it changes nothing.

        A report on this node itself or one older than `MAX_REPORT_AGE_S` is ignored.
        """
        member = report.member
        if member.node_id == self.own_id or report.age_s > MAX_REPORT_AGE_S:
            return False
        last_seen_at = now - max(0.0, report.age_s)
        known = self.member_by_id.get(member.node_id)
        if known is None or known.incarnation != member.incarnation:
            return self._apply(member, last_seen_at, is_direct=False)
        # The member's own description is more complete than a relayed one.
        member = replace(known, leaving=known.leaving or member.leaving)
        if self._is_newer_report(member.node_id, last_seen_at):
            return self._apply(member, last_seen_at, is_direct=False)
        if member.leaving and not known.leaving:
            # An older report can still be the first one to show the node as leaving.
            self.member_by_id[member.node_id] = self._preserve_leaving(member)
            return True
        return False

    def update_description(self, member: Member) -> None:
        """Replace a known member's description by a more complete one.

        The time at which the member was last seen does not change.
        """
        if member.node_id in self.member_by_id:
            self.member_by_id[member.node_id] = self._preserve_leaving(member)

    def mark_unresponsive(self, node_id: str, now: float) -> None:
        """Treat a member that does not answer as dead until it is seen again."""
        liveness = self._liveness_by_id.get(node_id)
        if liveness is None or node_id == self.own_id:
            return
        self._contact_at_by_id.pop(node_id, None)
        # Only a message or report newer than this time makes the member live again.
        self._liveness_by_id[node_id] = replace(
            liveness, last_seen_at=now, is_unresponsive=True
        )

    def expire_silent(self, now: float) -> None:
        """Remove the members not seen for `MEMBER_EXPIRY_S`."""
        for node_id, liveness in list(self._liveness_by_id.items()):
            if now - liveness.last_seen_at < MEMBER_EXPIRY_S or node_id == self.own_id:
                continue
            del self._liveness_by_id[node_id]
            del self.member_by_id[node_id]
            self._contact_at_by_id.pop(node_id, None)

    def is_live(self, node_id: str, now: float) -> bool:
        """Whether a member was seen recently; a leaving member may be live."""
        if node_id == self.own_id:
            return True
        liveness = self._liveness_by_id.get(node_id)
        if liveness is None or liveness.is_unresponsive:
            return False
        limit_s = SUSPECT_AFTER_S if liveness.is_direct else REPORTED_SUSPECT_AFTER_S
        return now - liveness.last_seen_at < limit_s

    def is_neighbour(self, node_id: str, now: float) -> bool:
        """Whether a member sent a message to this node within `SUSPECT_AFTER_S`."""
        if node_id == self.own_id:
            return True
        contact_at = self._contact_at_by_id.get(node_id)
        return contact_at is not None and now - contact_at < SUSPECT_AFTER_S

    def list_live(self, now: float) -> list[Member]:
        """Return the live members, leaving ones included, ordered by name."""
        return [
            member
            for node_id, member in sorted(self.member_by_id.items())
            if self.is_live(node_id, now)
        ]

    def list_active(self, now: float) -> list[Member]:
        """Return the live members that are not leaving, ordered by name."""
        return [member for member in self.list_live(now) if not member.leaving]

    def list_neighbours(self, now: float) -> list[Member]:
        """Return the live members that are neighbours, ordered by name."""
        return [m for m in self.list_live(now) if self.is_neighbour(m.node_id, now)]

    def list_reports(self, now: float) -> list[MemberReport]:
        """Return a report on each live member except this node, ordered by name."""
        reports = []
        for member in self.list_live(now):
            if member.node_id == self.own_id:
                continue
            last_seen_at = self._liveness_by_id[member.node_id].last_seen_at
            reports.append(MemberReport(member, round(now - last_seen_at, 1)))
        return reports

    def last_contact_at(self, node_id: str) -> float | None:
        """Return when a member last sent a message to this node, or None."""
        return self._contact_at_by_id.get(node_id)

    def list_contacted_since(self, since: float) -> list[str]:
        """Return the names of the members whose messages arrived since a time."""
        return sorted(
            node_id
            for node_id, contacted_at in self._contact_at_by_id.items()
            if contacted_at >= since and node_id != self.own_id
        )

    def find(self, node_id: str) -> Member | None:
        """Return a member, live or not, or None."""
        return self.member_by_id.get(node_id)

    def _is_newer_report(self, node_id: str, last_seen_at: float) -> bool:
        # A silent neighbour counts as live again only if it was seen well after its
        # last direct message, not if peers merely saw it at about the same time.
        contact_at = self._contact_at_by_id.get(node_id)
        if contact_at is not None:
            return last_seen_at > contact_at + SUSPECT_AFTER_S
        return last_seen_at > self._liveness_by_id[node_id].last_seen_at

    def _apply(self, member: Member, last_seen_at: float, *, is_direct: bool) -> bool:
        newest_incarnation = self._newest_incarnation_by_id.get(member.node_id, "")
        if member.incarnation < newest_incarnation:
            return False
        self._newest_incarnation_by_id[member.node_id] = member.incarnation
        self.member_by_id[member.node_id] = self._preserve_leaving(member)
        self._liveness_by_id[member.node_id] = _Liveness(last_seen_at, is_direct)
        return True

    def _preserve_leaving(self, member: Member) -> Member:
        if member.leaving:
            self._leaving_incarnation_by_id[member.node_id] = member.incarnation
        is_leaving = (
            self._leaving_incarnation_by_id.get(member.node_id) == member.incarnation
        )
        return replace(member, leaving=is_leaving)


__all__ = (
    "MEMBER_EXPIRY_S",
    "REPORTED_SUSPECT_AFTER_S",
    "SUSPECT_AFTER_S",
    "Member",
    "MemberReport",
    "Membership",
)
