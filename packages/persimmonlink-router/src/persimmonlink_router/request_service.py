"""Handles client requests: routing, authentication, relaying and logging."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.active_requests import ActiveRequests, EndedByStopError
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.byte_budget import ByteBudget
from persimmonlink_router.client_pressure.memory_plan import MAX_RELAYED_BYTES
from persimmonlink_router.configuration import RequestKind
from persimmonlink_router.http_exchange import InvalidHeadError
from persimmonlink_router.http_messages import HttpRequest
from persimmonlink_router.http_server import ClientDisconnectedError
from persimmonlink_router.plain_relay import relay_plain
from persimmonlink_router.relay_messages import RelayRefusal
from persimmonlink_router.relayed_exchange import RelayBrokenOffError, RelayedExchange
from persimmonlink_router.request_log import RequestLog
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
    RequestHeldError,
    RequestRefusedError,
    RequestState,
)
from persimmonlink_router.retry_after import RETRY_AFTER_JITTER
from persimmonlink_router.stream_relay import relay_stream
from persimmonlink_router.wire_messages import WireFormatError

if TYPE_CHECKING:
    import random

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.configuration import Configuration, Route
    from persimmonlink_router.http_server import Exchange
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.relay_messages import RelayRequest
    from persimmonlink_router.relayed_exchange import SendPart
    from persimmonlink_router.request_forwarder import RequestForwarder
    from persimmonlink_router.server_sender import ServerSender
    from persimmonlink_router.stage_coordinator_client import StageCoordinatorClient
    from persimmonlink_router.stop_clock import StopClock
    from persimmonlink_router.wire_messages import RequestMetadata, Wire

STOPPING_RETRY_AFTER_S = 0.1  # Retry-After of a node that stops; others serve on.
NO_CONFIGURATION_RETRY_AFTER_S = 0.5  # Retry-After of a node without configuration.
# Requests of peers that this node serves at once; others are refused as not run.
MAX_RELAYED_REQUESTS = 512


@dataclass(frozen=True, slots=True)
class LocalReply:
    """A response that the router generates itself.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Reason of the status: the response body and the reason in the log.
    retry_after_s : float or None
        Time after which the client should retry, in seconds; None sends no
        Retry-After header.
    is_exact : bool
        Whether it should retry just then, without random delay.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    is_exact: bool = False


