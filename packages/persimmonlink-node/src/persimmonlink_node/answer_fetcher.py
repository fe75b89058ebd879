"""Fetches the outcome of requests that only another node may run."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err
from returns.result import Success

from persimmonlink_model.rendezvous import rank_members
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_peers.answer_messages import (
    AnswerState,
    FetchAnswer,
    FetchedAnswer,
    ForwardRequest,
)

if TYPE_CHECKING:
    from typing import Any

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.member_view import MemberView
    from persimmonlink_node.outcomes import Outcome
    from persimmonlink_node.peer_links import PeerLinks
    from persimmonlink_node.pipeline_request import PipelineRequest
    from persimmonlink_node.request_claimer import ClaimHolder

FETCH_TIMEOUT_S = 1.0
FORWARD_MARGIN_S = 0.2
MAX_PEERS_QUERIED = 3
UNREACHABLE_RETRY_AFTER_S = 2.0


class AnswerFetcher:
    """Queries the node that holds a request id, or peers that took over its results.

    Parameters
    ----------
    members : MemberView
        Known nodes and their incarnations.
    links : PeerLinks
        Calls peers.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, members: MemberView, links: PeerLinks, clock: Clock) -> None:
        self._members = members
        self._links = links
        self._clock = clock

    def fetch_or_forward(
        self, request: PipelineRequest, holder: ClaimHolder
    ) -> Outcome:
        """Return the outcome of a request that only the holder may run.

        If the holder answers that it has no record of the request, the request is
        forwarded to it.
        """
        request_id = request.request_id.text
        found = self.fetch(request_id, holder, request.body_digest)
        if found is not None:
            return found
        left_s = request.deadline.remaining_s(self._clock.monotonic())
        body = replace(
            request.body,
            request_id=request_id,
            deadline_ms=max(1, int(left_s * 1000)),
            stream=False,
        )
        message = ForwardRequest(
            self._links.sender, holder.incarnation, request.pipeline_name, body
        )
        reply = self._call(holder.node_id, message, left_s + FORWARD_MARGIN_S)
        if reply is None:
            return Err(
                _create_unknown_failure(
                    f"forwarded to {holder.node_id}, which didn't answer"
                )
            )
        outcome = _to_outcome(reply)
        if outcome is not None:
            return outcome
        if reply.state is AnswerState.OTHER_INCARNATION:
            return Err(_create_superseded_failure(holder))
        return Err(
            _create_unknown_failure(
                f"forwarded to {holder.node_id}, which replied {reply.state}"
            )
        )

    def fetch(
        self, request_id: str, holder: ClaimHolder, body_digest: str = ""
    ) -> Outcome | None:
        """Return the outcome from the holder or from a peer it was transferred to.

        Returns None if the holder answers that it has no record of the request. If a
        digest is given, the outcome of a request with another body is not returned.
        """
        member = self._members.find(holder.node_id)
        known_incarnation = member.incarnation if member is not None else ""
        is_superseded = known_incarnation > holder.incarnation
        # A holder without a recent heartbeat is queried too: it may only be slow, or
        # have just started.
        if not is_superseded:
            message = FetchAnswer(
                self._links.sender, request_id, holder.incarnation, body_digest
            )
            reply = self._call(holder.node_id, message, FETCH_TIMEOUT_S)
            if reply is not None and reply.state is AnswerState.NOTHING:
                return None
            outcome = _to_outcome(reply)
            if outcome is not None:
                return outcome
        transferred = self.fetch_transferred(request_id, body_digest)
        if transferred is not None:
            return transferred
        if is_superseded:
            return Err(_create_superseded_failure(holder))
        return Err(
            _create_unknown_failure(
                f"{holder.node_id} holds the id and can't be reached"
            )
        )

    def fetch_transferred(
        self, request_id: str, body_digest: str = ""
    ) -> Outcome | None:
        """Return an outcome that a stopping node transferred to a peer, or None."""
        ranked = rank_members(self._members.list_live(), request_id)
        for member in ranked[:MAX_PEERS_QUERIED]:
            if member.node_id == self._links.sender.node_id:
                continue
            message = FetchAnswer(
                self._links.sender, request_id, body_digest=body_digest
            )
            reply = self._call(member.node_id, message, FETCH_TIMEOUT_S)
            if reply is None or reply.state is not AnswerState.FINISHED:
                continue
            return _to_outcome(reply)
        return None

    def _call(
        self, node_id: str, message: Any, timeout_s: float
    ) -> FetchedAnswer | None:
        called = self._links.call_and_wait(node_id, message, FetchedAnswer, timeout_s)
        if isinstance(called, Err):
            logger.debug("could not fetch an answer: {}", called.failure().detail)
            return None
        return called.unwrap()


def _to_outcome(reply: FetchedAnswer | None) -> Outcome | None:
    if reply is None:
        return None
    if reply.answer is not None:
        return Success(reply.answer)
    if reply.failure is not None:
        return Err(reply.failure)
    return None


def _create_superseded_failure(holder: ClaimHolder) -> Failure:
    detail = (
        f"only {holder.node_id} in its incarnation {holder.incarnation}, which has "
        "ended, may have run the request"
    )
    return Failure(ResultCode.OUTCOME_UNKNOWN, detail, RunState.UNKNOWN)


def _create_unknown_failure(detail: str) -> Failure:
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        detail,
        RunState.UNKNOWN,
        UNREACHABLE_RETRY_AFTER_S,
    )


__all__ = ("AnswerFetcher",)
