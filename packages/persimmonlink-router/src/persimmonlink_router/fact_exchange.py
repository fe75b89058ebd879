"""Passes on what a node learns to all nodes, at once and again with heartbeats."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.peer_messages import SharedFacts, ShareFacts

if TYPE_CHECKING:
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.peer_messages import (
        HoldNotice,
        LimitNotice,
        ReachNotice,
    )

SPREAD_DELAY_S = 0.02  # Delay in which facts join the same message.
SPREAD_TIMEOUT_S = 0.5  # Timeout of a message; heartbeats repeat what is lost.


class FactHolder(Protocol):
    """Knows facts that all nodes must know."""

    def collect_facts(self) -> SharedFacts:
        """Return what all nodes must know."""
        ...

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        """Apply what a peer knows; return whether any of it is news."""
        ...


class FactExchange:
    """Sends facts to the peers that get heartbeats; each passes news on to its own.

    Parameters
    ----------
    membership : ClusterMembership
        Members and channels to them.
    """

    def __init__(self, membership: ClusterMembership) -> None:
        self._membership = membership
        self._holders: list[FactHolder] = []
        self._task: asyncio.Task[None] | None = None
        self._is_changed = False

    @property
    def has_unsent(self) -> bool:
        """Whether news is being sent."""
        return self._task is not None and not self._task.done()

    def attach(self, holder: FactHolder) -> None:
        """Add a part that knows facts of some kind."""
        self._holders.append(holder)

    def collect(self) -> SharedFacts:
        """Return what all nodes must know."""
        holds: list[HoldNotice] = []
        suspect_left_s_by_part: dict[str, float] = {}
        limits: list[LimitNotice] = []
        unreached: list[ReachNotice] = []
        brittle: list[LimitNotice] = []
        store_returned_age_s: float | None = None
        for holder in self._holders:
            facts = _collect(holder)
            holds += facts.holds
            suspect_left_s_by_part |= facts.suspect_left_s_by_part
            limits += facts.limits
            unreached += facts.unreached
            brittle += facts.brittle
            if facts.store_returned_age_s is not None:
                store_returned_age_s = facts.store_returned_age_s
        return SharedFacts(
            tuple(holds),
            suspect_left_s_by_part,
            tuple(limits),
            tuple(unreached),
            tuple(brittle),
            store_returned_age_s,
        )

    def apply(self, facts: SharedFacts, member: str) -> None:
        """Apply what a peer knows, and pass on what is news."""
        is_news = False
        for holder in self._holders:
            is_news |= _apply(holder, facts, member)
        if is_news:
            self.spread()

    def spread(self) -> None:
        """Send what this node knows to its peers soon."""
        self._is_changed = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send())

    async def handle_share(self, message: ShareFacts) -> SharedFacts:
        """Apply a peer's facts and reply with this node's."""
        self.apply(message.facts, message.sender.node_id)
        return self.collect()

    async def _send(self) -> None:
        while self._is_changed:
            await asyncio.sleep(SPREAD_DELAY_S)
            self._is_changed = False
            message = ShareFacts(self._membership.sender, self.collect())
            targets = self._membership.choose_heartbeat_targets()
            await asyncio.gather(
                *(
                    self._send_to(node_id, address, message)
                    for node_id, address in targets
                )
            )

    async def _send_to(self, node_id: str, address: str, message: ShareFacts) -> None:
        channel = self._membership.channel(address)
        try:
            reply = await channel.call(message, SharedFacts, SPREAD_TIMEOUT_S)
        except Exception:
            # The others get it all the same, and heartbeats repeat it.
            logger.bind(member=node_id, peer=address).exception("facts.send_failed")
            return
        if not isinstance(reply, Err):
            self.apply(reply.unwrap(), node_id)


def _collect(holder: FactHolder) -> SharedFacts:
    """Return what a part knows, nothing after an unexpected error."""
    try:
        return holder.collect_facts()
    except Exception:
        logger.bind(part=type(holder).__name__).exception("facts.collect_failed")
        return SharedFacts()


def _apply(holder: FactHolder, facts: SharedFacts, member: str) -> bool:
    """Tell a part what a peer knows; an unexpected error concerns this part alone."""
    try:
        return holder.apply_facts(facts, member)
    except Exception:
        logger.bind(part=type(holder).__name__, member=member).exception(
            "facts.apply_failed"
        )
        return False


__all__ = ("FactExchange",)
