"""Transfers a stopping node's kept results to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.kept_results import KeptResult, RequestPhase
from persimmonlink_model.rendezvous import rank_members
from persimmonlink_model.request import Answer
from persimmonlink_model.result_code import Failure
from persimmonlink_peers.answer_messages import (
    HandOverResults,
    HandOverResultsReply,
    TransferredResult,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from persimmonlink_model.membership import Member
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.peer_links import PeerLinks
    from persimmonlink_node.request_service import RequestService

MAX_TRANSFERRED_BYTES = 4_000_000
MAX_MESSAGE_BYTES = 500_000
MAX_MESSAGE_RESULTS = 500
MESSAGE_TIMEOUT_S = 2.0


def transfer_kept_results(
    service: RequestService,
    members: MemberView,
    links: PeerLinks,
    max_bytes: int = MAX_TRANSFERRED_BYTES,
) -> int:
    """Transfer kept results to the peers that will be queried for them.

    Parameters
    ----------
    service : RequestService
        Keeps this node's results; none of its requests may be running any more.
    members : MemberView
        Known peers.
    links : PeerLinks
        Calls peers.
    max_bytes : int
        Maximum bytes to transfer, the newest results first. An id whose outcome
        doesn't fit is transferred without it, so that a retry learns that its
        request ran; ids count with a fixed size each.

    Returns
    -------
    int
        Number of results that peers have accepted.
    """
    own_id = links.sender.node_id
    peers = [m for m in members.list_active() if m.node_id != own_id]
    if not peers:
        return 0
    now, results = service.list_finished(max_bytes)
    results_by_peer: dict[str, list[KeptResult]] = {}
    for result in results:
        peer: Member = rank_members(peers, result.request_id)[0]
        results_by_peer.setdefault(peer.node_id, []).append(result)
    accepted = 0
    for node_id, peer_results in results_by_peer.items():
        for batch in _split_batches(peer_results):
            transferred = tuple(_to_transferred(result, now) for result in batch)
            message = HandOverResults(links.sender, transferred)
            called = links.call_and_wait(
                node_id, message, HandOverResultsReply, MESSAGE_TIMEOUT_S
            )
            if isinstance(called, Err):
                logger.warning(
                    "transfer of kept results failed: {}", called.failure().detail
                )
                break
            accepted += called.unwrap().taken
    logger.info("transferred {} of {} kept results", accepted, len(results))
    return accepted


def to_kept_result(transferred: TransferredResult, now: float) -> KeptResult:
    """Return a transferred result in the form in which this node keeps it."""
    outcome = transferred.answer or transferred.failure
    return KeptResult(
        transferred.request_id,
        transferred.body_digest,
        RequestPhase.FINISHED,
        now - transferred.age_s,
        outcome,
        len(msgspec.msgpack.encode(outcome)) if outcome else 0,
    )


def _split_batches(results: list[KeptResult]) -> Iterator[list[KeptResult]]:
    batch: list[KeptResult] = []
    size = 0
    for result in results:
        is_full = (
            size + result.size > MAX_MESSAGE_BYTES or len(batch) >= MAX_MESSAGE_RESULTS
        )
        if batch and is_full:
            yield batch
            batch = []
            size = 0
        batch.append(result)
        size += result.size
    if batch:
        yield batch


def _to_transferred(result: KeptResult, now: float) -> TransferredResult:
    outcome = result.outcome
    return TransferredResult(
        result.request_id,
        result.body_digest,
        now - result.started_at,
        outcome if isinstance(outcome, Answer) else None,
        outcome if isinstance(outcome, Failure) else None,
    )


__all__ = ("to_kept_result", "transfer_kept_results")
