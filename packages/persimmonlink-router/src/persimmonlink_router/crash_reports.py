"""Reports of servers that ended, sent to the members that combine them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import NEVER, RequestOrigin, ServerEnd
from persimmonlink_router.keepers import choose_keepers
from persimmonlink_router.peer_messages import (
    Acknowledgement,
    CrashReport,
    ReportCrashes,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_model.membership import Member
    from persimmonlink_peers.message import Sender
    from persimmonlink_peers.peer_channel import PeerChannel

REPORT_DELAY_S = 0.02  # Delay in which reports join the same message.
REPORT_TIMEOUT_S = 0.5  # Timeout of a message.
REPORT_LIFETIME_S = 60.0  # Reports are also sent to members that keep them later.
MAX_REPORTS = 256  # Reports in a message, the newest.


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
    which requests had a cause in common with those under which servers ended.

    Parameters
    ----------
    peers : PeerDirectory
        Members and channels.
    """

    def __init__(self, peers: PeerDirectory) -> None:
        self._peers = peers
        self._ends: list[ServerEnd] = []
        self._served_at_by_cause: dict[str, float] = {}
        self._sent_ends_by_node_id: dict[str, set[ServerEnd]] = {}
        self._sent_served_at_by_node_id: dict[str, dict[str, float]] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def is_keeper(self) -> bool:
        """Whether this node is one of the members that combine the reports."""
        own_id = self._peers.sender.node_id
        return any(member.node_id == own_id for member in self.list_keepers())

    def add_ends(self, ends: Sequence[ServerEnd]) -> None:
        """Report ends of servers under requests of this node."""
        self._ends.extend(ends)
        self.flush()

    def add_served(self, cause_id: str, served_at: float) -> None:
        """Report that a request with a suspect cause was served at a boot time."""
        self._served_at_by_cause[cause_id] = served_at
        self.flush()

    def flush(self) -> None:
        """Send what is unsent, unless that is being done."""
        if not self._ends and not self._served_at_by_cause:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send_all())

    def discard_expired(self, now: float) -> None:
        """Discard the reports that are older than `REPORT_LIFETIME_S`."""
        self._ends = [e for e in self._ends if now - e.ended_at < REPORT_LIFETIME_S]
        self._served_at_by_cause = {
            cause_id: served_at
            for cause_id, served_at in self._served_at_by_cause.items()
            if now - served_at < REPORT_LIFETIME_S
        }
        kept = set(self._ends)
        for node_id, sent in list(self._sent_ends_by_node_id.items()):
            self._sent_ends_by_node_id[node_id] = sent & kept

    def list_keepers(self) -> list[Member]:
        """Return the members that combine the reports, in the same order at all."""
        return choose_keepers(self._peers.list_serving_members(), 1)

    async def _send_all(self) -> None:
        await asyncio.sleep(REPORT_DELAY_S)
        own_id = self._peers.sender.node_id
        keepers = [m for m in self.list_keepers() if m.node_id != own_id]
        for sent_by_node_id in (
            self._sent_ends_by_node_id,
            self._sent_served_at_by_node_id,
        ):
            for node_id in set(sent_by_node_id) - {m.node_id for m in keepers}:
                del sent_by_node_id[node_id]
        await asyncio.gather(*(self._send(member) for member in keepers))

    async def _send(self, member: Member) -> None:
        now = boot_time()
        sent = self._sent_ends_by_node_id.setdefault(member.node_id, set())
        sent_served = self._sent_served_at_by_node_id.setdefault(member.node_id, {})
        ends = [end for end in self._ends if end not in sent][-MAX_REPORTS:]
        served = {
            cause_id: served_at
            for cause_id, served_at in self._served_at_by_cause.items()
            if sent_served.get(cause_id) != served_at
        }
        if not ends and not served:
            return
        message = ReportCrashes(
            self._peers.sender,
            tuple(_build_report(end, now) for end in ends),
            {cause_id: now - served_at for cause_id, served_at in served.items()},
        )
        channel = self._peers.channel(member.peer_address)
        reply = await channel.call(message, Acknowledgement, REPORT_TIMEOUT_S)
        if isinstance(reply, Err):
            # The next flush sends them again.
            logger.bind(member=member.node_id, reports=len(ends)).info(
                "prompt.report_failed"
            )
            return
        sent.update(ends)
        sent_served.update(served)


def _build_report(end: ServerEnd, now: float) -> CrashReport:
    is_known = end.sent_at != NEVER
    return CrashReport(
        end.server,
        tuple(end.cause_ids),
        now - end.ended_at,
        now - end.sent_at if is_known else None,
        end.software,
        end.origin.account,
        end.origin.path,
    )


def read_report(report: CrashReport, now: float) -> ServerEnd:
    """Return the end that a peer reports."""
    return ServerEnd(
        report.server,
        frozenset(report.part_ids),
        now - report.age_s,
        NEVER if report.sent_age_s is None else now - report.sent_age_s,
        report.software,
        RequestOrigin(report.account, report.path),
    )


__all__ = ("CrashReporter", "PeerDirectory", "read_report")
