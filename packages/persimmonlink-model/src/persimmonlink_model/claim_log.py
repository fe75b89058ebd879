"""Log of one shard's claims as one committer has read it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from persimmonlink_model.request_id import parse_request_id

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_model.request_id import RetryHorizon


@dataclass(frozen=True)
class Claim:
    """Exclusive right of one node incarnation to run a request id.

    Parameters
    ----------
    request_id : str
        Request id that is claimed.
    node_id : str
        Name of the claiming node.
    incarnation : str
        Incarnation of that node.
    nonce : str
        Random value that differs between attempts to claim.
    """

    request_id: str
    node_id: str
    incarnation: str
    nonce: str = ""


@dataclass(frozen=True)
class ClaimBatch:
    """Claims of one log entry.

    Parameters
    ----------
    claims : tuple of Claim
        The claims; no earlier entry holds a claim of the same ids.
    """

    claims: tuple[Claim, ...]


@dataclass(frozen=True)
class LogHead:
    """Head of the log, which each append must find unchanged.

    Parameters
    ----------
    sequence : int
        Sequence number of the last entry.
    revision : int
        Store revision at which that entry was appended.
    """

    sequence: int
    revision: int


@dataclass(frozen=True)
class Append:
    """Conditional append of one entry.

    Parameters
    ----------
    sequence : int
        Sequence number of the entry.
    batch : ClaimBatch
        Claims of the entry.
    head_revision : int
        Store revision that the head must still have, 0 if the head must not exist.
    """

    sequence: int
    batch: ClaimBatch
    head_revision: int


@dataclass(frozen=True)
class Decision:
    """Outcome of some claims according to the known entries.

    Parameters
    ----------
    holder_by_id : Mapping of str to Claim
        Claim that permanently holds each id that is already held.
    too_old : frozenset of str
        Ids that cannot be claimed: beyond the retry horizon, further ahead of the clock
        than the allowed skew, or malformed.
    append : Append or None
        Entry that would claim the remaining ids; they are held only once the append
        is confirmed.
    """

    holder_by_id: Mapping[str, Claim]
    too_old: frozenset[str]
    append: Append | None


class ClaimLog:
    """Known entries of one shard's log.

    An entry is appended in one transaction that also advances the head, on condition
    that the head is unchanged since the committer last read it. A committer whose
    append succeeds therefore knows every earlier entry, regardless of changes of lease
    or owner in between. Entries expire with their lease; the head does not.

    Not thread-safe; the owner serializes access.

    Parameters
    ----------
    horizon : RetryHorizon
        Age up to which ids may be claimed.
    """

    def __init__(self, horizon: RetryHorizon) -> None:
        self.horizon = horizon
        self.head = LogHead(0, 0)
        self._claim_by_id: dict[str, Claim] = {}

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next entry."""
        return self.head.sequence + 1

    def apply_read(self, batches: Iterable[ClaimBatch], head: LogHead | None) -> None:
        """Apply a read of the log that started at `next_sequence` or earlier.

        Reads may be applied out of order: claims are final, and the head only moves
        forward.
        """
        for batch in batches:
            for claim in batch.claims:
                self._claim_by_id.setdefault(claim.request_id, claim)
        if head is not None and head.revision > self.head.revision:
            self.head = head

    def decide(self, claims: Iterable[Claim], now_ms: int) -> Decision:
        """Return the holder of each held id and the append that claims the others.

        Parameters
        ----------
        claims : iterable of Claim
            Requested claims.
        now_ms : int
            Unix time, in milliseconds.
        """
        self._discard_expired(now_ms)
        holder_by_id = {}
        too_old = set()
        new_by_id: dict[str, Claim] = {}
        for claim in claims:
            holder = self._claim_by_id.get(claim.request_id)
            if holder is not None:
                holder_by_id[claim.request_id] = holder
                continue
            # Checked again here: the entry of an older claim may have expired with its
            # lease while the request or this committer was delayed.
            if self._is_too_old(claim.request_id, now_ms):
                too_old.add(claim.request_id)
                continue
            new_by_id.setdefault(claim.request_id, claim)
        append = None
        if new_by_id:
            batch = ClaimBatch(tuple(new_by_id.values()))
            append = Append(self.next_sequence, batch, self.head.revision)
        return Decision(holder_by_id, frozenset(too_old), append)

    def confirm(self, append: Append, revision: int) -> None:
        """Record that an append succeeded at a store revision."""
        self.apply_read([append.batch], LogHead(append.sequence, revision))

    def find(self, request_id: str) -> Claim | None:
        """Return the known claim that holds an id, or None."""
        return self._claim_by_id.get(request_id)

    def count(self) -> int:
        """Return the number of known claims."""
        return len(self._claim_by_id)

    def _is_too_old(self, request_id: str, now_ms: int) -> bool:
        parsed = parse_request_id(request_id)
        if not isinstance(parsed, Success):
            return True
        return self.horizon.check_age(parsed.unwrap(), now_ms) is not None

    def _discard_expired(self, now_ms: int) -> None:
        # Claims are nearly in the order of their ids' creation, so the scan stops at
        # the first one that has not expired.
        oldest_ms = now_ms - int(self.horizon.retention_s * 1000)
        while self._claim_by_id:
            request_id = next(iter(self._claim_by_id))
            parsed = parse_request_id(request_id)
            is_valid = isinstance(parsed, Success)
            if is_valid and parsed.unwrap().created_at_ms >= oldest_ms:
                return
            del self._claim_by_id[request_id]


__all__ = ("Append", "Claim", "ClaimBatch", "ClaimLog", "Decision", "LogHead")
