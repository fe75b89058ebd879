"""Runs the rollouts at one node: reports, decisions and their writes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec
from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.rendezvous import rank_members
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.rollouts.rollout_decision import RolloutFacts, decide
from persimmonlink_router.rollouts.rollout_messages import (
    ReportRollout,
    RolloutReply,
    RouteEvidence,
)
from persimmonlink_router.rollouts.rollout_records import (
    ROLLOUT_PREFIX,
    RolloutRecord,
    read_rollout_record,
)
from persimmonlink_router.rollouts.rollout_reports import RolloutReports
from persimmonlink_router.store import StoreUnavailableError
from persimmonlink_router.wire_messages import WireFormatError

if TYPE_CHECKING:
    from persimmonlink_model.membership import Member
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.rollouts.rollout_book import Rollout
    from persimmonlink_router.rollouts.rollout_decision import Decision
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.store import MetadataStore, StoredItem
    from persimmonlink_router.store_mirror import StoreMirror

REPORT_INTERVAL_S = 0.5  # Interval of a node's reports in a small cluster.
# Reports a second that a node which decides gets at most.
MAX_REPORTS_PER_S = 200.0
REPORT_TIMEOUT_S = 0.5
DECIDERS = 2  # Nodes that get all reports: one decides, one would take over.
MAX_RECEIVERS = 4  # Nodes that are tried until as many reach the store.
# Reports older than this, in intervals, count as missing.
FRESH_INTERVALS = 3.0
# Multiple of the typical response time in which almost all responses end.
LONGEST_RESPONSE_FACTOR = 3.0
RETRY_S = 0.5  # Pause after a write that the store did not answer.
DECISION_INTERVAL_S = 0.25  # Interval of summing the reports and looking what is due.


class StatusWriter(Protocol):
    """Translates a decision to the status that operators read."""

    def build_rollout_status(self, record: RolloutRecord) -> tuple[str, bytes]:
        """Return key and value of the status of a rollout."""
        ...


class RolloutController:
    """Reports what this node sees of rollouts, and decides if it is its turn.

    All nodes run it. Outcomes go to the first nodes of an order that all share, and
    whoever knows enough may decide: the write is conditional on the revision of the
    record, so that one decision holds, whoever made it.

    Parameters
    ----------
    membership : ClusterMembership
        Members and channels to them.
    cluster_view : ClusterView
        Orders and records, servers, and whether the store answers.
    health : ServerHealth
        Load and response times of the servers.
    store : MetadataStore
        Keeps the records.
    mirror : StoreMirror
        Local copy of the store, which has the revisions of the records.
    status_writer : StatusWriter
        Translates decisions for operators.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        cluster_view: ClusterView,
        health: ServerHealth,
        store: MetadataStore,
        mirror: StoreMirror,
        status_writer: StatusWriter,
    ) -> None:
        self._membership = membership
        self._mirror = mirror
        self._cluster_view = cluster_view
        self._book = cluster_view.rollouts
        self._health = health
        self._store = store
        self._status_writer = status_writer
        self._reports_by_service: dict[str, RolloutReports] = {}
        self._report_due_at = 0.0
        self._write_due_at = 0.0
        self._decision_due_at = 0.0
        self._report_task: asyncio.Task[None] | None = None
        self._write_task: asyncio.Task[None] | None = None

    def apply_store_item(self, item: StoredItem) -> None:
        """Apply a record that was read from the store; malformed ones are logged."""
        try:
            record = read_rollout_record(item)
        except WireFormatError as error:
            logger.bind(key=item.key, revision=item.revision, error=str(error)).warning(
                "store.entry_invalid"
            )
            return
        if record is not None:
            self._book.apply_record(record, item.revision, boot_time())

    def tick(self) -> None:
        """Report and decide what is due."""
        rollouts = self._book.list_active()
        if not rollouts:
            self._reports_by_service.clear()
            return
        now = boot_time()
        is_reporting = self._report_task is not None and not self._report_task.done()
        if now >= self._report_due_at and not is_reporting:
            self._report_due_at = now + self._report_interval_s()
            self._report_task = asyncio.get_running_loop().create_task(
                self._report_all(rollouts)
            )
        is_writing = self._write_task is not None and not self._write_task.done()
        if is_writing or now < max(self._write_due_at, self._decision_due_at):
            return
        self._decision_due_at = now + DECISION_INTERVAL_S
        for rollout in rollouts:
            decision = self._decide(rollout, now)
            if decision is None or not self._cluster_view.is_in_contact:
                continue
            self._write_task = asyncio.get_running_loop().create_task(
                self._write(rollout, decision)
            )
            return

    async def handle_report(self, message: ReportRollout) -> RolloutReply:
        """Take a peer's report, and reply with what this node knows."""
        now = boot_time()
        rollout = self._book.rollout_by_service.get(message.service)
        if rollout is None or rollout.order_revision != message.order_revision:
            return RolloutReply(can_write=False, is_suspended=False, elapsed_s=0.0)
        rollout.raise_elapsed(max(0.0, message.elapsed_s), now)
        self._find_reports(rollout).record(message, now)
        return RolloutReply(
            self._cluster_view.is_in_contact,
            rollout.is_suspended,
            rollout.elapsed_s(now),
        )

    def _decide(self, rollout: Rollout, now: float) -> Decision | None:
        """Return the decision that is due, and act on a bad version at once."""
        service = rollout.order.service
        reports = self._find_reports(rollout)
        reports.record(self._build_report(rollout, now), now)
        finding = rollout.judge.update(reports.sum_counts(), now)
        if finding is not None:
            self._book.suspend(service, f"route {finding.route!r}: {finding.reason}")
        return decide(rollout, self._collect_facts(rollout, reports, now), now)

    def _collect_facts(
        self, rollout: Rollout, reports: RolloutReports, now: float
    ) -> RolloutFacts:
        order = rollout.order
        fresh_since = now - FRESH_INTERVALS * self._report_interval_s()
        members = [member.node_id for member in self._rank_members(order.service)]
        own_id = self._membership.own_member.node_id
        rank = members.index(own_id) if own_id in members else len(members)
        since = max(fresh_since, rollout.shifted_at)
        servers = self._cluster_view.servers
        versions = {
            server.software_version
            for server in servers.server_by_id.values()
            if server.service == order.service
        }
        has_new_servers = any(
            server.software_version == order.version
            for server in servers.list_usable(order.service)
        )
        typical_s = self._health.response_times.median_s(order.service) or 0.0
        return RolloutFacts(
            rank,
            2 * reports.count_fresh(members, fresh_since) > len(members),
            reports.count_fresh(members, since) >= len(members),
            reports.sum_old_in_flight(since),
            tuple(sorted(versions - {order.version})),
            has_new_servers,
            LONGEST_RESPONSE_FACTOR * typical_s,
        )

    def _build_report(self, rollout: Rollout, now: float) -> ReportRollout:
        order = rollout.order
        in_flight = 0
        for server in self._cluster_view.servers.server_by_id.values():
            if server.service != order.service:
                continue
            if server.software_version != order.version:
                in_flight += self._health.in_flight(server.key)
        evidence = tuple(
            RouteEvidence(
                route,
                is_new,
                counts.answered,
                counts.failed,
                dict(counts.count_by_bucket),
                dict(counts.given_up_by_bucket),
            )
            for (route, is_new), counts in rollout.evidence.counts_by_side.items()
        )
        return ReportRollout(
            self._membership.sender,
            order.service,
            rollout.order_revision,
            rollout.elapsed_s(now),
            in_flight,
            evidence,
        )

    async def _report_all(self, rollouts: list[Rollout]) -> None:
        for rollout in rollouts:
            await self._report(rollout)

    async def _report(self, rollout: Rollout) -> None:
        """Report to the first nodes that may decide, at least `DECIDERS` of them."""
        message = self._build_report(rollout, boot_time())
        own_id = self._membership.own_member.node_id
        receivers = 0
        for member in self._rank_members(rollout.order.service)[:MAX_RECEIVERS]:
            if receivers >= DECIDERS:
                return
            if member.node_id == own_id:
                receivers += self._cluster_view.is_in_contact
                continue
            channel = self._membership.channel(member.peer_address)
            reply = await channel.call(message, RolloutReply, REPORT_TIMEOUT_S)
            if isinstance(reply, Err):
                continue
            known = reply.unwrap()
            receivers += known.can_write
            rollout.raise_elapsed(max(0.0, known.elapsed_s), boot_time())
            if known.is_suspended:
                self._book.suspend(
                    rollout.order.service, f"{member.node_id} has suspended it"
                )

    async def _write(self, rollout: Rollout, decision: Decision) -> None:
        """Write a decision; nothing is written if another node was first."""
        now = boot_time()
        order = rollout.order
        reports = self._find_reports(rollout)
        facts = self._collect_facts(rollout, reports, now)
        record = RolloutRecord(
            rollout.order_revision,
            order.service,
            order.version,
            decision.phase,
            round(rollout.elapsed_s(now), 3),
            self._membership.own_member.node_id,
            facts.old_versions,
            decision.fault.value if decision.fault is not None else 0,
            decision.reason,
            tuple(sorted(rollout.banned_versions)),
        )
        key = ROLLOUT_PREFIX + order.service
        status_key, status = self._status_writer.build_rollout_status(record)
        values = {key: msgspec.json.encode(record), status_key: status}
        log = logger.bind(
            service=order.service,
            server_version=order.version,
            phase=decision.phase.value,
            reason=decision.reason,
            code=record.code,
            elapsed_s=record.elapsed_s,
            outcomes=_describe_outcomes(reports),
        )
        try:
            revision = await self._store.put_if_unchanged(
                values, {key: self._find_revision(key)}
            )
        except StoreUnavailableError as error:
            # It may have been written; then the next write changes nothing.
            self._write_due_at = boot_time() + RETRY_S
            log.bind(error=str(error)).info("rollout.decision_not_written")
            return
        if revision is None:
            # The record of the other node arrives with the store's changes.
            self._write_due_at = boot_time() + RETRY_S
            log.info("rollout.decided_elsewhere")
            return
        log.bind(revision=revision).info("rollout.decided")
        self._book.apply_record(record, revision, boot_time())

    def _find_revision(self, key: str) -> int:
        """Return the revision of a key as this node knows it; 0 if it has no value."""
        item = self._mirror.find(key)
        return 0 if item is None or item.value is None else item.revision

    def _find_reports(self, rollout: Rollout) -> RolloutReports:
        service = rollout.order.service
        reports = self._reports_by_service.get(service)
        if reports is None or reports.order_revision != rollout.order_revision:
            reports = RolloutReports(rollout.order_revision)
            self._reports_by_service[service] = reports
        return reports

    def _rank_members(self, service: str) -> list[Member]:
        members = self._membership.list_serving_members()
        return rank_members(members, f"rollout\0{service}")

    def _report_interval_s(self) -> float:
        nodes = self._membership.peak_node_count()
        return max(REPORT_INTERVAL_S, nodes / MAX_REPORTS_PER_S)


def _describe_outcomes(reports: RolloutReports) -> dict[str, str]:
    """Return answered and failed requests by route and side, for the log."""
    return {
        f"{route or 'stages'}:{'new' if is_new else 'old'}": (
            f"{counts.answered}+{counts.failed}"
        )
        for (route, is_new), counts in sorted(reports.sum_counts().items())
    }


__all__ = ("RolloutController", "StatusWriter")
