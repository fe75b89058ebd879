"""Sends reports of servers that ended to one member, again if that fails."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeAlias

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import NEVER, RequestOrigin, ServerEnd
from persimmonlink_router.crash_messages import CrashReport, ReportCrashes
from persimmonlink_router.peer_messages import Acknowledgement

if TYPE_CHECKING:
    from persimmonlink_model.membership import Member
    from persimmonlink_peers.message import Sender
    from persimmonlink_peers.peer_channel import PeerChannel

REPORT_DELAY_S = 0.02  # Delay in which reports join the same message.
REPORT_TIMEOUT_S = 0.5  # Timeout of a message.
RETRY_PAUSE_S = 0.2  # Pause after a message that failed.
MAX_REPORTS = 256  # Reports in a message, the newest.

EndKey: TypeAlias = "tuple[str, frozenset[str]]"


class Channels(Protocol):
    """Identity of this node in messages, and its channels to peers."""

    @property
    def sender(self) -> Sender:
        """Identity of this node in its messages."""
        ...

    def channel(self, address: str) -> PeerChannel:
        """Return the channel to a peer's address."""
        ...


@dataclass
class KeptReports:
    """What a node knows of servers that ended, and of suspects that were served.

    Parameters
    ----------
    end_by_key : dict of tuple to ServerEnd
        Ends, by server and causes.
    served_at_by_cause : dict of str to float
        Boot times at which suspect causes were served, in seconds.
    receiver_ids : tuple of str
        Members that get all of this from this node.
    """

    end_by_key: dict[EndKey, ServerEnd] = field(default_factory=dict)
    served_at_by_cause: dict[str, float] = field(default_factory=dict)
    receiver_ids: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.end_by_key or self.served_at_by_cause)


class ReportOutbox:
    """Sends one member what it has not got yet, one message at a time.

    Parameters
    ----------
    channels : Channels
        Channels to peers.
    member : Member
        Member that gets the reports.
    reports : KeptReports
        What is reported.
    """

    def __init__(
        self, channels: Channels, member: Member, reports: KeptReports
    ) -> None:
        self._channels = channels
        self._member = member
        self._reports = reports
        self._sent_keys: set[EndKey] = set()
        self._sent_served_at_by_cause: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._retry: asyncio.TimerHandle | None = None

    @property
    def has_unsent(self) -> bool:
        """Whether the member has not got everything."""
        return bool(self._list_unsent_keys() or self._collect_unsent_served())

    def mark_end_sent(self, key: EndKey) -> None:
        """Remember that the member gets an end from another node."""
        self._sent_keys.add(key)

    def mark_served_sent(self, cause_id: str, served_at: float) -> None:
        """Remember that the member gets the time of a response from another node."""
        self._sent_served_at_by_cause[cause_id] = served_at

    def send_soon(self) -> None:
        """Send what is unsent, unless that is being done."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send_all())

    def close(self) -> None:
        """Send nothing more after a failure."""
        if self._retry is not None:
            self._retry.cancel()

    def discard_expired(self) -> None:
        """Forget about reports that are no longer kept."""
        self._sent_keys &= self._reports.end_by_key.keys()

    async def _send_all(self) -> None:
        await asyncio.sleep(REPORT_DELAY_S)
        while self.has_unsent:
            if not await self._send():
                self.close()
                loop = asyncio.get_running_loop()
                self._retry = loop.call_later(RETRY_PAUSE_S, self.send_soon)
                return

    async def _send(self) -> bool:
        """Send a message; return whether the member has got it."""
        now = boot_time()
        keys = self._list_unsent_keys()[-MAX_REPORTS:]
        served = self._collect_unsent_served()
        message = ReportCrashes(
            self._channels.sender,
            tuple(build_report(self._reports.end_by_key[key], now) for key in keys),
            {cause_id: now - served_at for cause_id, served_at in served.items()},
            self._reports.receiver_ids,
        )
        channel = self._channels.channel(self._member.peer_address)
        reply = await channel.call(message, Acknowledgement, REPORT_TIMEOUT_S)
        if isinstance(reply, Err):
            logger.bind(member=self._member.node_id, reports=len(keys)).info(
                "prompt.report_failed"
            )
            return False
        self._sent_keys.update(keys)
        self._sent_served_at_by_cause.update(served)
        return True

    def _list_unsent_keys(self) -> list[EndKey]:
        return [key for key in self._reports.end_by_key if key not in self._sent_keys]

    def _collect_unsent_served(self) -> dict[str, float]:
        return {
            cause_id: served_at
            for cause_id, served_at in self._reports.served_at_by_cause.items()
            if self._sent_served_at_by_cause.get(cause_id) != served_at
        }


def build_key(end: ServerEnd) -> EndKey:
    """Return what reports of the same end have in common."""
    return end.server, end.cause_ids


def build_report(end: ServerEnd, now: float) -> CrashReport:
    """Return an end as a message to peers."""
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
        tuple(sorted(end.apart_from)),
    )


def read_report(report: CrashReport, now: float) -> ServerEnd:
    """Return the end that a peer reports."""
    return ServerEnd(
        report.server,
        frozenset(report.part_ids),
        now - max(0.0, report.age_s),
        NEVER if report.sent_age_s is None else now - max(0.0, report.sent_age_s),
        report.software,
        RequestOrigin(report.account, report.path),
        report.is_doubtful,
        frozenset(report.apart_from),
    )


__all__ = ("KeptReports", "ReportOutbox", "build_key", "build_report", "read_report")
