"""Which nodes reach no server of which services, as all nodes tell each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.peer_messages import ReachNotice, SharedFacts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# A node repeats what it doesn't reach with its heartbeats. In a large cluster these
# take several seconds to come round.
NOTICE_LIFETIME_S = 15.0
# Notices of a node are ordered by their times unless they are closer than this, when
# the one that names fewer services counts.
NOTICE_ORDER_GAP_S = 0.1
MAX_NOTICES = 256  # Nodes whose notices are kept.


@dataclass(frozen=True, slots=True)
class _Reading:
    services: frozenset[str]
    said_at: float


class ReachBoard:
    """The newest notice of each node, with the services that it does not reach.

    Parameters
    ----------
    find_own_id : callable
        Returns the name of this node.
    spread : callable
        Passes on the facts that this node knows, at once.
    """

    def __init__(
        self, find_own_id: Callable[[], str], spread: Callable[[], None]
    ) -> None:
        self._find_own_id = find_own_id
        self._spread = spread
        self._own_services: frozenset[str] = frozenset()
        self._reading_by_node: dict[str, _Reading] = {}

    def update_own(self, services: Iterable[str]) -> None:
        """Tell all nodes which services this one does not reach."""
        self._own_services = frozenset(services)
        self._record_own()
        self._spread()

    def lacks(self, node_id: str, service: str) -> bool:
        """Whether a node reaches no server of a service."""
        return service in self.list_lacking(node_id)

    def list_lacking(self, node_id: str) -> frozenset[str]:
        """Return the services that a node does not reach."""
        if node_id == self._find_own_id():
            return self._own_services
        reading = self._reading_by_node.get(node_id)
        if reading is None or boot_time() - reading.said_at > NOTICE_LIFETIME_S:
            return frozenset()
        return reading.services

    def collect_facts(self) -> SharedFacts:
        """Return what all nodes must know."""
        if self._own_services:
            self._record_own()
        now = boot_time()
        return SharedFacts(
            unreached=tuple(
                ReachNotice(
                    node_id, tuple(sorted(reading.services)), now - reading.said_at
                )
                for node_id, reading in self._reading_by_node.items()
                if now - reading.said_at <= NOTICE_LIFETIME_S
            )
        )

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        """Apply what a peer knows; return whether any of it is news."""
        is_news = False
        for notice in facts.unreached:
            is_news |= self._apply_notice(notice, member)
        return is_news

    def _apply_notice(self, notice: ReachNotice, member: str) -> bool:
        if notice.node_id == self._find_own_id() or notice.age_s > NOTICE_LIFETIME_S:
            return False
        services = frozenset(notice.services)
        said_at = boot_time() - max(0.0, notice.age_s)
        known = self._reading_by_node.get(notice.node_id)
        if known is None and len(self._reading_by_node) >= MAX_NOTICES:
            self._discard_expired()
            if len(self._reading_by_node) >= MAX_NOTICES:
                logger.bind(member=notice.node_id).warning("service.notices_full")
                return False
        if known is not None and not _is_newer(services, said_at, known):
            return False
        self._reading_by_node[notice.node_id] = _Reading(services, said_at)
        before = known.services if known is not None else frozenset()
        if services == before:
            return False
        logger.bind(
            member=notice.node_id, services=sorted(services), source=member
        ).info("member.reach_changed")
        return True

    def _record_own(self) -> None:
        self._reading_by_node[self._find_own_id()] = _Reading(
            self._own_services, boot_time()
        )

    def _discard_expired(self) -> None:
        now = boot_time()
        for node_id, reading in list(self._reading_by_node.items()):
            if now - reading.said_at > NOTICE_LIFETIME_S:
                del self._reading_by_node[node_id]


def _is_newer(services: frozenset[str], said_at: float, known: _Reading) -> bool:
    gap_s = said_at - known.said_at
    if services < known.services:
        return gap_s > -NOTICE_ORDER_GAP_S
    return gap_s > NOTICE_ORDER_GAP_S


__all__ = ("ReachBoard",)
