"""Permits to run requests that servers have ended under, one at a time over all nodes.

Until the fate of such a request is known, a burst of it would end as many servers as it
reaches.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.permit_messages import AskTrial, PermitReply
from persimmonlink_router.shared_rate import PermitDecision

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.crash_reports import CrashReporter, PeerDirectory

# Time after a permit in which its request ends its server, and all nodes learn it.
TRIAL_INTERVAL_S = 1.5
ASK_TIMEOUT_S = 0.2  # Timeout of a question to a member that grants permits.
MAX_CAUSES = 1024  # Requests that are remembered, those that were tried last.


class TrialPermits:
    """Grants permits for requests, at the members that combine the reports of ends.

    All nodes ask the first of these members that replies.

    Parameters
    ----------
    peers : PeerDirectory
        Members and channels.
    reporter : CrashReporter
        Knows which members combine the reports.
    needs_trial : callable
        Whether servers have ended under a request that was not served since.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        reporter: CrashReporter,
        needs_trial: Callable[[str], bool],
    ) -> None:
        self._peers = peers
        self._reporter = reporter
        self._needs_trial = needs_trial
        self._granted_at_by_cause: OrderedDict[str, float] = OrderedDict()

    async def ask(self, cause_id: str) -> PermitDecision:
        """Return whether a request may be sent now, or when to ask again."""
        own_id = self._peers.sender.node_id
        message = AskTrial(self._peers.sender, cause_id)
        for member in self._reporter.list_keepers():
            if member.node_id == own_id:
                return self._decide(cause_id)
            channel = self._peers.channel(member.peer_address)
            reply = await channel.call(message, PermitReply, ASK_TIMEOUT_S)
            if isinstance(reply, Err):
                continue
            permit = reply.unwrap()
            return PermitDecision(permit.is_granted, permit.wait_s)
        return self._decide(cause_id)

    async def hand_over(self) -> None:
        """Have the next member that grants permits count those still in force.

        As this node leaves, that member is asked in its place.
        """
        since = boot_time() - TRIAL_INTERVAL_S
        recent = [
            cause_id
            for cause_id, granted_at in self._granted_at_by_cause.items()
            if granted_at > since
        ]
        await asyncio.gather(*(self.ask(cause_id) for cause_id in recent))

    async def handle_ask(self, message: AskTrial) -> PermitReply:
        """Decide on a peer's question."""
        decision = self._decide(message.cause_id)
        return PermitReply(decision.is_granted, decision.wait_s)

    def _decide(self, cause_id: str) -> PermitDecision:
        if not self._needs_trial(cause_id):
            return PermitDecision(is_granted=True)
        now = boot_time()
        granted_at = self._granted_at_by_cause.get(cause_id)
        if granted_at is not None and now < granted_at + TRIAL_INTERVAL_S:
            wait_s = granted_at + TRIAL_INTERVAL_S - now
            return PermitDecision(is_granted=False, wait_s=wait_s)
        self._granted_at_by_cause[cause_id] = now
        self._granted_at_by_cause.move_to_end(cause_id)
        while len(self._granted_at_by_cause) > MAX_CAUSES:
            self._granted_at_by_cause.popitem(last=False)
        return PermitDecision(is_granted=True)


__all__ = ("TrialPermits",)
