"""Passes requests on to nodes that reach the servers which this node does not reach."""

from __future__ import annotations

from collections import Counter
from contextlib import aclosing
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_peers.peer_channel import PeerStreamError
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.relay_messages import RelayPart, RelayRequest
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
)
from persimmonlink_router.stream_rest import NotTheRestError, StreamRest

if TYPE_CHECKING:
    import random

    from persimmonlink_router.byte_budget import ByteBudget
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.peer_messages import RouterMember
    from persimmonlink_router.reach_board import ReachBoard
    from persimmonlink_router.request_state import RequestState

MAX_PEERS = 3  # Nodes that are asked to take a request.
NO_PEER_RETRY_AFTER_S = 0.5  # Retry-After if no node takes it.
# The peer ends a request by its own clock first.
TIMEOUT_MARGIN_S = 0.3


class RequestForwarder:
    """Has peers serve requests, each by one hop.

    Parameters
    ----------
    membership : ClusterMembership
        Members and channels.
    board : ReachBoard
        Which nodes don't reach which services.
    cluster_view : ClusterView
        Configuration in force at this node.
    metrics : RouterMetrics
        Counts requests that are passed on.
    rng : random.Random
        Chooses among nodes that are equal.
    body_budget : ByteBudget
        Bounds the responses that are buffered.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        board: ReachBoard,
        cluster_view: ClusterView,
        metrics: RouterMetrics,
        rng: random.Random,
        body_budget: ByteBudget,
    ) -> None:
        self._body_budget = body_budget
        self._membership = membership
        self._board = board
        self._cluster_view = cluster_view
        self._metrics = metrics
        self._rng = rng
        self._in_flight_by_node: Counter[str] = Counter()

    def count_by_node(self) -> dict[str, int]:
        """Return the requests that peers are serving for this node."""
        return dict(self._in_flight_by_node)

    async def forward(self, state: RequestState) -> None:
        """Have a peer serve a request, and pass its response on.

        Raises `NoReachError` if no peer takes a request that has not run, and
        `RequestFailedError` if it may have run and there is no response.
        """
        tried_ids: set[str] = set()
        reason = "no node reaches a server of the service"
        while len(tried_ids) < MAX_PEERS and state.time_left_s > 0:
            member = self._choose_peer(state.service, tried_ids)
            if member is None:
                break
            tried_ids.add(member.node_id)
            refusal = await self._forward_to(member, state)
            outcome = refusal or "taken"
            self._metrics.count("relayed_requests_total", f'outcome="{outcome}"')
            if not refusal:
                return
            reason = f"{member.node_id} does not take the request: {refusal}"
            logger.bind(
                request=state.metadata.request_id,
                member=member.node_id,
                reason=refusal,
            ).info("request.relay_refused")
        if state.may_have_run:
            raise RequestFailedError(reason)
        raise NoReachError(reason, NO_PEER_RETRY_AFTER_S)

    def _choose_peer(self, service: str, tried_ids: set[str]) -> RouterMember | None:
        """Return the node with the fewest requests of this one, the nearest first."""
        own = self._membership.own_member
        best: RouterMember | None = None
        best_rank: tuple[int, bool, float] | None = None
        for member in self._membership.list_serving_members():
            if member.node_id == own.node_id or member.node_id in tried_ids:
                continue
            if getattr(member, "region", "") != own.region:
                continue
            if self._board.lacks(member.node_id, service):
                continue
            rank = (
                self._in_flight_by_node[member.node_id],
                member.domain != own.domain,
                self._rng.random(),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = member, rank  # type: ignore[assignment]
        return best

    async def _forward_to(self, member: RouterMember, state: RequestState) -> str:
        """Have a peer serve a request; return why it does not take it, or nothing."""
        state.relayed_to = member.node_id
        self._in_flight_by_node[member.node_id] += 1
        timeout_s = state.time_left_s + TIMEOUT_MARGIN_S
        channel = self._membership.channel(member.peer_address)
        replies = channel.stream(self._build_message(state), RelayPart, timeout_s)
        rest = _expect_rest(state)
        try:
            async with aclosing(replies) as parts:
                async for part in parts:
                    if part.refusal:
                        return str(part.refusal)
                    await self._apply_part(part, state, rest)
                    if part.is_last:
                        return ""
        except PeerStreamError as error:
            if not error.was_sent:
                return "unreachable"
            return self._handle_loss(state, str(error))
        finally:
            self._in_flight_by_node[member.node_id] -= 1
            if not self._in_flight_by_node[member.node_id]:
                del self._in_flight_by_node[member.node_id]
        return self._handle_loss(state, "the response is incomplete")

    async def _apply_part(
        self, part: RelayPart, state: RequestState, rest: StreamRest | None
    ) -> None:
        """Pass a part of a response on to the client.

        The head of a stream that this node has begun is dropped: the client has one.
        """
        exchange = state.exchange
        if rest is not None:
            _check_part(part, rest)
        if part.status and not part.is_stream:
            await self._respond(part, state)
            return
        if part.status and not exchange.has_started:
            exchange.start_stream(part.status, part.headers)
        if part.body:
            if state.first_event_s is None:
                state.first_event_s = boot_time() - state.arrived_at
            await exchange.send(part.body)
        if part.is_last:
            await exchange.end()

    async def _respond(self, part: RelayPart, state: RequestState) -> None:
        """Pass a whole response on, if there is room for it until it is written."""
        if state.exchange.has_started:
            raise RequestFailedError(f"the stream can't go on: status {part.status}")
        if not self._body_budget.has_room(part.body):
            raise RequestFailedError("too much of all responses is buffered")
        with self._body_budget.hold(part.body):
            await state.exchange.respond(part.status, part.headers, part.body)

    def _handle_loss(self, state: RequestState, reason: str) -> str:
        """Return the reason if another peer may take the request, or raise."""
        state.sends += 1
        state.runs += 1
        state.may_have_run = True
        may_repeat = state.route.is_repeatable and not state.exchange.has_started
        if may_repeat and state.runs < state.route.max_attempts:
            return reason
        raise RequestFailedError(f"{state.relayed_to}: {reason}")

    def _build_message(self, state: RequestState) -> RelayRequest:
        request = state.exchange.request
        configuration = self._cluster_view.configuration
        return RelayRequest(
            self._membership.sender,
            request.method,
            request.target,
            request.headers,
            request.body,
            configuration.version if configuration is not None else 0,
            state.service,
            state.account.name if state.account is not None else None,
            boot_time() - state.arrived_at,
            state.sends,
            state.runs,
            state.last_forwarded_id,
            state.stream_version,
        )


def _expect_rest(state: RequestState) -> StreamRest | None:
    """Return what checks the rest of a stream that this node has begun."""
    if not state.exchange.has_started:
        return None
    return StreamRest(state.last_forwarded_id)


def _check_part(part: RelayPart, rest: StreamRest) -> None:
    """Raise `RequestFailedError` if a part does not go on with a stream.

    Peers of this build check their servers' responses themselves.
    """
    try:
        if part.status and part.is_stream:
            rest.check_headers(part.headers)
        if part.is_stream or not part.status:
            rest.check_events(part.body)
    except NotTheRestError as error:
        raise RequestFailedError(f"the stream can't go on: {error}") from error


__all__ = ("RequestForwarder",)
