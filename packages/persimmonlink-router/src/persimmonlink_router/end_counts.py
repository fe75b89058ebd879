"""Counts the ends of servers under a possible cause."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.request_fingerprint import (
    is_exact_fingerprint,
    is_fingerprint,
    list_exact_fingerprints,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from persimmonlink_router.crash_evidence import ServerEnd

ENDS_TO_SUSPECT = 2  # Ends from which other nodes are asked for responses.
ENDS_TO_HOLD = 4  # Ends from which a prompt part is held back.
# The same for a whole request. It is rarer than a part, so that fewer servers end for
# other reasons while they run it.
ENDS_TO_HOLD_REQUEST = 3
# More ends are needed with those that something else may have caused.
MORE_DOUBTFUL_ENDS = 2
# Ends closer together count once, because servers that end together have one cause.
MIN_END_SPACING_S = 0.1


def count_ends_to_hold(cause_id: str) -> int:
    """Return the ends from which a cause is held back."""
    return ENDS_TO_HOLD_REQUEST if is_fingerprint(cause_id) else ENDS_TO_HOLD


def has_enough_ends(cause_id: str, ends: Sequence[ServerEnd]) -> bool:
    """Whether so many servers ended that a cause is held back."""
    needed = count_ends_to_hold(cause_id)
    certain = [end for end in ends if not end.is_doubtful]
    if count_independent(cause_id, certain) >= needed:
        return True
    return count_independent(cause_id, ends) >= needed + MORE_DOUBTFUL_ENDS


def is_suspicious(cause_id: str, ends: Sequence[ServerEnd]) -> bool:
    """Whether so many servers ended that responses to a cause matter."""
    return count_independent(cause_id, ends) >= ENDS_TO_SUSPECT


def count_independent(cause_id: str, ends: Sequence[ServerEnd]) -> int:
    """Count the ends that speak against a cause itself.

    Those under one request count once for all that share its account, path and body.
    Nodes of older builds don't tell them apart, so that each of their ends counts.
    """
    if not is_fingerprint(cause_id) or is_exact_fingerprint(cause_id):
        return count_distinct(cause_id, ends)
    exact_ids_by_server: dict[str, set[str]] = {}
    for end in sorted(ends, key=lambda e: e.ended_at):
        exact_ids = list_exact_fingerprints(end.cause_ids)
        if not exact_ids:
            return count_distinct(cause_id, ends)
        exact_ids_by_server.setdefault(end.server, set()).update(exact_ids)
    counted_ids: set[str] = set()
    servers = set()
    for server, server_ids in exact_ids_by_server.items():
        if server_ids & counted_ids:
            continue
        counted_ids |= server_ids
        servers.add(server)
    return count_distinct(cause_id, [end for end in ends if end.server in servers])


def count_distinct(cause_id: str, ends: Iterable[ServerEnd]) -> int:
    """Count the servers that ended, those that ended together once.

    A whole request that was sent to a server after another one had ended under it is
    evidence of its own, however soon that server ended. So it is for each part of its
    prompt, but not other requests with such a part.
    """
    ends_by_server: dict[str, list[ServerEnd]] = {}
    for end in sorted(ends, key=lambda e: e.ended_at):
        ends_by_server.setdefault(end.server, []).append(end)
    count = 0
    counted: list[ServerEnd] | None = None
    for server_ends in ends_by_server.values():
        if counted is not None and not _are_apart(cause_id, counted, server_ends):
            continue
        counted = server_ends
        count += 1
    return count


def _are_apart(
    cause_id: str, first: Sequence[ServerEnd], second: Sequence[ServerEnd]
) -> bool:
    """Whether the end of a server counts beside that of another one before.

    Each has the ends under all requests that the server ran, the first one first.
    """
    if second[0].ended_at - first[0].ended_at >= MIN_END_SPACING_S:
        return True
    if is_fingerprint(cause_id):
        return _is_one_after_another(first[0], second[0])
    return any(
        _have_same_request(one, other) and _is_one_after_another(one, other)
        for one in first
        for other in second
    )


def _have_same_request(first: ServerEnd, second: ServerEnd) -> bool:
    return any(map(is_fingerprint, first.cause_ids & second.cause_ids))


def _is_one_after_another(first: ServerEnd, second: ServerEnd) -> bool:
    """Whether one request was sent after the server of the other one had ended."""
    if first.server in second.apart_from or second.server in first.apart_from:
        return True
    return second.sent_at >= first.ended_at


__all__ = (
    "ENDS_TO_HOLD",
    "ENDS_TO_HOLD_REQUEST",
    "ENDS_TO_SUSPECT",
    "MORE_DOUBTFUL_ENDS",
    "count_distinct",
    "count_ends_to_hold",
    "count_independent",
    "has_enough_ends",
    "is_suspicious",
)