class RequestService:
    """Serves each client request until its response or failure is logged.

    Parameters
    ----------
    cluster_view : ClusterView
        Known configuration and servers.
    wire : Wire
        Parses request headers and builds those of local replies.
    sender : ServerSender
        Sends requests to backend servers.
    stages : StageCoordinatorClient
        Runs the stages of requests.
    metrics : RouterMetrics
        Counters and histograms of requests.
    rng : random.Random
        Source of the Retry-After jitter and of the weighted choice of targets.
    forwarder : RequestForwarder
        Passes requests on to peers if this node reaches no server.
    stop_clock : StopClock
        Whether this node is about to stop, and since when.
    relayed_bytes : int
        Largest size of all request bodies of peers, in bytes.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        wire: Wire,
        sender: ServerSender,
        stages: StageCoordinatorClient,
        metrics: RouterMetrics,
        rng: random.Random,
        forwarder: RequestForwarder,
        stop_clock: StopClock,
        relayed_bytes: int = MAX_RELAYED_BYTES,
    ) -> None:
        self._cluster_view = cluster_view
        self._wire = wire
        self._sender = sender
        self._stages = stages
        self._metrics = metrics
        self._rng = rng
        self._forwarder = forwarder
        self._stop_clock = stop_clock
        self._log = RequestLog(cluster_view, stop_clock, metrics)
        self.relayed_count = 0
        self._relayed_bodies = ByteBudget(relayed_bytes)
        self.active = ActiveRequests()

    async def handle(self, exchange: Exchange) -> None:
        """Serve one client request and log its end."""
        arrived_at = boot_time()
        resolved = self._resolve_request(exchange, arrived_at)
        if isinstance(resolved, LocalReply):
            await self._send_local_reply(exchange, "", resolved)
            self._log.record_refused(
                exchange.request, resolved.status, resolved.reason, arrived_at
            )
            return
        await self._run(resolved)

    async def handle_relayed(self, message: RelayRequest, send_part: SendPart) -> None:
        """Serve a request that a peer passes on, unless this node can't.

        Raises `RelayBrokenOffError` if the response broke off.
        """
        arrived_at = boot_time() - message.elapsed_s
        request = HttpRequest(
            message.method, message.target, message.headers, message.body
        )
        exchange = RelayedExchange(request, send_part)
        refusal = self._check_relay(message)
        resolved = self._resolve_request(exchange, arrived_at, message)
        if not refusal and isinstance(resolved, LocalReply):
            refusal = RelayRefusal.OLDER_CONFIGURATION
        outcome = refusal or "taken"
        self._metrics.count("received_relays_total", f'outcome="{outcome}"')
        if refusal or isinstance(resolved, LocalReply):
            await exchange.refuse(refusal)
            return
        self.relayed_count += 1
        try:
            with self._relayed_bodies.hold(message.body):
                await self._run(resolved)
        finally:
            self.relayed_count -= 1
            if not exchange.has_started:
                self._sender.version_pinning.leave_to_others(resolved)
        if not exchange.is_complete:
            raise RelayBrokenOffError(message.sender.node_id)

    def _check_relay(self, message: RelayRequest) -> RelayRefusal:
        configuration = self._cluster_view.configuration
        if self._stop_clock.is_stopping:
            return RelayRefusal.LEAVING
        if configuration is None:
            return RelayRefusal.OLDER_CONFIGURATION
        if configuration.version < message.configuration_version:
            return RelayRefusal.OLDER_CONFIGURATION
        if self.relayed_count >= MAX_RELAYED_REQUESTS:
            return RelayRefusal.BUSY
        if not self._relayed_bodies.has_room(message.body):
            return RelayRefusal.BUSY
        return RelayRefusal.NONE

    async def _run(self, state: RequestState) -> None:
        arrived_at = state.arrived_at
        status = 0
        reason = "left"
        try:
            status, reason = await self._serve_in_time(state)
        except ClientDisconnectedError:
            reason = "left"
        except asyncio.CancelledError:
            if state.exchange.has_client:
                reason = "cancelled"
            raise
        except Exception:
            reason = "internal error"
            raise
        finally:
            if reason in ("left", "cancelled") and self._stop_clock.is_cutting:
                reason = "cut by the stop"
            self._metrics.record_request(
                state.route.name, state.account_name, status, boot_time() - arrived_at
            )
            self._log.record_completed(state, status, reason)

    async def _serve_in_time(self, state: RequestState) -> tuple[int, str]:
        """Serve a request unless the node stops first; return status and reason."""
        if not self._stop_clock.admits(state.arrived_at, state.end_at):
            self._metrics.count("stopping_requests_total", 'outcome="refused"')
            reply = LocalReply(
                503, "the node stops before the request ends", STOPPING_RETRY_AFTER_S
            )
            await self._send_local_reply(
                state.exchange, state.metadata.request_id, reply
            )
            return reply.status, reply.reason
        try:
            return await self.active.run(state.exchange, self._serve(state))
        except EndedByStopError:
            return await self._end_unanswered(state)

    async def _end_unanswered(self, state: RequestState) -> tuple[int, str]:
        """Answer a request that the stop has ended; return status and reason."""
        exchange = state.exchange
        reason = "the node stops"
        self._metrics.count("stopping_requests_total", 'outcome="ended"')
        if exchange.is_complete:
            return 200, "answered"
        if exchange.has_started:
            exchange.abort()
            return 0, f"response aborted: {reason}"
        reply = LocalReply(504, reason)
        if not (state.sends or state.relayed_to or state.may_have_run):
            reply = LocalReply(503, reason, STOPPING_RETRY_AFTER_S)
        await self._send_local_reply(exchange, state.metadata.request_id, reply)
        return reply.status, reply.reason

    async def _serve(self, state: RequestState) -> tuple[int, str]:
        """Relay a request; return the status and the reason for log and metrics.

        Status 200 stands for any relayed response, 0 for an aborted one.
        """
        exchange = state.exchange
        try:
            return 200, await self._serve_by_any(state)
        except RequestRefusedError as error:
            if isinstance(error, NoReachError) and await _refuse_relay(state):
                return 0, str(error)
            if isinstance(error, RequestHeldError):
                self._metrics.count(
                    "held_requests_total", f'route="{state.route.name}"'
                )
            reply = LocalReply(
                503, str(error), error.retry_after_s, is_exact=error.has_turn
            )
            if state.may_have_run:
                reply = LocalReply(502, str(error))
        except RequestFailedError as error:
            reply = LocalReply(error.status, str(error))
        except InvalidHeadError as error:
            reply = LocalReply(502, f"the response can't be passed on: {error}")
        except ClientDisconnectedError:
            raise
        except Exception:
            # The request may have run, and its client must not wait for the deadline.
            logger.bind(request=state.metadata.request_id).exception(
                "request.internal_error"
            )
            reply = LocalReply(500, "internal error")
        if exchange.has_started:
            exchange.abort()
            return 0, f"response aborted: {reply.reason}"
        await self._send_local_reply(exchange, state.metadata.request_id, reply)
        return reply.status, reply.reason

    async def _serve_by_any(self, state: RequestState) -> str:
        """Have a server run a request, or a peer if no server can be reached."""
        try:
            await self._send_to_server(state)
        except NoReachError:
            self._sender.version_pinning.leave_to_others(state)
            if state.relayed_from:
                raise
            await self._forwarder.forward(state)
            return "answered by a peer"
        return "answered"

    async def _send_to_server(self, state: RequestState) -> None:
        if state.route.kind is RequestKind.STREAM:
            await relay_stream(state, self._sender, self._stages)
        else:
            await relay_plain(state, self._sender)

    def _resolve_request(
        self,
        exchange: Exchange | RelayedExchange,
        arrived_at: float,
        relayed: RelayRequest | None = None,
    ) -> RequestState | LocalReply:
        """Return the state of a request, or why it has none.

        The account of a relayed request is the one that the peer found.
        """
        configuration = self._cluster_view.configuration
        if configuration is None:
            return LocalReply(
                503,
                "the node has no configuration yet",
                NO_CONFIGURATION_RETRY_AFTER_S,
            )
        request = exchange.request
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return LocalReply(404, "no route matches the host and path")
        try:
            metadata = self._wire.parse_request(request)
        except WireFormatError as error:
            return LocalReply(400, str(error))
        account = None
        if relayed is not None:
            return _build_relayed_state(
                exchange, metadata, route, configuration, relayed, arrived_at
            )
        if configuration.requires_key and not route.is_public:
            account = configuration.account_by_key.get(metadata.key)
            if account is None:
                return LocalReply(401, "the API key is unknown")
        service = self._choose_service(route)
        return RequestState(exchange, metadata, route, service, account, arrived_at)

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service

    async def _send_local_reply(
        self, exchange: Exchange | RelayedExchange, request_id: str, reply: LocalReply
    ) -> None:
        headers = [
            (b"content-type", b"text/plain"),
            *self._wire.build_local_reply_headers(request_id),
        ]
        if reply.retry_after_s is not None:
            jitter = 1.0
            if not reply.is_exact:
                jitter += RETRY_AFTER_JITTER * self._rng.random()
            seconds = math.ceil(reply.retry_after_s * jitter * 100) / 100
            headers.append((b"retry-after", f"{seconds:.2f}".encode()))
        await exchange.respond(reply.status, headers, reply.reason.encode())


def _build_relayed_state(
    exchange: Exchange | RelayedExchange,
    metadata: RequestMetadata,
    route: Route,
    configuration: Configuration,
    relayed: RelayRequest,
    arrived_at: float,
) -> RequestState:
    account = None
    if relayed.account is not None:
        account = configuration.find_account(relayed.account)
    return RequestState(
        exchange,
        metadata,
        route,
        relayed.service,
        account,
        arrived_at,
        sends=relayed.sends,
        runs=relayed.runs,
        may_have_run=relayed.runs > 0,
        stream_version=relayed.stream_version,
        last_forwarded_id=relayed.last_event_id,
        relayed_from=relayed.sender.node_id,
    )


async def _refuse_relay(state: RequestState) -> bool:
    """Tell the peer that passed a request on that it has not run here."""
    exchange = state.exchange
    if not isinstance(exchange, RelayedExchange) or exchange.has_started:
        return False
    if state.may_have_run:
        return False
    await exchange.refuse(RelayRefusal.NO_REACH)
    return True


__all__ = ("LocalReply", "RequestService")
