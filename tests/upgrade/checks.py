"""Checks of the users' rules on what clients, servers and the store have seen."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from tests.upgrade.deployment import EVENT_COUNT
from tests.upgrade.exchange import NOT_RUN
from tests.upgrade.run_view import CONTACT_S, RunView, is_begun
from tests.upgrade.trouble_checks import check_trouble

if TYPE_CHECKING:
    from tests.upgrade.clients import CutLookup
    from tests.upgrade.deployment import Deployment
    from tests.upgrade.exchange import Attempt
    from tests.upgrade.timeline import Timeline

# The users' bounds.
DRAIN_S = 2.0
LOST_S = 0.2
GRACE_S = 8.0
PLANNED_S = GRACE_S + 1.0  # Time from SIGTERM in which an end counts as planned work.
MAX_STREAMS_OF_TWO_VERSIONS = 2
MIN_SERVED_SHARE = 0.9  # Outside unplanned trouble.
MIN_REQUESTS = 20  # Requests from which a share is judged.


class Checker:
    """Compares the records of clients, servers and the store with the rules.

    Parameters
    ----------
    deployment : Deployment
        Nodes, servers and the store.
    attempts : list of Attempt
        What clients sent and got, in order.
    cut_lookups : list of CutLookup
        Directory responses that were cut.
    timeline : Timeline
        What was done when.
    """

    def __init__(
        self,
        deployment: Deployment,
        attempts: list[Attempt],
        cut_lookups: list[CutLookup],
        timeline: Timeline,
    ) -> None:
        self._deployment = deployment
        self._attempts = attempts
        self._timeline = timeline
        self._cut_lookups = cut_lookups
        self._view = RunView(deployment, attempts, timeline.began_at)

    def list_findings(self) -> list[str]:
        """Return what breaks a rule."""
        findings = []
        for attempt in self._attempts:
            findings += self._check_attempt(attempt)
        findings += self._check_versions()
        findings += self._check_stops()
        findings += self._check_exits()
        findings += self._check_drains()
        findings += check_trouble(self._view, self._timeline)
        findings += self._check_share()
        findings += self._check_steady()
        findings += self._check_lookups()
        return findings + self._timeline.findings

    def _check_attempt(self, attempt: Attempt) -> list[str]:
        """Check TWICE, REFUSED, MIXED and ORDER on one attempt."""
        runs = self._view.runs_by_id[attempt.request_id]
        found = []
        if not attempt.kind.is_repeatable:
            if len(runs) > 1:
                found.append(f"TWICE: {self._view.describe(attempt)}")
            if attempt.status in NOT_RUN and runs:
                found.append(f"REFUSED: {self._view.describe(attempt)}")
        if attempt.status in (400, 401, 403, 404):
            found.append(f"DENIED: {self._view.describe(attempt)}")
        if attempt.status == 200:
            found += self._check_response(attempt)
        return found

    def _check_response(self, attempt: Attempt) -> list[str]:
        """Check MIXED and ORDER on a response that a server gave."""
        found = []
        seal = attempt.headers.get("persimmonlink-response-seal")
        has_run = bool(self._view.runs_by_id[attempt.request_id])
        if seal != f"seal-{attempt.request_id}" or not has_run:
            found.append(f"MIXED: seal {seal}: {self._view.describe(attempt)}")
        if not attempt.kind.is_stream:
            whole = f"answer to {attempt.request_id}".encode()
            if attempt.end == "complete" and bytes(attempt.received) != whole:
                found.append(
                    f"MIXED: {attempt.received!r}: {self._view.describe(attempt)}"
                )
            return found
        ids = [event_id for event_id, _ in attempt.list_events()]
        expected = list(range(attempt.first_event, EVENT_COUNT + 1))
        if attempt.end != "complete":
            expected = expected[: len(ids)]
        if ids != expected:
            found.append(f"ORDER: events {ids}: {self._view.describe(attempt)}")
        return found

    def _check_versions(self) -> list[str]:
        versions_by_stream = defaultdict(set)
        for attempt in self._attempts:
            if attempt.status == 200 and attempt.kind.is_stream:
                stream = attempt.resumes or attempt.request_id
                versions = {version for _, version in attempt.list_events()}
                versions_by_stream[stream] |= versions
        mixed = [name for name, each in versions_by_stream.items() if len(each) > 1]
        if len(mixed) <= MAX_STREAMS_OF_TWO_VERSIONS:
            self._timeline.note(f"streams of two versions: {mixed}")
            return []
        return [f"ORDER: streams of two versions: {mixed}"]

    def _check_stops(self) -> list[str]:
        """Check LOST around the SIGTERMs of the newer build; note those of the older.

        What the older build does as it stops can't be changed any more.
        """
        findings = []
        for attempt in self._attempts:
            incarnation = self._view.find_incarnation(attempt)
            if incarnation is None or incarnation.terminated_at is None:
                continue
            since_stop_s = attempt.ended_at - incarnation.terminated_at
            if not 0 <= since_stop_s <= PLANNED_S or attempt.end != "broke off":
                continue
            if self._timeline.is_troubled(attempt.sent_at, attempt.ended_at):
                continue
            is_passed_on = bool(self._view.runs_by_id[attempt.request_id])
            if is_passed_on or attempt.ended_at - attempt.sent_last > LOST_S:
                text = f"LOST: {since_stop_s:.2f} s: {self._view.describe(attempt)}"
                if incarnation.build == self._deployment.new.name:
                    findings.append(text)
                else:
                    self._timeline.note(f"older build: {text}")
        return findings

    def _check_exits(self) -> list[str]:
        """Check that stopped nodes of the newer build ended by themselves, in time."""
        findings = []
        for node in self._deployment.nodes:
            for incarnation in node.incarnations:
                if incarnation.terminated_at is None or not incarnation.exit_code:
                    continue
                text = f"{incarnation.log_path.name} ended with {incarnation.exit_code}"
                if incarnation.build == self._deployment.new.name:
                    findings.append(text)
                else:
                    self._timeline.note(f"older build: {text}")
        return findings

    def _check_drains(self) -> list[str]:
        findings = []
        attempt_by_id = self._view.attempt_by_id
        for server_id, drained_at in self._timeline.drained_at_by_server.items():
            server = self._deployment.server_by_id[server_id]
            arrivals = [(run.started_at, run.request_id) for run in server.runs]
            arrivals += [(at, item["id"]) for at, item in server.piece_log]
            for at, request_id in arrivals:
                if at <= drained_at + DRAIN_S:
                    continue
                attempt = attempt_by_id.get(request_id)
                if attempt is None or not self._view.is_in_touch(attempt, at):
                    continue
                text = f"{at - drained_at:.2f} s: {self._view.describe(attempt)}"
                findings.append(f"DRAIN: {server_id} {text}")
        return findings

    def _check_share(self) -> list[str]:
        findings = []
        served: Counter[str] = Counter()
        sent: Counter[str] = Counter()
        for attempt in self._attempts:
            if attempt.is_fatal:
                continue
            if self._timeline.is_troubled(attempt.sent_at, attempt.ended_at):
                continue
            build = attempt.build or "that the client did not reach"
            for group in ("all", attempt.kind.prefix, f"build {build}"):
                sent[group] += 1
                served[group] += is_begun(attempt)
        for group, count in sorted(sent.items()):
            share = served[group] / count
            self._timeline.note(f"served of {group}: {share:.3f} of {count}")
            if share < MIN_SERVED_SHARE and count >= MIN_REQUESTS:
                findings.append(f"served of {group}: {share:.3f} of {count}")
        return findings

    def _check_steady(self) -> list[str]:
        """Check that all requests are served once all nodes have the newer build."""
        findings = []
        for from_at, to_at in self._timeline.steady_spans:
            sent = [
                each
                for each in self._attempts
                if from_at < each.sent_at < to_at and not each.is_fatal
            ]
            failed = []
            for attempt in sent:
                if is_begun(attempt):
                    continue
                if self._view.crossed_idle_close(attempt):
                    text = self._view.describe(attempt)
                    self._timeline.note(f"crossed a close: {text}")
                    continue
                failed.append(attempt)
            self._timeline.note(f"steady: {len(failed)} of {len(sent)} not served")
            if len(sent) < MIN_REQUESTS:
                findings.append(f"steady: only {len(sent)} requests")
            findings += [f"steady: {self._view.describe(each)}" for each in failed]
        return findings

    def _check_lookups(self) -> list[str]:
        """Check that nodes of the newer build end the directory responses they begin.

        A node that is killed can't.
        """
        findings = []
        for lookup in self._cut_lookups:
            if self._timeline.is_troubled(lookup.at - CONTACT_S, lookup.at):
                continue
            text = f"LOST: directory response of {lookup.node.name} was cut"
            incarnation = lookup.node.find_incarnation(lookup.at)
            if incarnation.build == self._deployment.new.name:
                findings.append(text)
            else:
                self._timeline.note(f"older build: {text}")
        return findings


__all__ = ("Checker",)
