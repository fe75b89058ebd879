"""Messages to have claims committed by a shard's owner."""

from __future__ import annotations

from dataclasses import dataclass

from persimmonlink_model.claim_log import Claim
from persimmonlink_model.result_code import Failure
from persimmonlink_peers.message import Sender


@dataclass(frozen=True)
class CommitClaim:
    """Request to commit a claim.

    Parameters
    ----------
    sender : Sender
        Node that claims the request id.
    shard : int
        Shard of the request id.
    claim : Claim
        Claim to commit.
    """

    sender: Sender
    shard: int
    claim: Claim


@dataclass(frozen=True)
class CommitClaimReply:
    """Outcome of a claim.

    Parameters
    ----------
    holder : Claim or None
        Claim that holds the request id; None if unknown.
    failure : Failure or None
        Reason why the holder is unknown.
    """

    holder: Claim | None = None
    failure: Failure | None = None


__all__ = ("CommitClaim", "CommitClaimReply")
