"""Reports of servers that ended, sent to the members that combine them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, TypeAlias

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
MAX_KEPT_REPORTS = 4096  # Reports that are kept for later members, the newest.
# Members that combine the reports, if the cluster has so many.
MIN_KEEPERS = 3
KEEPER_CHECK_INTERVAL_S = 0.5  # Interval of looking for other such members.

EndKey: TypeAlias = "tuple[str, frozenset[str]]"


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
        self._end_by_key: dict[EndKey, ServerEnd] = {}
        self._served_at_by_cause: dict[str, float] = {}
        self._sent_ends_by_node_id: dict[str, set[EndKey]] = {}
        self._sent_served_at_by_node_id: dict[str, dict[str, float]] = {}
        self._keeper_ids: tuple[str, ...] = ()
        self._checked_at = NEVER
        self._task: asyncio.Task[None] | None = None

    @property
    def is_keeper(self) -> bool:
        """Whether this node is one of the members that combine the reports."""
        own_id = self._peers.sender.node_id
        return any(member.node_id == own_id for member in self.list_keepers())

    def add_ends(self, ends: Sequence[ServerEnd]) -> None:
        """Report ends of servers under requests of this node."""
        for end in ends:
            self._end_by_key.setdefault(_build_key(end), end)
        self._discard_excess()
        self.flush()

    def add_served(self, cause_id: str, served_at: float) -> None:
        """Report that a request with a suspect cause was served at a boot time."""
        self._served_at_by_cause[cause_id] = served_at
        self.flush()

    def keep_reports(
        self, ends: Sequence[ServerEnd], served_at_by_cause: dict[str, float]
    ) -> None:
        """Keep what a peer reported for the members that combine reports later.

        The present ones get it from the peer.
        """
        for end in ends:
            key = _build_key(end)
            if key in self._end_by_key:
                continue
            self._end_by_key[key] = end
            for node_id in self._keeper_ids:
                self._sent_ends_by_node_id.setdefault(node_id, set()).add(key)
        for cause_id, served_at in served_at_by_cause.items():
            if self._served_at_by_cause.get(cause_id, NEVER) >= served_at:
                continue
            self._served_at_by_cause[cause_id] = served_at
            for node_id in self._keeper_ids:
                sent = self._sent_served_at_by_node_id.setdefault(node_id, {})
                sent[cause_id] = served_at
        self._discard_excess()

    def tick(self) -> None:
        """Report to members that have begun to combine the reports."""
        if not self._end_by_key and not self._served_at_by_cause:
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
        """Send what is unsent, unless that is being done."""
        if not self._end_by_key and not self._served_at_by_cause:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send_all())

    def discard_expired(self, now: float) -> None:
        """Discard the reports that are older than `REPORT_LIFETIME_S`."""
        self._end_by_key = {
            key: end
            for key, end in self._end_by_key.items()
            if now - end.ended_at < REPORT_LIFETIME_S
        }
        self._served_at_by_cause = {
            cause_id: served_at
            for cause_id, served_at in self._served_at_by_cause.items()
            if now - served_at < REPORT_LIFETIME_S
        }
        for node_id, sent in list(self._sent_ends_by_node_id.items()):
            self._sent_ends_by_node_id[node_id] = sent & self._end_by_key.keys()

    def list_keepers(self) -> list[Member]:
        """Return the members that combine the reports, in the same order at all."""
        return choose_keepers(self._peers.list_serving_members(), 1, MIN_KEEPERS)

    def _discard_excess(self) -> None:
        while len(self._end_by_key) > MAX_KEPT_REPORTS:
            del self._end_by_key[next(iter(self._end_by_key))]

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
        keys = [key for key in self._end_by_key if key not in sent][-MAX_REPORTS:]
        served = {
            cause_id: served_at
            for cause_id, served_at in self._served_at_by_cause.items()
            if sent_served.get(cause_id) != served_at
        }
        if not keys and not served:
            return
        message = ReportCrashes(
            self._peers.sender,
            tuple(_build_report(self._end_by_key[key], now) for key in keys),
            {cause_id: now - served_at for cause_id, served_at in served.items()},
        )
        channel = self._peers.channel(member.peer_address)
        reply = await channel.call(message, Acknowledgement, REPORT_TIMEOUT_S)
        if isinstance(reply, Err):
            # The next flush sends them again.
            logger.bind(member=member.node_id, reports=len(keys)).info(
                "prompt.report_failed"
            )
            return
        sent.update(keys)
        sent_served.update(served)


def _build_key(end: ServerEnd) -> EndKey:
    """Return what reports of the same end have in common."""
    return end.server, end.cause_ids


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
        end.is_doubtful,
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
        report.is_doubtful,
    )


__all__ = ("CrashReporter", "PeerDirectory", "read_report")
