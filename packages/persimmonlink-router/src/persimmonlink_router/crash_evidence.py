"""Decides what ends the servers that run it.

A possible cause is what several requests have in common, such as a part of their
prompts. One that ends every server which begins to answer it is never served. So only
the ends since the last response to a request with it count, and one response clears
it, however many servers ended for other reasons while they ran it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.end_counts import (
    ENDS_TO_HOLD,
    ENDS_TO_HOLD_REQUEST,
    ENDS_TO_SUSPECT,
    MORE_DOUBTFUL_ENDS,
    count_ends_to_hold,
    count_independent,
    has_enough_ends,
    is_suspicious,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time in which responses that clear a cause may arrive from other nodes.
HOLD_DELAY_S = 0.4
EVIDENCE_LIFETIME_S = 3600.0  # Older ends are forgotten.
MAX_CAUSES = 8000  # Causes with evidence; those with the oldest evidence are forgotten.
MAX_ENDS_PER_CAUSE = 32  # Ends that are kept for a cause, the newest.
NEVER = float("-inf")  # Time of what has not happened.


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """What operators are told of a request that may end servers.

    Parameters
    ----------
    account : str
        Name of the client account, empty if none or unknown.
    path : str
        Path, empty if unknown.
    """

    account: str = ""
    path: str = ""


UNKNOWN_ORIGIN = RequestOrigin()


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """A server that ended soon after it got a request.

    Parameters
    ----------
    server : str
        Incarnation of the server.
    cause_ids : frozenset of str
        What of the request may be the cause.
    ended_at : float
        Boot time of the end, in seconds.
    sent_at : float
        Boot time at which the request was sent, in seconds.
    software : str
        Service and software version of the server, empty if unknown.
    origin : RequestOrigin
        Where the request came from.
    is_doubtful : bool
        Whether something else may have ended the server.
    apart_from : frozenset of str
        Servers of other requests with a common cause that one node saw end either
        before it sent this one, or so that it sent them after this end.
    """

    server: str
    cause_ids: frozenset[str]
    ended_at: float
    sent_at: float = NEVER
    software: str = ""
    origin: RequestOrigin = UNKNOWN_ORIGIN
    is_doubtful: bool = False
    apart_from: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Verdict:
    """A set of causes that ended servers, and the servers.

    Parameters
    ----------
    cause_ids : frozenset of str
        Causes that all requests had in common under which the servers ended, without
        those that were served meanwhile.
    servers : tuple of str
        Incarnations that ended, the first one first.
    software : frozenset of str
        Their services and software versions.
    origin : RequestOrigin
        Where the last of the requests came from.
    """

    cause_ids: frozenset[str]
    servers: tuple[str, ...]
    software: frozenset[str] = frozenset()
    origin: RequestOrigin = UNKNOWN_ORIGIN


class CrashEvidence:
    """Ends of servers by the causes that ran on them, and responses since."""

    def __init__(self) -> None:
        self._ends_by_cause: dict[str, list[ServerEnd]] = {}
        self._served_at_by_cause: dict[str, float] = {}
        self._reached_at_by_cause: dict[str, float] = {}

    def record_end(self, end: ServerEnd, now: float) -> list[str]:
        """Record an end; return the causes that it makes suspects."""
        suspects = []
        for cause_id in end.cause_ids:
            if self._served_at_by_cause.get(cause_id, NEVER) > end.ended_at:
                continue
            ends = self._ends_by_cause.pop(cause_id, [])
            self._ends_by_cause[cause_id] = ends
            if any(
                e.server == end.server and e.cause_ids == end.cause_ids for e in ends
            ):
                continue
            was_suspicious = is_suspicious(cause_id, ends)
            ends.append(end)
            del ends[:-MAX_ENDS_PER_CAUSE]
            if not was_suspicious and is_suspicious(cause_id, ends):
                suspects.append(cause_id)
            if has_enough_ends(cause_id, ends):
                self._reached_at_by_cause.setdefault(cause_id, now)
        self._discard_excess()
        return suspects

    def record_served(self, cause_id: str, served_at: float) -> int:
        """Record a response to a request with a cause; return the ends it voids.

        The time is that of the complete response, a boot time in seconds.
        """
        if cause_id not in self._ends_by_cause:
            return 0
        known_at = self._served_at_by_cause.get(cause_id, NEVER)
        self._served_at_by_cause[cause_id] = max(known_at, served_at)
        ends = self._ends_by_cause[cause_id]
        kept = [end for end in ends if end.ended_at > served_at]
        self._ends_by_cause[cause_id] = kept
        if not has_enough_ends(cause_id, kept):
            self._reached_at_by_cause.pop(cause_id, None)
        return len(ends) - len(kept)

    def count_ends(self, cause_id: str) -> int:
        """Return the ends of servers since a cause was served, as they count."""
        return count_independent(cause_id, self._ends_by_cause.get(cause_id, ()))

    def list_suspects(self) -> list[str]:
        """Return the causes with so many ends that responses to them matter."""
        return [
            cause_id
            for cause_id, ends in self._ends_by_cause.items()
            if len(ends) >= ENDS_TO_SUSPECT and is_suspicious(cause_id, ends)
        ]

    @property
    def has_candidates(self) -> bool:
        """Whether any cause has ended enough servers."""
        return bool(self._reached_at_by_cause)

    def judge(self, now: float) -> list[Verdict]:
        """Return the sets of causes that have ended enough servers.

        A cause that was seen with another one each time is only accused together with
        it, until either of them is served or ends a server without the other. A cause
        is not accused for the ends under a rarer one.
        """
        verdicts = []
        for cause_id, reached_at in self._reached_at_by_cause.items():
            if now - reached_at < HOLD_DELAY_S or self._is_explained(cause_id):
                continue
            ends = self._ends_by_cause[cause_id]
            common = frozenset.intersection(*(end.cause_ids for end in ends))
            first_at = min(end.ended_at for end in ends)
            cause_ids = {
                other
                for other in common
                if other == cause_id
                or self._served_at_by_cause.get(other, NEVER) < first_at
            }
            servers = tuple(dict.fromkeys(end.server for end in ends))
            versions = frozenset(end.software for end in ends)
            verdicts.append(
                Verdict(frozenset(cause_ids), servers, versions, ends[-1].origin)
            )
        return verdicts

    def _is_explained(self, cause_id: str) -> bool:
        """Whether a rarer cause that is accused was on all these servers that ended.

        Two rarer causes together don't explain the ends, or else a cause that always
        comes with one of many others would never be accused.
        """
        ends = self._ends_by_cause[cause_id]
        for other in self._reached_at_by_cause:
            others = self._ends_by_cause[other]
            if len(others) >= len(ends):
                continue
            if {end.server for end in ends} <= {end.server for end in others}:
                return True
        return False

    def forget(self, cause_ids: Iterable[str]) -> None:
        """Discard the evidence against causes."""
        for cause_id in cause_ids:
            self._ends_by_cause.pop(cause_id, None)
            self._reached_at_by_cause.pop(cause_id, None)
            self._served_at_by_cause.pop(cause_id, None)

    def put_on_probation(self, cause_ids: Iterable[str]) -> None:
        """Keep so few ends of causes that one more is enough to accuse them again."""
        for cause_id in cause_ids:
            if self._reached_at_by_cause.pop(cause_id, None) is None:
                continue
            self._ends_by_cause[cause_id] = _keep_newest(
                cause_id,
                self._ends_by_cause[cause_id],
                count_ends_to_hold(cause_id) - 1,
            )

    def discard_expired(self, now: float) -> None:
        """Discard the ends older than `EVIDENCE_LIFETIME_S`."""
        for cause_id, ends in list(self._ends_by_cause.items()):
            kept = [e for e in ends if now - e.ended_at < EVIDENCE_LIFETIME_S]
            if len(kept) == len(ends) and kept:
                continue
            self._ends_by_cause[cause_id] = kept
            if not has_enough_ends(cause_id, kept):
                self._reached_at_by_cause.pop(cause_id, None)
            if not kept:
                self.forget([cause_id])

    def _discard_excess(self) -> None:
        while len(self._ends_by_cause) > MAX_CAUSES:
            self.forget([next(iter(self._ends_by_cause))])


def _keep_newest(cause_id: str, ends: list[ServerEnd], count: int) -> list[ServerEnd]:
    """Return the newest ends that count as at most `count`."""
    kept: list[ServerEnd] = []
    for end in sorted(ends, key=lambda e: e.ended_at, reverse=True):
        if count_independent(cause_id, [*kept, end]) > count:
            break
        kept.append(end)
    return kept


__all__ = (
    "NEVER",
    "ENDS_TO_HOLD",
    "ENDS_TO_HOLD_REQUEST",
    "ENDS_TO_SUSPECT",
    "MORE_DOUBTFUL_ENDS",
    "UNKNOWN_ORIGIN",
    "CrashEvidence",
    "RequestOrigin",
    "ServerEnd",
    "Verdict",
)
