"""Claims request ids in the claim logs, through the owner of each id's shard."""

from __future__ import annotations

import asyncio
import secrets
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.claim_log import Claim
from persimmonlink_model.rendezvous import choose_shard, rank_members
from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_node.claim_committer import ClaimCommitter
from persimmonlink_node.claim_log_store import ClaimLogStore, SharedLease
from persimmonlink_node.request_claimer import ClaimHolder
from persimmonlink_peers.claim_messages import CommitClaim, CommitClaimReply

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_interfaces.key_value import KeyValueStore
    from persimmonlink_model.deadline import Deadline
    from persimmonlink_model.request_id import RequestId, RetryHorizon
    from persimmonlink_node.claim_committer import ClaimOutcome
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.node_state import NodeIdentity
    from persimmonlink_node.peer_links import PeerLinks
    from persimmonlink_node.settings import ClaimSettings
    from persimmonlink_peers.peer_server import PeerServer

OWNER_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class ShardClaimer:
    """Commits claims through the owner of their shard, or directly if that fails.

    Ownership of a shard only affects speed: if several nodes act as its owner, the log
    still accepts an append only from a node that has read all entries before it.

    Parameters
    ----------
    settings : ClaimSettings
        Number of shards and rate of appends.
    store : KeyValueStore
        The platform's key-value service.
    identity : NodeIdentity
        Node that claims.
    members : MemberView
        Nodes that may own a shard.
    links : PeerLinks
        Calls the owners of shards.
    server : PeerServer
        Receives the claims of peers.
    horizon : RetryHorizon
        Maximum age of ids that may be claimed.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Source of monotonic and Unix time.
    """

    def __init__(
        self,
        settings: ClaimSettings,
        store: KeyValueStore,
        identity: NodeIdentity,
        members: MemberView,
        links: PeerLinks,
        server: PeerServer,
        horizon: RetryHorizon,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._members = members
        self._links = links
        self._metrics = metrics
        self._clock = clock
        lease = SharedLease(store, horizon.retention_s, clock)
        self._committers = [
            ClaimCommitter(
                ClaimLogStore(store, shard),
                lease,
                horizon,
                settings.appends_per_s,
                metrics,
                clock,
            )
            for shard in range(settings.shards)
        ]
        server.register(CommitClaim, CommitClaimReply, self._handle_commit_claim)

    def claim(
        self, request_id: RequestId, deadline: Deadline
    ) -> Result[ClaimHolder, Failure]:
        """Return the holder of the id; a pinned id needs no claim."""
        identity = self._identity
        nonce = secrets.token_hex(8)
        if request_id.is_pinned:
            return Success(ClaimHolder(identity.node_id, identity.incarnation, nonce))
        claim = Claim(request_id.text, identity.node_id, identity.incarnation, nonce)
        return self._commit(claim, deadline).map(
            lambda held: ClaimHolder(held.node_id, held.incarnation, held.nonce)
        )

    def stop(self) -> None:
        """Stop the committers' threads."""
        for committer in self._committers:
            committer.stop()

    def _commit(self, claim: Claim, deadline: Deadline) -> ClaimOutcome:
        shard = choose_shard(claim.request_id, len(self._committers))
        ranked = rank_members(self._members.list_active(), f"claims/{shard}")
        if ranked and ranked[0].node_id != self._identity.node_id:
            committed = self._commit_at_owner(ranked[0].node_id, shard, claim, deadline)
            if committed is not None:
                return committed
        # The owner may still commit the claim too; both name this node as the holder.
        future = self._committers[shard].submit(claim)
        try:
            return future.result(deadline.remaining_s(self._clock.monotonic()))
        except FutureTimeoutError:
            detail = "the claim was not decided within the deadline"
            return Err(
                Failure(
                    ResultCode.CLAIM_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S
                )
            )

    def _commit_at_owner(
        self, owner_id: str, shard: int, claim: Claim, deadline: Deadline
    ) -> ClaimOutcome | None:
        """Return the owner's decision, or None if it made none."""
        left_s = deadline.remaining_s(self._clock.monotonic())
        if not left_s:
            return None
        message = CommitClaim(self._links.sender, shard, claim)
        timeout_s = min(OWNER_TIMEOUT_S, left_s)
        called = self._links.call_and_wait(
            owner_id, message, CommitClaimReply, timeout_s
        )
        if isinstance(called, Err):
            logger.debug(
                "claim at shard owner {} failed: {}", owner_id, called.failure().detail
            )
            self._metrics.count("claim_owner_unreachable")
            return None
        reply: CommitClaimReply = called.unwrap()
        if reply.holder is not None:
            return Success(reply.holder)
        failure = reply.failure
        if failure is None or failure.code is ResultCode.CLAIM_UNAVAILABLE:
            # The owner may have lost the store while this node still reaches it.
            return None
        return Err(failure)

    async def _handle_commit_claim(self, message: CommitClaim) -> CommitClaimReply:
        if not 0 <= message.shard < len(self._committers):
            detail = f"there is no shard {message.shard} at this node"
            failure = Failure(ResultCode.CLAIM_UNAVAILABLE, detail)
            return CommitClaimReply(failure=failure)
        future = self._committers[message.shard].submit(message.claim)
        outcome = await asyncio.wrap_future(future)
        if isinstance(outcome, Err):
            return CommitClaimReply(failure=outcome.failure())
        return CommitClaimReply(outcome.unwrap())


__all__ = ("ShardClaimer",)
