"""When the store was back after an outage, as the nodes that find it tell others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.peer_messages import SharedFacts

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.cluster_view import ClusterView

# Longer than nodes look for the store in turn, and believe what expired meanwhile.
NOTICE_LIFETIME_S = 8.0


class StoreReturns:
    """Tells peers when the store was back, and takes their earlier times.

    Parameters
    ----------
    cluster_view : ClusterView
        Records contact with the store, and what it says of an outage.
    spread : callable
        Passes on the facts that this node knows, at once.
    """

    def __init__(self, cluster_view: ClusterView, spread: Callable[[], None]) -> None:
        self._cluster_view = cluster_view
        cluster_view.subscribe_to_store_returns(spread)

    def collect_facts(self) -> SharedFacts:
        """Return what all nodes must know."""
        returned_at = self._cluster_view.find_store_return()
        if returned_at is None:
            return SharedFacts()
        age_s = max(0.0, boot_time() - returned_at)
        if age_s > NOTICE_LIFETIME_S:
            return SharedFacts()
        return SharedFacts(store_returned_age_s=age_s)

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        """Apply what a peer knows; return whether any of it is news."""
        age_s = facts.store_returned_age_s
        if age_s is None or not 0.0 <= age_s <= NOTICE_LIFETIME_S:
            return False
        if not self._cluster_view.record_store_return(boot_time() - age_s):
            return False
        logger.bind(member=member, age_s=round(age_s, 3)).info("store.returned")
        return True


__all__ = ("StoreReturns",)
