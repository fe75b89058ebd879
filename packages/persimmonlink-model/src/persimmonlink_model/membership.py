"""The nodes that this node knows of, how it knows, and when they were last heard of."""

from __future__ import annotations

from dataclasses import dataclass, replace

SUSPECT_AFTER_S = 2.0
REPORTED_SUSPECT_AFTER_S = 180.0
FORGET_AFTER_S = 600.0
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
class _Sighting:
    """When a member last spoke, as far as this node can tell."""

    spoke_at: float
    is_direct: bool
    is_unanswering: bool = False


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
        self._sighting_by_id: dict[str, _Sighting] = {}
        self._direct_at_by_id: dict[str, float] = {}
        # These outlive the member, so that no late message brings an old one back.
        self._least_incarnation_by_id: dict[str, str] = {}
        self._left_incarnation_by_id: dict[str, str] = {}

    def hear(self, member: Member, now: float) -> bool:
        """Take in what a member says of itself; return False if it is outdated.

        A node that has left doesn't come back under the same incarnation.
        """
        if not self._take(member, now, is_direct=True):
            return False
        self._direct_at_by_id[member.node_id] = now
        return True

    def hear_report(self, report: MemberReport, now: float) -> bool:
        """Take in what another node passed on; return False if it is no news."""
        member = report.member
        if member.node_id == self.own_id or report.age_s > MAX_REPORT_AGE_S:
            return False
        spoke_at = now - max(0.0, report.age_s)
        known = self.member_by_id.get(member.node_id)
        if known is None or known.incarnation != member.incarnation:
            return self._take(member, spoke_at, is_direct=False)
        # What the node said of itself is more than what others pass on of it.
        member = replace(known, leaving=known.leaving or member.leaving)
        if self._is_news(member.node_id, spoke_at):
            return self._take(member, spoke_at, is_direct=False)
        if member.leaving and not known.leaving:
            # An older word can still be the first to say that the node is leaving.
            self.member_by_id[member.node_id] = self._keep_leaving(member)
            return True
        return False

    def amend(self, member: Member) -> None:
        """Replace what a known member said of itself by what adds to it."""
        if member.node_id in self.member_by_id:
            self.member_by_id[member.node_id] = self._keep_leaving(member)

    def note_unanswering(self, node_id: str, now: float) -> None:
        """Take a member for dead, since it doesn't answer, until it speaks again."""
        sighting = self._sighting_by_id.get(node_id)
        if sighting is None or node_id == self.own_id:
            return
        self._direct_at_by_id.pop(node_id, None)
        self._sighting_by_id[node_id] = replace(
            sighting, spoke_at=now, is_unanswering=True
        )

    def forget_silent(self, now: float) -> None:
        """Forget members that have been silent for long."""
        for node_id, sighting in list(self._sighting_by_id.items()):
            if now - sighting.spoke_at < FORGET_AFTER_S or node_id == self.own_id:
                continue
            del self._sighting_by_id[node_id]
            del self.member_by_id[node_id]
            self._direct_at_by_id.pop(node_id, None)

    def is_live(self, node_id: str, now: float) -> bool:
        """Whether a member was heard of lately; leaving members may be live."""
        if node_id == self.own_id:
            return True
        sighting = self._sighting_by_id.get(node_id)
        if sighting is None or sighting.is_unanswering:
            return False
        limit_s = SUSPECT_AFTER_S if sighting.is_direct else REPORTED_SUSPECT_AFTER_S
        return now - sighting.spoke_at < limit_s

    def is_neighbour(self, node_id: str, now: float) -> bool:
        """Whether a member itself was heard lately, not only reports about it."""
        if node_id == self.own_id:
            return True
        direct_at = self._direct_at_by_id.get(node_id)
        return direct_at is not None and now - direct_at < SUSPECT_AFTER_S

    def list_live(self, now: float) -> list[Member]:
        """Return the live members, leaving ones included, by name."""
        return [
            member
            for node_id, member in sorted(self.member_by_id.items())
            if self.is_live(node_id, now)
        ]

    def list_staying(self, now: float) -> list[Member]:
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
            spoke_at = self._sighting_by_id[member.node_id].spoke_at
            reports.append(MemberReport(member, round(now - spoke_at, 1)))
        return reports

    def last_heard_at(self, node_id: str) -> float | None:
        """Return when a member itself was last heard, or None."""
        return self._direct_at_by_id.get(node_id)

    def list_heard_since(self, since: float) -> list[str]:
        """Return the names of the members that were heard directly since a time."""
        return sorted(
            node_id
            for node_id, heard_at in self._direct_at_by_id.items()
            if heard_at >= since and node_id != self.own_id
        )

    def find(self, node_id: str) -> Member | None:
        """Return a member, live or not, or None."""
        return self.member_by_id.get(node_id)

    def _is_news(self, node_id: str, spoke_at: float) -> bool:
        # A neighbour that fell silent is revived only by what it said well after
        # that, not by what others heard of it about the same time.
        direct_at = self._direct_at_by_id.get(node_id)
        if direct_at is not None:
            return spoke_at > direct_at + SUSPECT_AFTER_S
        return spoke_at > self._sighting_by_id[node_id].spoke_at

    def _take(self, member: Member, spoke_at: float, *, is_direct: bool) -> bool:
        least = self._least_incarnation_by_id.get(member.node_id, "")
        if member.incarnation < least:
            return False
        self._least_incarnation_by_id[member.node_id] = member.incarnation
        self.member_by_id[member.node_id] = self._keep_leaving(member)
        self._sighting_by_id[member.node_id] = _Sighting(spoke_at, is_direct)
        return True

    def _keep_leaving(self, member: Member) -> Member:
        if member.leaving:
            self._left_incarnation_by_id[member.node_id] = member.incarnation
        left = self._left_incarnation_by_id.get(member.node_id) == member.incarnation
        return replace(member, leaving=left)


__all__ = (
    "FORGET_AFTER_S",
    "REPORTED_SUSPECT_AFTER_S",
    "SUSPECT_AFTER_S",
    "Member",
    "MemberReport",
    "Membership",
)
