"""A server's response from its head to its end, and what makes it complete."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.http_client import ConnectionLostError, HttpClientConnection
from persimmonlink_router.http_messages import HttpResponseHead, ResponseFraming
from persimmonlink_router.request_state import ResponseEnd
from persimmonlink_router.server_ends import InterruptedRequest, ReachAfterResponse
from persimmonlink_router.server_places import Place
from persimmonlink_router.servers import Server
from persimmonlink_router.wire_messages import ResponseInfo

if TYPE_CHECKING:
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.rollouts.rollout_book import RolloutBook
    from persimmonlink_router.server_ends import ServerEndDetector
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.server_reach import ServerReach

MAX_LATENCY_RATIO = 10.0  # A response that takes longer counts as one that does.


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
    end_reason : str
        Why a response that only its connection delimits was taken as complete or not.
    """

    server: Server
    connection: HttpClientConnection
    head: HttpResponseHead
    info: ResponseInfo
    sent_at: float
    place: Place
    first_event_at: float | None = None
    end_reason: str = ""


class ResponseCompletion:
    """Ends the responses of servers, and decides which ones are complete.

    Parameters
    ----------
    pool : ConnectionPool
        Gets the connections of complete responses back.
    health : ServerHealth
        Records latency and failures of the servers.
    end_detector : ServerEndDetector
        Finds out which servers ended while they ran requests.
    crash_guard : CrashGuard
        Learns which requests servers have served.
    reach : ServerReach
        Learns which servers answer.
    rollouts : RolloutBook
        Learns the outcomes of requests at services that are moved.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        health: ServerHealth,
        end_detector: ServerEndDetector,
        crash_guard: CrashGuard,
        reach: ServerReach,
        rollouts: RolloutBook,
    ) -> None:
        self._rollouts = rollouts
        self._pool = pool
        self._health = health
        self._end_detector = end_detector
        self._crash_guard = crash_guard
        self._reach = reach

    def finish(
        self, state: RequestState, response: OpenResponse, *, is_complete: bool
    ) -> None:
        """End a response; keep its connection only if the body was read completely."""
        key = response.server.key
        if is_complete and response.head.status < 500:
            self._crash_guard.record_served(
                state.metadata.shared_part_ids, *state.fingerprints
            )
        if _is_failure(response):
            self._rollouts.record_failure(response.server, state.route.name)
        state.response_end = ResponseEnd(
            response.head.framing,
            response.connection.state_text,
            is_complete,
            response.end_reason,
        )
        self._health.record_ended(key)
        response.place.end()
        if is_complete:
            self._pool.release(key, response.connection)
        else:
            response.connection.close()

    async def require_whole(self, response: OpenResponse) -> None:
        """Check a response without a length whose connection was closed in order.

        Raises `ConnectionLostError` unless its server is known to run on: one that
        ended with its response may have broken it off, also if it was leaving.
        """
        if response.head.framing is not ResponseFraming.CONNECTION_CLOSE:
            return
        if response.connection.is_open:
            # It has no body, as its status says, so that no close delimits it.
            return
        reach = await self._end_detector.find_reach_after_response(response.server)
        response.end_reason = reach
        if reach is ReachAfterResponse.NOT_REACHED:
            raise ConnectionLostError(
                f"{response.server.server_id}: the server may have ended with its "
                "response"
            )

    def record_time(self, service: str, time_s: float) -> None:
        """Record how long a server took, or has taken so far, in seconds."""
        self._health.response_times.record(service, time_s)

    def estimate_s(self, state: RequestState) -> float | None:
        """Return the time that a response takes, in seconds, or None if unknown."""
        return self._health.response_times.estimate_s(
            state.service, state.metadata.prompt_tokens
        )

    def typical_time_s(self, service: str) -> float:
        """Return how long servers typically take, in seconds; 0 if unknown."""
        return self._health.response_times.median_s(service) or 0.0

    def late_after_s(self, service: str) -> float | None:
        """Return the time after which a repeat is likely to end sooner, in seconds."""
        return self._health.response_times.late_after_s(service)

    def record_failure(self, server: Server) -> None:
        """Record a failed response in the health of its server."""
        self._health.record_failure(server.key, boot_time())

    def record_events(self, response: OpenResponse) -> None:
        """Record that a response goes on."""
        self._reach.record_answer(response.server, boot_time())

    def record_interruption(self, state: RequestState, response: OpenResponse) -> None:
        """Record a response that its server broke off."""
        self._rollouts.record_failure(response.server, state.route.name)
        self.record_failure(response.server)
        self.record_lost_request(
            state, response.server, response.sent_at, response.first_event_at
        )

    def record_lost_request(
        self,
        state: RequestState,
        server: Server,
        sent_at: float,
        first_event_at: float | None = None,
    ) -> None:
        """Record a request whose server broke off, and have the server checked.

        Parameters
        ----------
        state : RequestState
            The request.
        server : Server
            Server that it was sent to.
        sent_at : float
            Boot time at which it was sent, in seconds.
        first_event_at : float or None
            Boot time of the first event of the response, in seconds; None if none came.
        """
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
                state.exact_fingerprint,
            ),
        )

    def record_start(self, state: RequestState, response: OpenResponse) -> None:
        """Record the latency of a response that has begun as a success."""
        key = response.server.key
        took_s = boot_time() - response.sent_at
        self._rollouts.record_answer(response.server, state.route.name, took_s)
        self._health.record_prompt_read(key, state.metadata.prompt_tokens)
        # The first response of a service is as expected.
        expected_s = self.estimate_s(state) or took_s
        ratio = min(MAX_LATENCY_RATIO, took_s / expected_s) if expected_s else 1.0
        self._health.record_success(key, ratio, boot_time())
        self._health.response_times.record(
            state.service, took_s, state.metadata.prompt_tokens
        )


def _is_failure(response: OpenResponse) -> bool:
    """Whether a server answered with a failure, or with a success of no server."""
    status = response.head.status
    return status >= 500 or (200 <= status < 300 and not response.info.is_sealed)


__all__ = ("OpenResponse", "ResponseCompletion")
