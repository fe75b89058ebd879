"""The log of claims of one shard, as one committer knows it."""

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
    """The sole right of one node incarnation to run a request id.

    Parameters
    ----------
    request_id : str
        The id.
    node_id : str
        Name of the node.
    incarnation : str
        Its incarnation at the claim.
    nonce : str
        Drawn anew for each try to claim.
    """

    request_id: str
    node_id: str
    incarnation: str
    nonce: str = ""


@dataclass(frozen=True)
class ClaimBatch:
    """Claims that one entry of the log holds.

    Parameters
    ----------
    claims : tuple of Claim
        The claims; none is of an id that an earlier entry holds.
    """

    claims: tuple[Claim, ...]


@dataclass(frozen=True)
class LogHead:
    """The key that each append must find unchanged.

    Parameters
    ----------
    sequence : int
        Sequence number of the last entry.
    revision : int
        Revision of the store at which the entry was appended.
    """

    sequence: int
    revision: int


@dataclass(frozen=True)
class Append:
    """An entry to append.

    Parameters
    ----------
    sequence : int
        Its sequence number.
    batch : ClaimBatch
        Its claims.
    head_revision : int
        Revision at which the head must still be, 0 if it must not exist.
    """

    sequence: int
    batch: ClaimBatch
    head_revision: int


@dataclass(frozen=True)
class Decision:
    """What the known entries say of some claims.

    Parameters
    ----------
    holder_by_id : Mapping of str to Claim
        Ids that are held, each by the claim that holds it for good.
    too_old : frozenset of str
        Ids that nobody may claim any more.
    append : Append or None
        The entry that would take the other ids; they are held only once it is
        known to be in the log.
    """

    holder_by_id: Mapping[str, Claim]
    too_old: frozenset[str]
    append: Append | None


class ClaimLog:
    """Known entries of one shard's log.

    Guarded by its owner; holds no lock of its own.

    An entry is appended by one transaction that also moves the head, and only if
    the head is where the committer last saw it. So whoever appends knows every entry
    before its own, whatever has become of leases and owners meanwhile. Entries may go
    by their lease, the head stays.

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
        """Take in a read of the log from `next_sequence`, or an earlier one, on.

        Reads may be taken in out of order: claims are final and the head only moves
        forward.
        """
        for batch in batches:
            for claim in batch.claims:
                self._claim_by_id.setdefault(claim.request_id, claim)
        if head is not None and head.revision > self.head.revision:
            self.head = head

    def decide(self, claims: Iterable[Claim], now_ms: int) -> Decision:
        """Tell who holds each id, and what to append for those that nobody holds.

        Parameters
        ----------
        claims : iterable of Claim
            Claims to decide.
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
            # Asked again here, since the entry of an older claim may have gone by
            # its lease while the request or this committer was held up.
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
        """Take in that an append succeeded, at a revision of the store."""
        self.apply_read([append.batch], LogHead(append.sequence, revision))

    def find(self, request_id: str) -> Claim | None:
        """Return the claim that holds an id as far as it is known, or None."""
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
        # Claims stand nearly in the order of their ids' age, so the first that must
        # stay ends it.
        oldest_ms = now_ms - int(self.horizon.retention_s * 1000)
        while self._claim_by_id:
            request_id = next(iter(self._claim_by_id))
            parsed = parse_request_id(request_id)
            is_valid = isinstance(parsed, Success)
            if is_valid and parsed.unwrap().created_at_ms >= oldest_ms:
                return
            del self._claim_by_id[request_id]


__all__ = ("Append", "Claim", "ClaimBatch", "ClaimLog", "Decision", "LogHead")
