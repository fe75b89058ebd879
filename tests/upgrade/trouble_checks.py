"""Checks of the users' rules on trouble: fatal requests, limits and cut nodes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tests.router.rig import PLAIN_SERVICE, STAGE_SERVICE, STREAM_SERVICE
from tests.upgrade.exchange import FATAL_BODY, FATAL_PART_ID
from tests.upgrade.run_view import CONTACT_S, is_begun

if TYPE_CHECKING:
    from tests.upgrade.run_view import RunView
    from tests.upgrade.timeline import Timeline

# The users' bounds.
CRASHES_BEFORE_BOUND = 5
MAX_LATER_REQUESTS = 3
LIMIT_WINDOW_S = 4.0
MIN_SHARE_OF_OTHERS = 2 / 3
MAX_FAILURES = 10
MAX_FAILED_SHARE = 1 / 50


def check_trouble(view: RunView, timeline: Timeline) -> list[str]:
    """Return what breaks BUDGET, LIMIT or RECOVER; note what was seen."""
    return [
        *_check_fatal(view, timeline, STREAM_SERVICE),
        *_check_fatal(view, timeline, PLAIN_SERVICE),
        *_check_limits(view, timeline),
        *_check_brittle(view, timeline),
        *_check_cut_nodes(view, timeline),
    ]


def _check_fatal(view: RunView, timeline: Timeline, service: str) -> list[str]:
    """Check BUDGET on requests that end servers."""
    runs = []
    for server in view.deployment.list_servers(service):
        for run in server.runs:
            if FATAL_PART_ID in run.part_ids or run.body == FATAL_BODY:
                runs.append(run)
    runs.sort(key=lambda run: run.started_at)
    bound = CRASHES_BEFORE_BOUND if service == STREAM_SERVICE else 3
    timeline.note(f"fatal requests that reached {service}: {len(runs)}")
    if len(runs) < bound:
        return []
    attempt_by_id = view.attempt_by_id
    from_at = runs[bound - 1].started_at + CONTACT_S
    late = Counter(
        attempt_by_id[run.request_id].build
        for run in runs
        if run.started_at > from_at
        and run.request_id in attempt_by_id
        and view.is_in_touch(attempt_by_id[run.request_id], run.started_at)
    )
    text = f"late fatal requests of {service}: {dict(late)}"
    if not view.deployment.old_holds_back:
        # The older build sends them all; the newer one can't help.
        del late[view.deployment.old.name]
    if late.total() <= MAX_LATER_REQUESTS:
        timeline.note(text)
        return []
    return [f"BUDGET: {text}"]


def _check_limits(view: RunView, timeline: Timeline) -> list[str]:
    findings = []
    for limit in timeline.limits:
        server = view.deployment.server_by_id[limit.server_id]
        times = [
            run.started_at
            for run in server.runs
            if limit.named_at + CONTACT_S < run.started_at < limit.ended_at
        ]
        allowed = 1.5 * limit.rate_per_s * LIMIT_WINDOW_S + 5
        most = max(
            (
                sum(1 for at in times if start <= at < start + LIMIT_WINDOW_S)
                for start in times
            ),
            default=0,
        )
        timeline.note(f"limit {limit.rate_per_s}: {most} in 4 s")
        if most > allowed:
            findings.append(f"LIMIT: {most} of {allowed} at {limit.server_id}")
    return findings


def _check_brittle(view: RunView, timeline: Timeline) -> list[str]:
    findings = []
    for brittle in timeline.brittle_times:
        servers = view.deployment.list_servers(STAGE_SERVICE)
        falls = sum(
            1
            for server in servers
            for at in server.fell_at
            if brittle.named_at + CONTACT_S < at < brittle.ended_at
        )
        timeline.note(f"falls of brittle servers: {falls}")
        if falls > 2 + len(servers) / 10:
            findings.append(f"LIMIT: {falls} falls of brittle servers")
    return findings


def _check_cut_nodes(view: RunView, timeline: Timeline) -> list[str]:
    """Check RECOVER, and that both builds had their requests served by peers."""
    findings = []
    new = view.deployment.new.name
    for cut in timeline.cuts:
        during = [
            attempt
            for attempt in view.attempts
            if cut.began_at + CONTACT_S < attempt.sent_at < cut.ended_at
            and not attempt.is_fatal
            # The servers of stages are brittle, and refuse at all nodes.
            and not attempt.kind.has_stages
        ]
        at_cut = [each for each in during if each.node in cut.nodes]
        others = [each for each in during if each.node not in cut.nodes]
        if not view.deployment.old_passes_on:
            # The older build refuses what it can't send; the newer one can't help.
            at_cut = [each for each in at_cut if each.build == new]
        for each in at_cut:
            if not is_begun(each):
                timeline.note(f"failed at a cut node: {view.describe(each)}")
        failed = sum(1 for each in at_cut if not is_begun(each))
        share = 1 - failed / max(1, len(at_cut))
        share_of_others = sum(map(is_begun, others)) / max(1, len(others))
        timeline.note(
            f"cut nodes {cut.nodes}: {share:.2f} of {len(at_cut)}, "
            f"others {share_of_others:.2f} of {len(others)}"
        )
        allowed = MAX_FAILURES + MAX_FAILED_SHARE * len(during)
        is_worse = share < MIN_SHARE_OF_OTHERS * share_of_others
        if is_worse and failed > allowed:
            findings.append(f"RECOVER: {failed} failed at cut nodes {cut.nodes}")
        for index in cut.nodes:
            node = view.deployment.nodes[index]
            if any(each.relayed for each in node.incarnations):
                continue
            text = f"nothing was passed on by {node.name}"
            if view.deployment.old_passes_on or index in cut.newer_nodes:
                findings.append(text)
            else:
                timeline.note(f"older build: {text}")
    return findings


__all__ = ("check_trouble",)
