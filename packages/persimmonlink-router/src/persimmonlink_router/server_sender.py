"""Sends a request to a chosen server and reads the head of the response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.http_client import (
    ByteBudget,
    ConnectError,
    ConnectionLostError,
    HttpClientConnection,
)
from persimmonlink_router.http_messages import HttpResponseHead, ResponseFraming
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
    RequestHeldError,
    RequestRefusedError,
    ResponseEnd,
)
from persimmonlink_router.response_head_reader import (
    NotRunError,
    RejectedError,
    ResponseHeadReader,
)
from persimmonlink_router.server_chooser import (
    NO_INPUTS,
    StageInputs,
    estimate_response_s,
)
from persimmonlink_router.server_ends import InterruptedRequest
from persimmonlink_router.server_places import Place
from persimmonlink_router.servers import Server
from persimmonlink_router.wire_messages import Dispatch, ResponseInfo

if TYPE_CHECKING:
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.holds import Hold
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.send_limits import RetryBudget
    from persimmonlink_router.server_chooser import ServerChooser
    from persimmonlink_router.server_ends import ServerEndDetector
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import ServerPlaces
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.stream_version_exchange import StreamVersionExchange
    from persimmonlink_router.wire_messages import Wire

MAX_SERVER_WAIT_S = 0.15  # Longest wait for a server that may receive the request.
SERVER_POLL_INTERVAL_S = 0.02  # Interval of looking for such a server.
NO_SERVER_RETRY_AFTER_S = 0.3  # Retry-After if no server accepts a request.
# Retry-After if no server may continue a stream, or no node knows which ones may.
NO_VERSION_RETRY_AFTER_S = 0.5
MAX_REJECTIONS = 4  # A request that more servers than this reject is refused.
MAX_BUFFERED_BYTES = 50331648  # Largest size of all responses that are buffered.
# Longest idle time of connections that carry requests which must not run twice.
NON_REPEATABLE_MAX_IDLE_S = 2.0


@dataclass(slots=True)
class OpenResponse:
    """A response whose head has been read and whose body has not.

    Parameters
    ----------
    server : Server
        Server that sent it.
    connection : HttpClientConnection
        Connection from which the body is read.
    head : HttpResponseHead
        Status and headers.
    info : ResponseInfo
        Values parsed from the head.
    sent_at : float
        Boot time at which the request was sent, in seconds.
    place : Place
        Permission to be in flight at the server.
    first_event_at : float or None
        Boot time of the first event that was read, in seconds; None before it.
    """

    server: Server
    connection: HttpClientConnection
    head: HttpResponseHead
    info: ResponseInfo
    sent_at: float
    place: Place
    first_event_at: float | None = None


class UnreachableError(NotRunError):
    """A connection to a server could not be opened."""


class LimitReachedError(NotRunError):
    """The rate that a server names is reached; it is paused until there is room."""


class ServerSender:
    """Sends requests to servers within the limits shared by all nodes.

    Parameters
    ----------
    chooser : ServerChooser
        Chooses the servers.
    cluster_view : ClusterView
        Known servers and whether they may receive work.
    membership : ClusterMembership
        Number of nodes that share the retry budget.
    pool : ConnectionPool
        Connections to the servers.
    wire : Wire
        Builds request headers and parses response heads.
    health : ServerHealth
        Records latency, failures and load of the servers.
    budget : RetryBudget
        Limits retries.
    stream_versions : StreamVersionExchange
        Records and finds the software versions at which streams began.
    end_detector : ServerEndDetector
        Finds out which servers ended while they ran requests.
    crash_guard : CrashGuard
        Knows which prompts end servers.
    limiter : ServerLimiter
        Keeps to the rates that servers name.
    metrics : RouterMetrics
        Counts permits.
    reach : ServerReach
        Which servers this node reaches.
    places : ServerPlaces
        Keeps brittle servers from rejecting.
    """

    def __init__(
        self,
        chooser: ServerChooser,
        cluster_view: ClusterView,
        membership: ClusterMembership,
        pool: ConnectionPool,
        wire: Wire,
        health: ServerHealth,
        budget: RetryBudget,
        stream_versions: StreamVersionExchange,
        end_detector: ServerEndDetector,
        crash_guard: CrashGuard,
        limiter: ServerLimiter,
        metrics: RouterMetrics,
        reach: ServerReach,
        places: ServerPlaces,
    ) -> None:
        self._chooser = chooser
        self._cluster_view = cluster_view
        self._membership = membership
        self._pool = pool
        self._health = health
        self._budget = budget
        self._stream_versions = stream_versions
        self._end_detector = end_detector
        self._crash_guard = crash_guard
        self._limiter = limiter
        self._metrics = metrics
        self._reach = reach
        self._places = places
        self._head_reader = ResponseHeadReader(
            cluster_view,
            pool,
            wire,
            health,
            limiter,
            reach,
            places,
            self._record_interrupted_request,
        )
        self.body_budget = ByteBudget(MAX_BUFFERED_BYTES)

    async def send(
        self,
        state: RequestState,
        inputs: StageInputs = NO_INPUTS,
        last_event_id: bytes = b"",
        head_timeout_s: float | None = None,
    ) -> OpenResponse:
        """Send a request to the best server, and to the next one if it is rejected.

        The caller must end the response with `finish_response`.

        Parameters
        ----------
        state : RequestState
            The request.
        inputs : StageInputs
            Stage results that the server reads.
        last_event_id : bytes
            Event after which a stream resumes; empty to use the client's own.
        head_timeout_s : float or None
            Longest wait for the response head, in seconds, if shorter than the time
            left.

        Raises
        ------
        RequestRefusedError
            No server accepted the request on this send.
        RequestFailedError
            A server may have run the request, and there is no response.
        """
        excluded_ids: set[str] = set()
        unreachable_ids: set[str] = set()
        self.require_not_held(state)
        self.require_reach(state)
        await self._require_trial_permit(state)
        while True:
            server = await self._wait_for_server(state, inputs, excluded_ids)
            try:
                return await self._send_to(
                    server, state, inputs, last_event_id, head_timeout_s
                )
            except LimitReachedError:
                # The server is paused, so another one is chosen.
                continue
            except NotRunError as error:
                excluded_ids.add(server.server_id)
                if isinstance(error, UnreachableError):
                    unreachable_ids.add(server.server_id)
                    self._require_other_server(state, unreachable_ids)
                logger.bind(
                    request=state.metadata.request_id,
                    server=server.server_id,
                    reason=str(error),
                ).info("request.rejected_by_server")
                if len(unreachable_ids) > MAX_REJECTIONS:
                    raise NoReachError(
                        "too many servers can't be reached", NO_SERVER_RETRY_AFTER_S
                    ) from error
                if len(excluded_ids) > MAX_REJECTIONS:
                    raise RequestRefusedError(
                        "too many servers rejected the request",
                        NO_SERVER_RETRY_AFTER_S,
                    ) from error

    async def pin_resumed_stream(self, state: RequestState) -> None:
        """Bind a stream that a client takes up to the version at which it began.

        Raises `RequestRefusedError` if no node knows that version.
        """
        metadata = state.metadata
        if not metadata.last_event_id or state.stream_version is not None:
            return
        state.stream_version = await self._stream_versions.find(
            metadata.resumed_request_id, state.service
        )
        if state.stream_version is None:
            raise RequestRefusedError(
                "the software version that began the stream is unknown",
                NO_VERSION_RETRY_AFTER_S,
            )

    def require_reach(self, state: RequestState) -> None:
        """Raise `NoReachError` if no server of the service can be reached."""
        if state.service in self._reach.unreached_services:
            raise NoReachError(
                "no server of the service can be reached", NO_SERVER_RETRY_AFTER_S
            )

    def _require_other_server(
        self, state: RequestState, unreachable_ids: set[str]
    ) -> None:
        """Raise `NoReachError` if no server that may get a request is reachable."""
        for server in self._cluster_view.servers.list_usable(state.service):
            if server.server_id in unreachable_ids or not state.allows_server(server):
                continue
            if not self._reach.is_unreached(server.key):
                return
        raise NoReachError(
            "no server of the service can be reached", NO_SERVER_RETRY_AFTER_S
        )

    def require_stream_version(self, state: RequestState) -> None:
        """Raise `RequestRefusedError` if no server can continue a stream."""
        if state.stream_version is None:
            return
        for server in self._cluster_view.servers.list_usable(state.service):
            if state.allows_server(server):
                return
        raise RequestRefusedError(
            f"no server of software version {state.stream_version} serves the stream",
            NO_VERSION_RETRY_AFTER_S,
        )

    def require_not_held(self, state: RequestState) -> None:
        """Raise `RequestHeldError` if the request is held back from all servers."""
        hold = self._crash_guard.find_hold(state.cause_ids)
        state.avoided_software = frozenset()
        if hold is None:
            return
        for server in self._cluster_view.servers.list_usable(state.service):
            if not hold.forbids(server.software):
                state.avoided_software = hold.software
                return
        raise _build_held_error(hold)

    def _require_not_held_from(self, state: RequestState, server: Server) -> None:
        """Raise `RequestHeldError` if the request is held back from a server."""
        hold = self._crash_guard.find_hold(state.cause_ids)
        if hold is not None and hold.forbids(server.software):
            raise _build_held_error(hold)

    async def _require_trial_permit(self, state: RequestState) -> None:
        """Raise `RequestHeldError` if a suspect request may not be sent now."""
        if not self._crash_guard.is_suspect(state.fingerprint):
            return
        decision = await self._crash_guard.trials.ask(state.fingerprint)
        outcome = "granted" if decision.is_granted else "refused"
        self._metrics.count("trial_permits_total", f'outcome="{outcome}"')
        if decision.is_granted:
            return
        raise RequestHeldError(
            f"servers ended under request {state.fingerprint}, which is tried at times",
            decision.wait_s,
        )

    def predict_domain(self, state: RequestState) -> str:
        """Return the domain where a request is likely to run, or an empty string."""
        server = self._chooser.choose(state, NO_INPUTS, set())
        return server.domain if server is not None else ""

    def allows_retry(self, state: RequestState) -> bool:
        """Whether the retry budget allows another send of a request."""
        nodes = self._membership.peak_node_count()
        return self._budget.allows(state.service, nodes, boot_time())

    def try_acquire_retry(self, state: RequestState) -> bool:
        """Count a retry if the retry budget allows it; return whether it does."""
        nodes = self._membership.peak_node_count()
        return self._budget.try_acquire(state.service, nodes, boot_time())

    def finish_response(
        self, state: RequestState, response: OpenResponse, *, is_complete: bool
    ) -> None:
        """End a response; keep its connection only if the body was read completely."""
        key = response.server.key
        if is_complete and response.head.status < 500:
            self._record_served(state, response)
        state.response_end = ResponseEnd(
            response.head.framing, response.connection.state_text, is_complete
        )
        self._health.record_ended(key)
        response.place.end()
        if is_complete:
            self._pool.release(key, response.connection)
        else:
            response.connection.close()

    def record_failure(self, server: Server) -> None:
        """Record a failed response in the health of its server."""
        self._health.record_failure(server.key, boot_time())

    def _record_served(self, state: RequestState, response: OpenResponse) -> None:
        self._crash_guard.record_served(
            state.metadata.shared_part_ids, state.fingerprint
        )

    async def require_whole(self, response: OpenResponse) -> None:
        """Check a response without a length whose connection was closed in order.

        Raises `ConnectionLostError` if its server ended with it. One that was leaving
        may end as soon as its last response is whole.
        """
        if response.head.framing is not ResponseFraming.CONNECTION_CLOSE:
            return
        if not self._cluster_view.servers.is_usable(response.server):
            return
        if await self._end_detector.ended_with_response(response.server):
            raise ConnectionLostError(
                f"{response.server.server_id}: the server ended with its response"
            )

    def record_events(self, response: OpenResponse) -> None:
        """Record that a response goes on."""
        self._reach.record_answer(response.server, boot_time())

    def record_interruption(self, state: RequestState, response: OpenResponse) -> None:
        """Record a response that its server broke off."""
        self.record_failure(response.server)
        self._record_interrupted_request(
            state, response.server, response.sent_at, response.first_event_at
        )

    def _record_interrupted_request(
        self,
        state: RequestState,
        server: Server,
        sent_at: float,
        first_event_at: float | None = None,
    ) -> None:
        self._end_detector.record_interruption(
            server,
            InterruptedRequest(
                state.metadata.request_id,
                state.fingerprint,
                state.metadata.shared_part_ids,
                sent_at,
                first_event_at,
                boot_time(),
                state.origin,
            ),
        )

    def record_response_start(
        self, state: RequestState, response: OpenResponse
    ) -> None:
        """Record the latency of a response that has begun as a success."""
        key = response.server.key
        took_s = boot_time() - response.sent_at
        self._health.record_prompt_read(key, state.metadata.prompt_tokens)
        expected_s = estimate_response_s(state)
        self._health.record_success(key, min(10.0, took_s / expected_s), boot_time())

    async def _wait_for_server(
        self, state: RequestState, inputs: StageInputs, excluded_ids: set[str]
    ) -> Server:
        wait_ends_at = boot_time() + min(MAX_SERVER_WAIT_S, max(0.0, state.time_left_s))
        while True:
            self._refuse_if_paused(state)
            server = self._choose_reached(state, inputs, excluded_ids)
            if server is not None:
                return server
            if boot_time() >= wait_ends_at:
                raise RequestRefusedError(
                    "no backend server can accept the request", NO_SERVER_RETRY_AFTER_S
                )
            await asyncio.sleep(SERVER_POLL_INTERVAL_S)

    def _choose_reached(
        self, state: RequestState, inputs: StageInputs, excluded_ids: set[str]
    ) -> Server | None:
        """Return the best server; an unreached one only if there is no other."""
        if not self._reach.has_unreached:
            return self._chooser.choose(state, inputs, excluded_ids)
        unreached_ids = {
            server.server_id
            for server in self._cluster_view.servers.list_usable(state.service)
            if self._reach.is_unreached(server.key)
        }
        if unreached_ids - excluded_ids:
            server = self._chooser.choose(state, inputs, excluded_ids | unreached_ids)
            if server is not None:
                return server
        return self._chooser.choose(state, inputs, excluded_ids)

    def _refuse_if_paused(self, state: RequestState) -> None:
        """Raise `RequestRefusedError` if all servers want no requests for a time."""
        servers = self._cluster_view.servers
        now = boot_time()
        pauses_s = [
            servers.pause_left_s(server, now)
            for server in servers.list_usable(state.service)
            if state.allows_server(server)
        ]
        if pauses_s and min(pauses_s) > MAX_SERVER_WAIT_S:
            raise RequestRefusedError(
                "all servers want no requests for now", min(pauses_s)
            )

    async def _send_to(
        self,
        server: Server,
        state: RequestState,
        inputs: StageInputs,
        last_event_id: bytes,
        head_timeout_s: float | None,
    ) -> OpenResponse:
        if state.sends and not self.try_acquire_retry(state):
            if state.may_have_run:
                raise RequestFailedError("the retry budget is exhausted")
            raise RequestRefusedError(
                "the retry budget is exhausted", NO_SERVER_RETRY_AFTER_S
            )
        connection, place = await self._connect(server, state)
        try:
            self._require_not_held_from(state, server)
        except RequestHeldError:
            self._pool.release(server.key, connection)
            place.end()
            raise
        now = boot_time()
        dispatch = Dispatch(
            server,
            state.deadline_at - now,
            state.account_name,
            state.priority,
            inputs.handles,
            last_event_id or state.metadata.last_event_id,
        )
        if state.may_begin_stream and state.stream_version is None:
            self._stream_versions.record(
                state.metadata.request_id, server.software_version
            )
        if state.sends == 0:
            self._budget.record_request(state.service, now)
        state.sends += 1
        state.servers.append(server.server_id)
        state.server_versions.append(server.software_version)
        self._health.record_sent(server.key, state.metadata.prompt_tokens, now)
        self._reach.record_sent(server.key, now)
        self._chooser.prompt_cache.record_prompt(
            server.key, state.metadata.prompt_parts
        )
        is_open = False
        was_rejected = False
        try:
            head, info = await self._head_reader.send(
                connection, state, dispatch, now, head_timeout_s
            )
            is_open = True
        except RejectedError:
            was_rejected = True
            raise
        finally:
            self._health.end_response_wait(server.key, now)
            self._reach.record_done(server.key, now)
            if not is_open:
                if not connection.is_reusable:
                    connection.close()
                self._health.record_prompt_read(
                    server.key, state.metadata.prompt_tokens
                )
                self._health.record_ended(server.key)
                place.end(was_rejected=was_rejected)
        state.runs += 1
        state.may_have_run = True
        return OpenResponse(server, connection, head, info, now, place)

    async def _connect(
        self, server: Server, state: RequestState
    ) -> tuple[HttpClientConnection, Place]:
        """Return a connection and a place, if the server may still receive work.

        Raises `NotRunError` if it cannot be reached or may not receive the request.
        """
        max_idle_s = 60.0 if state.route.is_repeatable else NON_REPEATABLE_MAX_IDLE_S
        try:
            connection = await self._pool.acquire(
                server.key, server.address, max_idle_s
            )
        except ConnectError as error:
            self._health.record_unreachable(server.key, boot_time())
            raise UnreachableError(str(error)) from error
        reason = ""
        if not await self._limiter.try_acquire(server):
            self._pool.release(server.key, connection)
            raise LimitReachedError("the rate that the server names is reached")
        place = await self._places.acquire(server, max(0.0, state.time_left_s))
        if place is None:
            self._pool.release(server.key, connection)
            raise LimitReachedError("the server is as busy as it bears")
        if not self._cluster_view.may_send(server) or state.time_left_s <= 0:
            reason = "the server is no longer usable or the request has timed out"
        elif not self._chooser.try_acquire_cold_send(server, state, boot_time()):
            reason = "the send limit of the cold server is reached"
        if reason:
            self._pool.release(server.key, connection)
            place.end()
            raise NotRunError(reason)
        return connection, place


def _build_held_error(hold: Hold) -> RequestHeldError:
    causes = ", ".join(sorted(hold.cause_ids))
    what = causes if hold.is_on_request else f"requests with prompt part {causes}"
    return RequestHeldError(
        f"{hold.server_ends} servers ended under {what}", hold.ends_at - boot_time()
    )


__all__ = ("OpenResponse", "ServerSender")
