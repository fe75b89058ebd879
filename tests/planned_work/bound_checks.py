"""Judges counts and shares that the rules bound: BUDGET, GONE, CONFIG and DRAIN."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from tests.planned_work.finding import Finding
from tests.planned_work.history import NEVER

if TYPE_CHECKING:
    from tests.planned_work.history import History
    from tests.planned_work.record import Arrival, Attempt, Record

GONE_S = 0.5  # Time after a client left by which its request is over.
MAX_LATE_SENDS = 3  # Requests that may reach a server later than that.
MAX_GONE_SHARE = 0.25
MAX_OVER_ATTEMPTS = 3  # Requests that may run more often than their route allows.
DEADLINE_SLACK_S = 0.5
MAX_LONG_DEADLINES = 20
MAX_LONG_DEADLINE_SHARE = 0.2
MIN_UNANSWERED = 8  # Requests that outlast their timeout of which a share is judged.
MAX_UNANSWERED_SHARE = 0.25
MAX_STALE_ANSWERS = 3
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACK = 52
MIN_READY_IN_STOP = 2


def check_bounds(record: Record, history: History) -> list[Finding]:
    """Check all bounds; return what broke one."""
    arrivals_by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        if arrival.is_misdirected or arrival.request.target == "/-/stage-run":
            continue
        for request_id in arrival.request_ids:
            arrivals_by_id[request_id].append(arrival)
    return [
        *_check_gone(record, history, arrivals_by_id),
        *_check_attempts(record, arrivals_by_id),
        *_check_deadlines(record, arrivals_by_id),
        *_check_retries(record),
        *_check_timeouts(record, history),
        *_check_directory(record, history),
        *_check_readiness(record, history),
    ]


def _check_gone(
    record: Record, history: History, arrivals_by_id: dict[str, list[Arrival]]
) -> list[Finding]:
    """Check that requests end soon after their clients have left."""
    late: list[str] = []
    at_work: list[str] = []
    ended = 0
    for attempt, arrival in _list_left(record, history, arrivals_by_id):
        over_at = attempt.ended_at + GONE_S
        text = (
            f"{attempt.request_id} {attempt.entry.name} at {arrival.server_id}, "
            f"{arrival.at - over_at:+.3f}..{arrival.ended_at - over_at:+.3f} s "
            f"{arrival.end}"
        )
        if arrival.at > over_at:
            late.append(text)
        if not attempt.entry.is_repeatable or not arrival.has_run:
            continue
        if history.is_silent(arrival.server_id, attempt.ended_at, over_at):
            continue  # The close has not reached it.
        # Servers and clients share a process, whose own pauses come on top.
        lag_s = record.longest_lag_s(attempt.ended_at, arrival.ended_at or NEVER)
        if not arrival.ended_at or arrival.ended_at > over_at + lag_s:
            at_work.append(text)
        elif arrival.end == "caller left":
            ended += 1
    findings = []
    if len(late) > MAX_LATE_SENDS:
        findings.append(Finding("GONE", f"GONE {len(late)} sent late: {late[:5]}"))
    if len(at_work) > max(MAX_LATE_SENDS, MAX_GONE_SHARE * (ended + len(at_work))):
        text = f"GONE {len(at_work)} at work long after their client left, {ended} not"
        findings.append(Finding("GONE", f"{text}: {at_work}"))
    return findings


def _list_left(
    record: Record, history: History, arrivals_by_id: dict[str, list[Arrival]]
) -> list[tuple[Attempt, Arrival]]:
    """Return the arrivals of requests whose clients left nodes in touch."""
    return [
        (attempt, arrival)
        for attempt in record.attempts
        if attempt.end == "gave up" and attempt.sent_last
        for arrival in arrivals_by_id[attempt.request_id]
        if history.is_in_touch(attempt.node, attempt.ended_at + GONE_S)
    ]


def _check_attempts(
    record: Record, arrivals_by_id: dict[str, list[Arrival]]
) -> list[Finding]:
    """Check that requests run at no more servers than their route allows."""
    over = []
    for attempt in record.attempts:
        runs = [
            arrival
            for arrival in arrivals_by_id[attempt.request_id]
            if arrival.has_run and not arrival.end.startswith("broke off")
        ]
        if len(runs) > attempt.entry.attempts:
            over.append(f"{attempt.request_id} {attempt.entry.name}: {len(runs)}")
    if len(over) <= MAX_OVER_ATTEMPTS:
        return []
    return [Finding("BUDGET", f"BUDGET over the route's attempts: {over}")]


def _check_deadlines(
    record: Record, arrivals_by_id: dict[str, list[Arrival]]
) -> list[Finding]:
    """Check that servers are handed no more time than is left."""
    over, passed_on = [], 0
    for attempt in record.attempts:
        if attempt.entry.is_stream or not arrivals_by_id[attempt.request_id]:
            continue
        passed_on += 1
        if _is_handed_too_long(attempt, arrivals_by_id[attempt.request_id]):
            over.append(f"{attempt.request_id} {attempt.entry.name}")
    bound = max(MAX_LONG_DEADLINES, MAX_LONG_DEADLINE_SHARE * passed_on)
    if len(over) <= bound:
        return []
    text = f"BUDGET {len(over)} of {passed_on} handed too much time: {over[:5]}"
    return [Finding("BUDGET", text)]


def _is_handed_too_long(attempt: Attempt, arrivals: list[Arrival]) -> bool:
    own_s = int(attempt.headers["Persimmonlink-Deadline-Ms"]) / 1000
    ends_at = []
    for arrival in arrivals:
        text = arrival.request.headers.get("persimmonlink-deadline-ms")
        if text is None or int(text) / 1000 > own_s + DEADLINE_SLACK_S:
            return True
        ends_at.append(arrival.at + int(text) / 1000)
    latest = max(ends_at[0], attempt.sent_first + own_s) + DEADLINE_SLACK_S
    return any(
        end_at > latest and arrival.at > arrivals[0].at + DEADLINE_SLACK_S
        for arrival, end_at in zip(arrivals, ends_at, strict=True)
    )


def _check_retries(record: Record) -> list[Finding]:
    """Check the arrivals beyond the first of each request in all windows."""
    seen: set[tuple[str, str]] = set()
    repeats_by_service: dict[str, list[float]] = defaultdict(list)
    sent_by_service: dict[str, list[float]] = defaultdict(list)
    for attempt in record.attempts:
        if attempt.sent_first:
            sent_by_service[attempt.entry.service].append(attempt.sent_first)
    for arrival in sorted(record.arrivals, key=lambda arrival: arrival.at):
        if arrival.request.target == "/-/stage-run":
            continue
        for request_id in arrival.request_ids:
            if (arrival.service, request_id) in seen:
                repeats_by_service[arrival.service].append(arrival.at)
            seen.add((arrival.service, request_id))
    findings = []
    for service, repeats in repeats_by_service.items():
        sent = sorted(sent_by_service[service])
        for position, at in enumerate(repeats):
            count = position + 1 - bisect_left(repeats, at - RETRY_WINDOW_S)
            requests = max(
                _count_between(sent, at - RETRY_WINDOW_S * (1 + back), RETRY_WINDOW_S)
                for back in (0.0, 0.5, 1.0)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                text = f"BUDGET {count} repeats for {requests} requests of {service}"
                findings.append(Finding("BUDGET", text))
                break
    return findings


def _count_between(times: list[float], since: float, length_s: float) -> int:
    return bisect_right(times, since + length_s) - bisect_left(times, since)


def _check_timeouts(record: Record, history: History) -> list[Finding]:
    """Check that requests which outlast their route's timeout get an answer then."""
    unanswered: list[str] = []
    answered = 0
    for attempt in record.attempts:
        deadline_s = int(attempt.headers.get("Persimmonlink-Deadline-Ms", "0")) / 1000
        timeout_s = attempt.entry.timeout_s
        if not attempt.sent_last or deadline_s < timeout_s + DEADLINE_SLACK_S:
            continue
        over_at = attempt.sent_last + timeout_s
        if attempt.ended_at <= over_at:
            continue
        if not history.is_in_touch(attempt.node, over_at + DEADLINE_SLACK_S):
            continue
        # The pauses of the clients' own process come on top.
        lag_s = record.longest_lag_s(attempt.sent_last, attempt.ended_at)
        if attempt.ended_at > over_at + DEADLINE_SLACK_S + lag_s:
            unanswered.append(f"{attempt.request_id} {attempt.entry.name}")
        else:
            answered += 1
    if len(unanswered) < MIN_UNANSWERED:
        return []
    if len(unanswered) <= MAX_UNANSWERED_SHARE * (answered + len(unanswered)):
        return []
    text = f"CONFIG {len(unanswered)} unanswered after their timeout, {answered} not"
    return [Finding("CONFIG", f"{text}: {unanswered}")]


def _check_directory(record: Record, history: History) -> list[Finding]:
    """Check that directories name no node that has long ended."""
    stale = []
    for answer in record.directory_answers:
        if not history.is_in_touch(answer.node, answer.at):
            continue
        if not any(history.is_running(name, answer.at) for name in answer.named):
            continue
        ended = [n for n in answer.named if history.has_long_ended(n, answer.at)]
        if ended:
            stale.append(f"{answer.node} names {ended}")
    if len(stale) <= MAX_STALE_ANSWERS:
        return []
    counts = Counter(stale).most_common(5)
    return [Finding("DRAIN", f"DRAIN directories name ended nodes: {counts}")]


def _check_readiness(record: Record, history: History) -> list[Finding]:
    """Check that nodes which stop are no longer ready after some seconds."""
    ready = [e for e in record.events if e.name == "ready in its stop"]
    if len(ready) < MIN_READY_IN_STOP:
        return []
    names = [event.subject for event in ready]
    return [Finding("DRAIN", f"DRAIN still ready 4 s after SIGTERM: {names}")]
