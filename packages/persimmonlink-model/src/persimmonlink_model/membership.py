"""The nodes that this node knows of, how it knows, and when they were last heard of."""

from __future__ import annotations

from dataclasses import dataclass, replace

SUSPECT_AFTER_S = 2.0
REPORTED_SUSPECT_AFTER_S = 180.0
MEMBER_EXPIRY_S = 600.0
MAX_REPORT_AGE_S = 3600.0


@dataclass(frozen=True)
class Member:
    """A node as it describes itself.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : str
        New at each start; later ones sort after earlier ones.
    domain : str
        Failure domain.
    http_address : str
        `IP:PORT` for callers and operators.
    peer_address : str
        `IP:PORT` for peers.
    leaving : bool
        Whether the node is stopping and takes no new callers.
    revision : int
        Revision of its configuration.
    load : float
        Share of its request threads in use.
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
    """What one node passes on about another.

    Parameters
    ----------
    member : Member
        The node that is reported on.
    age_s : float
        Seconds since the node said this of itself.
    """

    member: Member
    age_s: float


@dataclass(frozen=True)
class _Liveness:
    """When a member last spoke, as far as this node can tell."""

    last_seen_at: float
    is_direct: bool
    is_unresponsive: bool = False


class Membership:
    """Members by name, each with the time it was last heard of.

    A node is heard of directly, by its own messages, or by the reports of others.
    Reports take several rounds to arrive, so that a member known only from them is
    suspected later. Guarded by its owner; holds no lock of its own.

    Parameters
    ----------
    own_id : str
        Name of this node, which is always live to itself.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.member_by_id: dict[str, Member] = {}
        self._liveness_by_id: dict[str, _Liveness] = {}
        self._contact_at_by_id: dict[str, float] = {}
        # These outlive the member, so that no late message brings an old one back.
        self._min_incarnation_by_id: dict[str, str] = {}
        self._leaving_incarnation_by_id: dict[str, str] = {}

    def apply_direct_update(self, member: Member, now: float) -> bool:
        """Take in what a member says of itself; return False if it is outdated.

        A node that has left doesn't come back under the same incarnation.
        """
        if not self._apply(member, now, is_direct=True):
            return False
        self._contact_at_by_id[member.node_id] = now
        return True

    def apply_relayed_report(self, report: MemberReport, now: float) -> bool:
        """Take in what another node passed on; return False if it is no news."""
        member = report.member
        if member.node_id == self.own_id or report.age_s > MAX_REPORT_AGE_S:
            return False
        last_seen_at = now - max(0.0, report.age_s)
        known = self.member_by_id.get(member.node_id)
        if known is None or known.incarnation != member.incarnation:
            return self._apply(member, last_seen_at, is_direct=False)
        # What the node said of itself is more than what others pass on of it.
        member = replace(known, leaving=known.leaving or member.leaving)
        if self._is_newer_report(member.node_id, last_seen_at):
            return self._apply(member, last_seen_at, is_direct=False)
        if member.leaving and not known.leaving:
            # An older word can still be the first to say that the node is leaving.
            self.member_by_id[member.node_id] = self._preserve_leaving(member)
            return True
        return False

    def update_description(self, member: Member) -> None:
        """Replace what a known member said of itself by what adds to it."""
        if member.node_id in self.member_by_id:
            self.member_by_id[member.node_id] = self._preserve_leaving(member)

    def mark_unresponsive(self, node_id: str, now: float) -> None:
        """Take a member for dead, since it doesn't answer, until it speaks again."""
        liveness = self._liveness_by_id.get(node_id)
        if liveness is None or node_id == self.own_id:
            return
        self._contact_at_by_id.pop(node_id, None)
        self._liveness_by_id[node_id] = replace(
            liveness, last_seen_at=now, is_unresponsive=True
        )

    def expire_silent(self, now: float) -> None:
        """Forget members that have been silent for long."""
        for node_id, liveness in list(self._liveness_by_id.items()):
            if now - liveness.last_seen_at < MEMBER_EXPIRY_S or node_id == self.own_id:
                continue
            del self._liveness_by_id[node_id]
            del self.member_by_id[node_id]
            self._contact_at_by_id.pop(node_id, None)

    def is_live(self, node_id: str, now: float) -> bool:
        """Whether a member was heard of lately; leaving members may be live."""
        if node_id == self.own_id:
            return True
        liveness = self._liveness_by_id.get(node_id)
        if liveness is None or liveness.is_unresponsive:
            return False
        limit_s = SUSPECT_AFTER_S if liveness.is_direct else REPORTED_SUSPECT_AFTER_S
        return now - liveness.last_seen_at < limit_s

    def is_neighbour(self, node_id: str, now: float) -> bool:
        """Whether a member itself was heard lately, not only reports about it."""
        if node_id == self.own_id:
            return True
        contact_at = self._contact_at_by_id.get(node_id)
        return contact_at is not None and now - contact_at < SUSPECT_AFTER_S

    def list_live(self, now: float) -> list[Member]:
        """Return the live members, leaving ones included, by name."""
        return [
            member
            for node_id, member in sorted(self.member_by_id.items())
            if self.is_live(node_id, now)
        ]

    def list_active(self, now: float) -> list[Member]:
        """Return the live members that are not leaving, by name."""
        return [member for member in self.list_live(now) if not member.leaving]

    def list_neighbours(self, now: float) -> list[Member]:
        """Return the members that were heard directly lately, by name."""
        return [m for m in self.list_live(now) if self.is_neighbour(m.node_id, now)]

    def list_reports(self, now: float) -> list[MemberReport]:
        """Return what this node can pass on: all live members, by name."""
        reports = []
        for member in self.list_live(now):
            if member.node_id == self.own_id:
                continue
            last_seen_at = self._liveness_by_id[member.node_id].last_seen_at
            reports.append(MemberReport(member, round(now - last_seen_at, 1)))
        return reports

    def last_contact_at(self, node_id: str) -> float | None:
        """Return when a member itself was last heard, or None."""
        return self._contact_at_by_id.get(node_id)

    def list_contacted_since(self, since: float) -> list[str]:
        """Return the names of the members that were heard directly since a time."""
        return sorted(
            node_id
            for node_id, contacted_at in self._contact_at_by_id.items()
            if contacted_at >= since and node_id != self.own_id
        )

    def find(self, node_id: str) -> Member | None:
        """Return a member, live or not, or None."""
        return self.member_by_id.get(node_id)

    def _is_newer_report(self, node_id: str, last_seen_at: float) -> bool:
        # A neighbour that fell silent is revived only by what it said well after
        # that, not by what others heard of it about the same time.
        contact_at = self._contact_at_by_id.get(node_id)
        if contact_at is not None:
            return last_seen_at > contact_at + SUSPECT_AFTER_S
        return last_seen_at > self._liveness_by_id[node_id].last_seen_at

    def _apply(self, member: Member, last_seen_at: float, *, is_direct: bool) -> bool:
        min_incarnation = self._min_incarnation_by_id.get(member.node_id, "")
        if member.incarnation < min_incarnation:
            return False
        self._min_incarnation_by_id[member.node_id] = member.incarnation
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
