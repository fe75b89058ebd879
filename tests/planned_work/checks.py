"""Judges a run by what clients, servers and the operator saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from tests.planned_work import sheet
from tests.planned_work.bound_checks import check_bounds
from tests.planned_work.clients import NOT_RUN_STATUSES
from tests.planned_work.finding import Finding
from tests.planned_work.habits import get_response_body
from tests.planned_work.history import NEVER, History

if TYPE_CHECKING:
    from pathlib import Path

    from tests.planned_work.history import Incarnation
    from tests.planned_work.record import Arrival, Attempt, Chain, Record

CUT_ENDS = ("closed", "reset")
MAX_CUT_KEPT = 3  # Requests of kept connections that may be cut at any time.
EXIT_S = 0.5  # Time from the close of its connections to the end of a process.
KILL_LAG_S = 0.05  # Time between the end of a process and its record.
# Headers of a client that reach a server as they are.
KEPT_HEADERS = (
    "Persimmonlink-Request-Id",
    "Persimmonlink-Model",
    "Persimmonlink-Token-Count",
    "Persimmonlink-Prompt-Prefix",
)
LOG_LINES = 8
# No rule is broken by a request that crosses the close of an idle connection at the
# end of a process.
LISTED_ONLY = ("CROSSED AT END",)


class Checker:
    """Checks the rules one after another and collects the findings."""

    def __init__(self, record: Record, folder: Path) -> None:
        self._record = record
        self._folder = folder
        self.history = History(record)
        self._arrivals_by_id: dict[str, list[Arrival]] = defaultdict(list)
        self._pieces_by_id: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in record.arrivals:
            is_batch = arrival.request.target == "/-/stage-run"
            by_id = self._pieces_by_id if is_batch else self._arrivals_by_id
            for request_id in arrival.request_ids:
                by_id[request_id].append(arrival)
        self._attempt_by_id = {a.request_id: a for a in record.attempts}
        self.findings: list[Finding] = []
        self.excused: Counter[str] = Counter()
        self._cut_kept: list[Attempt] = []

    def check(self) -> None:
        """Check all rules."""
        for attempt in self._record.attempts:
            if attempt.end in CUT_ENDS and attempt.sent_last:
                self._check_end(attempt)
            self._check_runs(attempt)
            self._check_response(attempt)
        if len(self._cut_kept) > MAX_CUT_KEPT:
            for attempt in self._cut_kept:
                self._add("LOST", attempt, "cut on a kept connection at any time")
        for chain in self._record.chains:
            if chain.entry.is_stream:
                self._check_stream(chain)
        for arrival in self._record.arrivals:
            self._check_drain(arrival)
            self._check_asked(arrival)
        self.findings += check_bounds(self._record, self.history)
        self._check_logs()

    def _add(self, rule: str, attempt: Attempt, what: str) -> None:
        text = f"{rule} {what}: {self._describe(attempt)}"
        lines = self._find_log_lines(attempt.request_id)
        self.findings.append(Finding(rule, "\n    ".join([text, *lines])))

    def _list_runs(self, attempt: Attempt) -> list[Arrival]:
        """Return the arrivals of a request that no server turned away as another's."""
        arrivals = self._arrivals_by_id[attempt.request_id]
        return [arrival for arrival in arrivals if not arrival.is_misdirected]

    def _check_end(self, attempt: Attempt) -> None:
        """Check that a request that was read ends with a complete response."""
        arrivals = self._list_runs(attempt)
        process = self.history.find_process(attempt.node, attempt.sent_first)
        reason = self._excuse(attempt, arrivals, process)
        if reason:
            self.excused[reason] += 1
            return
        signalled_at, ended_at = process.signalled_at, attempt.ended_at
        is_around_stop = signalled_at <= ended_at <= signalled_at + sheet.GRACE_S + 1.0
        if not arrivals and ended_at - attempt.sent_last <= sheet.LOST_S:
            # At its end a process closes connections that are idle.
            is_at_end = process.ended_at - ended_at < EXIT_S
            kind = "CROSSED AT END" if is_at_end else "CROSSED"
            self._add(kind, attempt, "ended without a response, not passed on")
        elif is_around_stop:
            what = "passed on and cut" if arrivals else "cut after 200 ms"
            self._add("LOST", attempt, f"around SIGTERM, {what}")
        elif self.history.find_reload(attempt):
            what = "passed on and cut" if arrivals else "cut after 200 ms"
            self._add("LOST", attempt, f"beside SIGHUP, {what}")
        elif attempt.is_kept and arrivals and not attempt.status:
            self._cut_kept.append(attempt)
        else:
            self._add_cut_beside_change(attempt)

    def _excuse(
        self, attempt: Attempt, arrivals: list[Arrival], process: Incarnation
    ) -> str:
        """Return why a request may end without a response, or nothing."""
        if process.killed_at <= attempt.ended_at + KILL_LAG_S:
            return "killed node"
        if any(arrival.end.startswith("broke off") for arrival in arrivals):
            return "server broke off"
        deadline_s = int(attempt.headers["Persimmonlink-Deadline-Ms"]) / 1000
        limit_s = min(attempt.entry.timeout_s, deadline_s)
        if attempt.ended_at - attempt.sent_first >= limit_s:
            return "time-out reached"
        last_sixth_at = process.signalled_at + sheet.GRACE_S * 5 / 6
        is_at_work = any(
            arrival.has_run and (arrival.ended_at or NEVER) > last_sixth_at
            for arrival in arrivals
        )
        is_in_time = attempt.sent_first <= process.signalled_at + sheet.STOP_EXCUSE_S
        if is_at_work and is_in_time and attempt.ended_at > last_sixth_at:
            return "at work at the end of the grace"
        return ""

    def _add_cut_beside_change(self, attempt: Attempt) -> None:
        """Add a request that was cut, with the change that came before, if any."""
        what = "at any time"
        for event in self.history.configurations:
            since_s = attempt.ended_at - event.at
            if 0 <= since_s <= sheet.CONFIG_S + 1.0:
                what = f"{since_s:.3f} s after configuration {event.subject}"
        self._add("CUT", attempt, what)

    def _check_runs(self, attempt: Attempt) -> None:
        if attempt.entry.is_repeatable:
            return
        runs = sum(1 for a in self._list_runs(attempt) if a.has_run)
        if runs > 1:
            self._add("TWICE", attempt, f"{runs} runs")
        if runs and attempt.is_complete and attempt.status in NOT_RUN_STATUSES:
            self._add("REFUSED", attempt, f"{runs} runs")

    def _check_response(self, attempt: Attempt) -> None:
        if attempt.end.startswith("malformed"):
            self._add("MIXED", attempt, "bytes that are no response")
            return
        if attempt.status != 200 or not attempt.is_complete:
            if attempt.status in (400, 401, 403, 404, 413, 431):
                self._add("DENIED", attempt, "refused though it is proper")
            return
        seal = attempt.response_headers.get("persimmonlink-response-seal", "")
        if seal != f"seal-{attempt.request_id}":
            self._add("MIXED", attempt, f"seal {seal!r}")
        bodies = [
            get_response_body(attempt.request_id, is_long=is_long)
            for is_long in (False, True)
        ]
        if not attempt.entry.is_stream and bytes(attempt.received) not in bodies:
            self._add("MIXED", attempt, f"body {bytes(attempt.received)[:60]!r}")

    def _check_stream(self, chain: Chain) -> None:
        """Check the events of a request over all its attempts."""
        events: list[tuple[int, str, str]] = []
        for attempt in chain.attempts:
            if attempt.status != 200:
                continue
            try:
                own = attempt.list_events()
            except (ValueError, IndexError):
                self._add("MIXED", attempt, "bytes that are no events")
                continue
            rest = bytes(attempt.received).rpartition(b"\n\n")[2]
            if not rest.startswith(b"id: ") and not b"id: ".startswith(rest):
                self._add("MIXED", attempt, f"{rest[:60]!r} in a stream")
            if rest and attempt.is_complete:
                self._add("ORDER", attempt, "complete inside an event")
            is_resumed = "Last-Event-Id" in attempt.headers
            events = events + own if is_resumed else own
            ids = [event[0] for event in events]
            if ids != list(range(1, len(ids) + 1)):
                self._add("ORDER", attempt, f"events {ids}")
            versions = list(dict.fromkeys(event[1] for event in events))
            if len(versions) > 1:
                self._add("ORDER", attempt, f"joined from versions {versions}")
            if {event[2] for event in events} - {chain.own_part}:
                self._add("ORDER", attempt, "events of another request")
            if attempt.is_complete and len(ids) != chain.event_count:
                what = f"complete with {len(ids)} of {chain.event_count} events"
                self._add("ORDER", attempt, what)

    def _check_drain(self, arrival: Arrival) -> None:
        """Check that no request reaches a server that has long announced its end."""
        left = self.history.find_departure(arrival.server_id, arrival.at)
        if left is None or arrival.is_misdirected or not arrival.request_ids:
            return
        late_s = arrival.at - left.at
        if late_s <= sheet.DRAIN_S:
            return
        if not self.history.is_store_stable(left.at):
            self.excused["late at a server that left in trouble of the store"] += 1
            return
        sender = arrival.senders[0] if arrival.senders else ""
        attempt = self._attempt_by_id.get(arrival.request_ids[0])
        taker = attempt.node if attempt is not None else ""
        nodes = [node for node in (sender, taker) if node]
        if not all(self.history.is_in_touch(node, arrival.at) for node in nodes):
            self.excused["late at a leaving server, by nodes out of touch"] += 1
            return
        text = (
            f"DRAIN {arrival.request.target[:20]} of {arrival.request_ids} reached "
            f"{arrival.server_id} {late_s:.3f} s after it was {left.details}, "
            f"from {sender or 'unknown'}, taken by {taker}"
        )
        lines = self._find_log_lines(arrival.server_id, sender)
        self.findings.append(Finding("DRAIN", "\n    ".join([text, *lines])))

    def _check_asked(self, arrival: Arrival) -> None:
        """Check that a server gets requests as their clients sent them."""
        for request_id in arrival.request_ids:
            attempt = self._attempt_by_id.get(request_id)
            if attempt is None:
                text = f"UNASKED {arrival.server_id}: no client sent {request_id}"
                self.findings.append(Finding("UNASKED", text))
                continue
            if arrival.request.target == "/-/stage-run":
                continue
            seen = arrival.request
            sent = (attempt.entry.method, attempt.path, attempt.body)
            if (seen.method, seen.target, seen.body) != sent:
                self._add("UNASKED", attempt, f"changed for {arrival.server_id}")
            for name in KEPT_HEADERS:
                if seen.headers.get(name.lower()) != attempt.headers.get(name):
                    self._add("UNASKED", attempt, f"{name} changed")
            tenant = seen.headers.get("persimmonlink-tenant", "")
            key = f"Bearer {sheet.KEY_BY_TENANT.get(tenant)}"
            if (
                "authorization" in seen.headers
                or attempt.headers["Authorization"] != key
            ):
                self._add("UNASKED", attempt, f"as {tenant!r}")

    def _check_logs(self) -> None:
        """Check that no node logged an error."""
        for path in sorted(self._folder.glob("front-*.log")):
            with path.open(errors="replace") as log:
                lines = [line for line in log if is_error(line)]
            if lines:
                text = f"ERROR {path.stem}: {len(lines)} lines, first {lines[0][:1500]}"
                self.findings.append(Finding("ERROR", text))

    def _describe(self, attempt: Attempt) -> str:
        process = self.history.find_process(attempt.node, attempt.sent_first)
        zero, name = self._record.began_at, "run's start"
        if process.signalled_at < NEVER:
            zero, name = process.signalled_at, "SIGTERM"

        def tell(at: float) -> str:
            return f"{at - zero:+.3f}" if at else "never"

        runs = [
            f"[{a.server_id}/{a.version} at {tell(a.at)} from "
            f"{a.senders[0] if a.senders else '?'} until {tell(a.ended_at)} "
            f"{a.end or 'unended'}]"
            for a in self._arrivals_by_id[attempt.request_id]
        ]
        pieces = len(self._pieces_by_id[attempt.request_id])
        connection = f"kept, request {attempt.position + 1}, response before began "
        connection += tell(attempt.previous_head_at)
        lag_s = self._record.longest_lag_s(attempt.sent_first, attempt.ended_at)
        failures = self.history.tell_failures(attempt.sent_first, attempt.ended_at)
        return (
            f"{attempt.request_id} {attempt.entry.name} at {attempt.node}, s from "
            f"{name}: sent {tell(attempt.sent_first)}..{tell(attempt.sent_last)} head "
            f"{tell(attempt.head_at)} ended {tell(attempt.ended_at)} {attempt.end}, "
            f"status {attempt.status}, {len(attempt.received)} bytes, connection "
            f"{attempt.connection} ({connection if attempt.is_kept else 'new'}), "
            f"servers {' '.join(runs) or 'none'}, {pieces} calls for pieces, "
            f"process ended {tell(process.ended_at)}, own lag {lag_s:.3f} s, "
            f"failed before: {failures}"
        )

    def _find_log_lines(self, text: str, node: str = "front-") -> list[str]:
        lines = []
        for path in sorted(self._folder.glob(f"{node}*.log")):
            with path.open(errors="replace") as log:
                found = [line.strip() for line in log if text in line]
            lines += [f"{path.stem}: {line}" for line in found[-LOG_LINES:]]
        return lines


def is_error(line: str) -> bool:
    """Whether a line of a node's log tells of an error."""
    return '"level":"ERROR"' in line or "Traceback" in line


def check_all(record: Record, folder: Path) -> tuple[list[Finding], list[str]]:
    """Check a run; return its findings, and notes on what was excused."""
    checker = Checker(record, folder)
    checker.check()
    notes = [f"excused: {reason}: {n}" for reason, n in checker.excused.items()]
    counts = Counter(event.name for event in record.events)
    lag_s = record.longest_lag_s(0.0, NEVER)
    notes.append(f"longest lag of clients and servers: {lag_s:.3f} s")
    notes.append(f"work: {dict(counts)}")
    sent = Counter(
        f"{attempt.entry.name}, {'kept' if attempt.is_kept else 'new'}"
        for attempt in record.attempts
        if attempt.node
        and checker.history.is_stopping(attempt.node, attempt.sent_first)
    )
    notes.append(f"sent to nodes that were stopping: {dict(sent)}")
    notes += [f.text for f in checker.findings if f.rule in LISTED_ONLY]
    return [f for f in checker.findings if f.rule not in LISTED_ONLY], notes
