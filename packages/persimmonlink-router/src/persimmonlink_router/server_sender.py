"""Sends a request to a chosen server and reads the head of the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.byte_budget import ByteBudget
from persimmonlink_router.client_pressure.memory_plan import MAX_RESPONSE_BYTES
from persimmonlink_router.held_requests import HeldRequests
from persimmonlink_router.http_client import (
    ConnectError,
    HttpClientConnection,
)
from persimmonlink_router.request_state import (
    NoReachError,
    RequestFailedError,
    RequestHeldError,
    RequestRefusedError,
)
from persimmonlink_router.response_completion import OpenResponse, ResponseCompletion
from persimmonlink_router.response_head_reader import (
    NotRunError,
    RejectedError,
    ResponseHeadReader,
)
from persimmonlink_router.server_chooser import (
    NO_INPUTS,
    StageInputs,
)
from persimmonlink_router.version_pinning import VersionPinning
from persimmonlink_router.wire_messages import Dispatch

if TYPE_CHECKING:
    from collections.abc import Collection

    from persimmonlink_router.client_pressure.memory_plan import MemoryPlan
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.send_limits import RetryBudget
    from persimmonlink_router.server_chooser import ServerChooser
    from persimmonlink_router.server_ends import ServerEndDetector
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import Place, ServerPlaces
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stream_version_exchange import StreamVersionExchange
    from persimmonlink_router.wire_messages import Wire

MAX_SERVER_WAIT_S = 0.15  # Longest wait for a server that may receive the request.
SERVER_POLL_INTERVAL_S = 0.02  # Interval of looking for such a server.
NO_SERVER_RETRY_AFTER_S = 0.3  # Retry-After if no server accepts a request.
MAX_REJECTIONS = 4  # A request that more servers than this reject is refused.
# Largest size of all responses that are buffered, where memory doesn't bound it more.
MAX_BUFFERED_BYTES = MAX_RESPONSE_BYTES
# Longest idle time of connections that carry requests which must not run twice.
NON_REPEATABLE_MAX_IDLE_S = 2.0


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
        Counts permits, and requests to services that are moved.
    reach : ServerReach
        Which servers this node reaches.
    places : ServerPlaces
        Keeps brittle servers from rejecting.
    plan : MemoryPlan
        What responses may take together.
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
        plan: MemoryPlan,
    ) -> None:
        self._chooser = chooser
        self._cluster_view = cluster_view
        self._membership = membership
        self._pool = pool
        self._health = health
        self._budget = budget
        self._limiter = limiter
        self._metrics = metrics
        self.version_pinning = VersionPinning(cluster_view, stream_versions)
        self.held_requests = HeldRequests(cluster_view, crash_guard, metrics)
        self._reach = reach
        self._places = places
        self.responses = ResponseCompletion(
            pool, health, end_detector, crash_guard, reach, cluster_view.rollouts
        )
        self._head_reader = ResponseHeadReader(
            cluster_view,
            pool,
            wire,
            health,
            limiter,
            reach,
            places,
            self.responses.record_lost_request,
        )
        self.body_budget = ByteBudget(plan.response_bytes, plan.small_response_bytes)

    async def send(
        self,
        state: RequestState,
        inputs: StageInputs = NO_INPUTS,
        last_event_id: bytes = b"",
        head_timeout_s: float | None = None,
        avoided_ids: Collection[str] = (),
    ) -> OpenResponse:
        """Send a request to the best server, and to the next one if it is rejected.

        The caller must end the response with `responses.finish`.

        Parameters
        ----------
        state : RequestState
            The request.
        inputs : StageInputs
            Stage results that the server reads.
        last_event_id : bytes
            Event after which a stream resumes; empty to use the client's own.
        head_timeout_s : float or None
            Wait for the response head, in seconds, after which another server is asked
            if one may be.
        avoided_ids : collection of str
            Servers that it is not sent to.

        Raises
        ------
        RequestRefusedError
            No server accepted the request on this send.
        RequestFailedError
            A server may have run the request, and there is no response.
        """
        excluded_ids = set(avoided_ids)
        unreachable_ids: set[str] = set()
        self.held_requests.require_allowed(state)
        self.require_reach(state)
        await self.held_requests.require_trial_permit(state)
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
                if len(excluded_ids) > MAX_REJECTIONS + len(avoided_ids):
                    raise RequestRefusedError(
                        "too many servers rejected the request",
                        NO_SERVER_RETRY_AFTER_S,
                    ) from error

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

    def _may_ask_another(
        self, server: Server, state: RequestState, inputs: StageInputs
    ) -> bool:
        """Whether a request may be sent to another server than one that is late."""
        if not self.allows_retry(state):
            return False
        other = self._choose_reached(state, inputs, {server.server_id})
        return other is not None

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
            self.held_requests.require_allowed_at(state, server)
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
        self._record_send(server, state, now)
        is_open = False
        was_rejected = False
        try:
            head, info = await self._head_reader.send(
                connection,
                state,
                dispatch,
                now,
                head_timeout_s,
                lambda: self._may_ask_another(server, state, inputs),
            )
            is_open = True
        except RejectedError:
            was_rejected = True
            self._health.record_rejection(server.key, boot_time())
            raise
        except RequestFailedError:
            self._cluster_view.rollouts.record_failure(server, state.route.name)
            raise
        except asyncio.CancelledError:
            self._cluster_view.rollouts.record_given_up(
                server, state.route.name, boot_time() - now
            )
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

    def _record_send(self, server: Server, state: RequestState, now: float) -> None:
        """Record a send of a request to a server at a boot time, in seconds."""
        self.version_pinning.record_send(state, server)
        rollouts = self._cluster_view.rollouts
        if rollouts.is_moving(state.service):
            side = "new" if rollouts.is_new(server) else "old"
            labels = f'service="{state.service}",side="{side}"'
            self._metrics.count("rollout_requests_total", labels)
        if state.sends == 0:
            self._budget.record_request(state.service, now)
        state.sends += 1
        state.last_sent_at = now
        state.servers.append(server.server_id)
        state.server_versions.append(server.software_version)
        state.send_bases.append(self._cluster_view.describe_send(server))
        self._health.record_sent(server.key, state.metadata.prompt_tokens, now)
        self._reach.record_sent(server.key, now)
        self._chooser.prompt_cache.record_prompt(
            server.key, state.metadata.prompt_parts
        )

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
        try:
            place = await self._acquire_place(server, state)
        except NotRunError:
            self._pool.release(server.key, connection)
            raise
        except BaseException:
            # The client has left, or the node stops, while a peer was asked.
            connection.close()
            raise
        if not connection.is_reusable:
            place.end()
            raise NotRunError("the server closed the connection before the send")
        return connection, place

    async def _acquire_place(self, server: Server, state: RequestState) -> Place:
        """Return a place; raise `NotRunError` if the server may get no work now."""
        if not await self._limiter.try_acquire(server):
            raise LimitReachedError("the rate that the server names is reached")
        place = await self._places.acquire(server, max(0.0, state.time_left_s))
        if place is None:
            raise LimitReachedError("the server is as busy as it bears")
        reason = ""
        if not self._cluster_view.may_send(server) or state.time_left_s <= 0:
            reason = "the server is no longer usable or the request has timed out"
        elif not self._chooser.try_acquire_cold_send(server, state, boot_time()):
            reason = "the send limit of the cold server is reached"
        if reason:
            place.end()
            raise NotRunError(reason)
        return place


__all__ = ("ServerSender",)
