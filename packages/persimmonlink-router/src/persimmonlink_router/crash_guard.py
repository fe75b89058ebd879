"""Holds back the requests that end servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import (
    ENDS_TO_SUSPECT,
    CrashEvidence,
    ServerEnd,
)
from persimmonlink_router.holds import HOLD_S, Hold, Holds
from persimmonlink_router.own_ends import OwnEnds
from persimmonlink_router.peer_messages import Acknowledgement, SharedFacts
from persimmonlink_router.report_outbox import read_report
from persimmonlink_router.request_fingerprint import is_fingerprint
from persimmonlink_router.served_causes import ServedCauses
from persimmonlink_router.server_runs import ServerRuns
from persimmonlink_router.trial_permits import TrialPermits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from persimmonlink_router.crash_messages import ReportCrashes
    from persimmonlink_router.crash_reports import CrashReporter, PeerDirectory
    from persimmonlink_router.hold_records import HoldRecords
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.peer_messages import HoldNotice
    from persimmonlink_router.server_ends import InterruptedRequest
    from persimmonlink_router.servers import Server
    from persimmonlink_router.store import StoredItem

# A response that has gone on for longer than this didn't end its server.
MAX_CRASH_DELAY_S = 1.0
# A cause that was served so shortly before didn't either.
RECENTLY_SERVED_S = 3.0
# Responses to suspects are reported for this time, and if they are not older.
SUSPICION_S = 20.0
# Responses to a suspect are reported so often; less than the delay of a decision.
REPORT_INTERVAL_S = 0.15
MAX_SUSPECTS = 256  # Suspects that are remembered and passed on, the first ones.
MAX_SERVED_FINGERPRINTS = 8192  # Two of each request, those served last.
MAX_LOGGED_SERVERS = 8  # Most servers that a log line names.


class CrashGuard:
    """Learns from the ends of servers which requests to hold back.

    What may have ended a server is a part of a prompt, or a whole request that comes
    again under other ids.

    Nodes report the ends that they see to some members, which combine them, and each
    decision is passed on to all nodes.

    Parameters
    ----------
    peers : PeerDirectory
        Members of the cluster, and this node.
    reporter : CrashReporter
        Sends reports to the members that combine them.
    records : HoldRecords
        Keeps decisions in the store.
    spread : callable
        Passes on the facts that this node knows, at once.
    metrics : RouterMetrics
        Counts suspicions and decisions.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        reporter: CrashReporter,
        records: HoldRecords,
        spread: Callable[[], None],
        metrics: RouterMetrics,
    ) -> None:
        self._node_id = peers.sender.node_id
        self._reporter = reporter
        self._records = records
        self._spread = spread
        self._metrics = metrics
        self._evidence = CrashEvidence()
        self._served_parts = ServedCauses()
        self._served_requests = ServedCauses(MAX_SERVED_FINGERPRINTS)
        self._cleared = ServedCauses()
        self._runs = ServerRuns()
        self._own_ends = OwnEnds()
        self.holds = Holds()
        self.trials = TrialPermits(peers, reporter, self._needs_trial)
        self._served_in_trial_at: dict[str, float] = {}
        self._suspect_until_by_cause: dict[str, float] = {}
        self._reported_at_by_cause: dict[str, float] = {}

    @property
    def has_unsent(self) -> bool:
        """Whether other nodes or the store have not got what this node has learned."""
        return self._reporter.has_unsent or self._records.has_unsent

    def find_hold(self, cause_ids: Sequence[str]) -> Hold | None:
        """Return the decision that holds a request with these causes back, or None."""
        return self.holds.find(cause_ids, boot_time())

    def list_suspects(self, fingerprints: Sequence[str]) -> list[str]:
        """Return those of a request's fingerprints under which servers have ended.

        The request needs a permit for each of them.
        """
        suspects = [f for f in fingerprints if f in self._suspect_until_by_cause]
        hold = self.find_hold(fingerprints)
        if hold is None:
            return suspects
        return [f for f in fingerprints if f in suspects or f in hold.cause_ids]

    def is_suspect(self, fingerprints: Sequence[str]) -> bool:
        """Whether servers have ended under a request."""
        return bool(self.list_suspects(fingerprints))

    def record_served(self, part_ids: Sequence[str], *fingerprints: str) -> None:
        """Record a complete response to a request."""
        now = boot_time()
        self._served_parts.record(part_ids, now)
        self._served_requests.record(fingerprints, now)
        for cause_id in (*part_ids, *fingerprints):
            is_held = self.holds.is_on(cause_id, now)
            if cause_id not in self._suspect_until_by_cause and not is_held:
                continue
            self._clear(cause_id, now)
            if now - self._reported_at_by_cause.get(cause_id, 0.0) >= REPORT_INTERVAL_S:
                self._reported_at_by_cause[cause_id] = now
                self._reporter.add_served(cause_id, now)

    def record_server_end(
        self,
        server: Server,
        requests: Sequence[InterruptedRequest],
        *,
        is_doubtful: bool = False,
    ) -> None:
        """Record a server that ended, with the requests of this node that it ran.

        If something else may have ended it, only whole requests may be the cause.
        """
        name = self._runs.name_ended_run(server, requests)
        ends = []
        for request in requests:
            if request.response_age_s > MAX_CRASH_DELAY_S:
                continue
            served_since = request.interrupted_at - RECENTLY_SERVED_S
            part_ids = [
                part_id
                for part_id in request.part_ids
                if not is_doubtful
                and not self._served_parts.was_served_since(part_id, served_since)
            ]
            end = ServerEnd(
                name,
                frozenset([*part_ids, *request.fingerprints]),
                request.interrupted_at,
                request.sent_at,
                server.software,
                request.origin,
                is_doubtful,
            )
            ends.append(self._own_ends.add(end))
        if not ends:
            return
        self._record_ends(ends)
        self._reporter.add_ends(ends)

    async def handle_report(self, message: ReportCrashes) -> Acknowledgement:
        """Combine a peer's report with what is known."""
        now = boot_time()
        ends = [read_report(crash, now) for crash in message.crashes]
        served_at_by_cause = {
            cause_id: now - max(0.0, age_s)
            for cause_id, age_s in message.served_age_s_by_part.items()
        }
        receiver_ids = set(message.receiver_ids)
        if receiver_ids:
            receiver_ids.add(message.sender.node_id)
        self._reporter.keep_reports(ends, served_at_by_cause, receiver_ids)
        self._record_ends(ends)
        for cause_id, served_at in served_at_by_cause.items():
            self._clear(cause_id, served_at)
        return Acknowledgement()

    def collect_facts(self) -> SharedFacts:
        """Return what all nodes must know."""
        now = boot_time()
        suspects = {
            cause_id: until - now
            for cause_id, until in self._suspect_until_by_cause.items()
            if until > now
        }
        return SharedFacts(self.holds.build_notices(now), suspects)

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        """Apply what a peer knows; return whether any of it is news."""
        now = boot_time()
        is_news = False
        for notice in facts.holds:
            is_news |= self._apply_notice(notice, member)
        for cause_id, left_s in facts.suspect_left_s_by_part.items():
            if self._extend_suspicion(cause_id, now + min(left_s, SUSPICION_S)):
                is_news = True
                self._report_earlier_response(cause_id, now)
        return is_news

    def _apply_notice(self, notice: HoldNotice, source: str) -> bool:
        """Apply a decision of a peer or the store; return whether it is news."""
        is_own = self.holds.was_decided_by(self._node_id, notice.part_ids)
        hold = self.holds.add_notice(notice, boot_time())
        if hold is None:
            return False
        if hold.is_released:
            self._evidence.forget(hold.cause_ids)
            if is_own:
                # This node may have written its decision later than the release.
                self._records.save(hold)
        self._log_decision("hold_confirmed", hold, source)
        return True

    def release(self, cause_ids: frozenset[str]) -> None:
        """Let requests with these causes go on, by an operator's order."""
        hold = self.holds.release(cause_ids, self._node_id, boot_time())
        self._evidence.forget(cause_ids)
        self._log_decision("hold_released", hold, "operator")
        self._records.save(hold)
        self._spread()

    def apply_store_item(self, item: StoredItem) -> None:
        """Apply a decision that the store keeps."""
        notice = self._records.read(item)
        if notice is not None:
            self._apply_notice(notice, "store")

    def tick(self) -> None:
        """Decide on the evidence, and report it to those that combine it now."""
        self._reporter.tick()
        if self._evidence.has_candidates and self._reporter.is_keeper:
            self._judge(boot_time())

    def sweep(self) -> None:
        """Discard what has expired, and send reports that failed again."""
        now = boot_time()
        for hold in self.holds.remove_expired(now):
            for cause_id in hold.cause_ids:
                self._served_in_trial_at.pop(cause_id, None)
            # One more end is enough to hold the causes back again.
            self._evidence.put_on_probation(hold.cause_ids)
            self._log_decision("hold_ended", hold, "expired")
        self._suspect_until_by_cause = {
            cause_id: until
            for cause_id, until in self._suspect_until_by_cause.items()
            if until > now
        }
        self._reported_at_by_cause = {
            cause_id: reported_at
            for cause_id, reported_at in self._reported_at_by_cause.items()
            if cause_id in self._suspect_until_by_cause
        }
        for cause_id in self._evidence.list_suspects():
            self._extend_suspicion(cause_id, now + SUSPICION_S)
        self._evidence.discard_expired(now)
        self._reporter.discard_expired(now)
        self._reporter.flush()
        self._records.flush()
        on_requests = self.holds.count_on_requests()
        self._metrics.set_gauge("prompt_holds", len(self.holds) - on_requests)
        self._metrics.set_gauge("request_holds", on_requests)

    def _needs_trial(self, cause_id: str) -> bool:
        """Whether servers ended under a request that was not served since."""
        if self._evidence.count_ends(cause_id) >= ENDS_TO_SUSPECT:
            return True
        if self.holds.is_on(cause_id, boot_time()):
            return cause_id not in self._served_in_trial_at
        # The evidence may have gone with other nodes; one response is as good as it.
        served_since = boot_time() - SUSPICION_S
        is_cleared = self._cleared.was_served_since(cause_id, served_since)
        return cause_id in self._suspect_until_by_cause and not is_cleared

    def _judge(self, now: float) -> None:
        for verdict in self._evidence.judge(now):
            versions = verdict.software
            if self.holds.covers(verdict.cause_ids, versions, now):
                continue
            hold = Hold(
                verdict.cause_ids,
                self._node_id,
                now,
                now + HOLD_S,
                len(verdict.servers),
                software=versions,
                origin=verdict.origin,
            )
            self._decide(hold, verdict.servers)

    def _decide(self, hold: Hold, servers: Sequence[str]) -> None:
        """Hold requests back, and let all nodes know."""
        if not self.holds.add(hold):
            return
        shown = servers[-MAX_LOGGED_SERVERS:]
        self._log_decision("held", hold, "own", servers=shown)
        self._records.save(hold)
        self._spread()

    def _record_ends(self, ends: Sequence[ServerEnd]) -> None:
        now = boot_time()
        has_news = False
        for end in ends:
            for cause_id in end.cause_ids:
                if self._served_in_trial_at.get(cause_id, end.ended_at) < end.ended_at:
                    del self._served_in_trial_at[cause_id]
            for cause_id in self._evidence.record_end(end, now):
                has_news = True
                kind = _name_kind([cause_id])
                self._metrics.count(f"{kind}_suspicions_total")
                logger.bind(
                    part=cause_id,
                    ends=self._evidence.count_ends(cause_id),
                    server=end.server,
                    account=end.origin.account,
                    path=end.origin.path,
                    age_s=round(now - end.ended_at, 3),
                ).warning(f"{kind}.suspected")
                self._extend_suspicion(cause_id, now + SUSPICION_S)
                self._report_earlier_response(cause_id, now)
        if has_news:
            self._spread()

    def _extend_suspicion(self, cause_id: str, until: float) -> bool:
        """Remember a suspect until a boot time; return whether it is news."""
        known = self._suspect_until_by_cause.get(cause_id)
        if known is None and len(self._suspect_until_by_cause) >= MAX_SUSPECTS:
            logger.bind(part=cause_id).warning(
                f"{_name_kind([cause_id])}.suspects_full"
            )
            return False
        self._suspect_until_by_cause[cause_id] = max(until, known or 0.0)
        return known is None

    def _report_earlier_response(self, cause_id: str, now: float) -> None:
        """Report the last response to a suspect if it may be later than the ends."""
        served = (
            self._served_requests if is_fingerprint(cause_id) else self._served_parts
        )
        served_at = served.find(cause_id)
        if served_at is None or now - served_at > SUSPICION_S:
            return
        self._clear(cause_id, served_at)
        self._reporter.add_served(cause_id, served_at)

    def _clear(self, cause_id: str, served_at: float) -> None:
        self._cleared.record([cause_id], served_at)
        if self.holds.is_on(cause_id, boot_time()):
            self._served_in_trial_at[cause_id] = served_at
        count = self._evidence.record_served(cause_id, served_at)
        if not count:
            return
        kind = _name_kind([cause_id])
        logger.bind(
            part=cause_id, ends=count, age_s=round(boot_time() - served_at, 3)
        ).info(f"{kind}.cleared")
        self._metrics.count(f"{kind}_clearances_total")

    def _log_decision(
        self, event: str, hold: Hold, source: str, **details: object
    ) -> None:
        now = boot_time()
        kind = _name_kind(hold.cause_ids)
        event = f"{kind}.{event}"
        self._metrics.count(f"{kind}_decisions_total", f'event="{event}"')
        logger.bind(
            parts=sorted(hold.cause_ids),
            account=hold.origin.account,
            path=hold.origin.path,
            software=sorted(hold.software),
            ends=hold.server_ends,
            decided_by=hold.decided_by,
            is_released=hold.is_released,
            age_s=round(now - hold.decided_at, 3),
            left_s=round(hold.ends_at - now, 1),
            source=source,
            **details,
        ).warning(event)


def _name_kind(cause_ids: Iterable[str]) -> str:
    """Return the first word of the log events and metrics on these causes."""
    return "request" if any(map(is_fingerprint, cause_ids)) else "prompt"


__all__ = ("CrashGuard",)
