"""Chooses a server for a request, sends it there and reads the head of the answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import AnswerInfo, Dispatch
from persimmonlink_router.http_client import (
    ClientExchange,
    ConnectError,
    ConnectionLostError,
)
from persimmonlink_router.http_messages import HttpHead
from persimmonlink_router.request_state import FailedError, RefusedError
from persimmonlink_router.server_chooser import (
    NO_INPUTS,
    StageInputs,
    expect_answer_s,
)
from persimmonlink_router.servers import Server

if TYPE_CHECKING:
    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.calls import Wire
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.fleet import Fleet
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.send_limits import RetryBudget
    from persimmonlink_router.server_chooser import ServerChooser
    from persimmonlink_router.server_health import ServerHealth

SERVER_WAIT_S = 0.15  # Longest wait for a server that may take the request.
POLL_S = 0.02  # How often it is looked for one meanwhile.
RETRY_AFTER_S = 0.3  # When to come back if no server can take a request.
MAX_REJECTIONS = 4  # Servers that may reject a request before it is refused.
REJECTION_BODY_S = 0.2  # Longest wait for the rest of a rejection.
MAX_REJECTION_BYTES = 65536  # Most bytes of a rejection's body.
UNSAFE_IDLE_S = 2.0  # Idle life of connections for requests that run at most once.


@dataclass(slots=True)
class OpenAnswer:
    """An answer whose head has been read and whose body is still to come.

    Parameters
    ----------
    server : Server
        Where it comes from.
    connection : ClientExchange
        What it comes over.
    head : HttpHead
        Its status and headers.
    info : AnswerInfo
        What the head says.
    sent_at : float
        Boot time at which the request was sent, in seconds.
    """

    server: Server
    connection: ClientExchange
    head: HttpHead
    info: AnswerInfo
    sent_at: float


class NotRunError(Exception):
    """A server did not run a request: it may be sent elsewhere."""


class ServerSender:
    """Sends requests to servers within the limits of all nodes.

    Parameters
    ----------
    chooser : ServerChooser
        Chooses the servers.
    beliefs : Beliefs
        Configuration and servers.
    fleet : Fleet
        The other nodes.
    pool : ConnectionPool
        Kept connections.
    wire : Wire
        Headers of requests and answers.
    health : ServerHealth
        Speed and failures of the servers.
    budget : RetryBudget
        Second sends.
    """

    def __init__(
        self,
        chooser: ServerChooser,
        beliefs: Beliefs,
        fleet: Fleet,
        pool: ConnectionPool,
        wire: Wire,
        health: ServerHealth,
        budget: RetryBudget,
    ) -> None:
        self._chooser = chooser
        self._beliefs = beliefs
        self._fleet = fleet
        self._pool = pool
        self._wire = wire
        self._health = health
        self._budget = budget

    async def send(
        self,
        state: RequestState,
        inputs: StageInputs = NO_INPUTS,
        last_event_id: bytes = b"",
        answer_limit_s: float | None = None,
    ) -> OpenAnswer:
        """Send a request to the best server until one takes it.

        Raises `RefusedError` if none does, and `FailedError` if a server may have run
        it and gave no answer. The caller must close the answer.
        """
        rejected: set[str] = set()
        while True:
            server = await self._wait_for_server(state, inputs, rejected)
            try:
                return await self._send_to(
                    server, state, inputs, last_event_id, answer_limit_s
                )
            except NotRunError as error:
                rejected.add(server.server_id)
                logger.bind(
                    request=state.call.request_id,
                    server=server.server_id,
                    reason=str(error),
                ).info("request.rejected")
                if len(rejected) > MAX_REJECTIONS:
                    raise RefusedError(
                        "servers reject the request", RETRY_AFTER_S
                    ) from error

    def expect_domain(self, state: RequestState) -> str:
        """Return the failure domain in which a request is likely to run."""
        server = self._chooser.choose(state, NO_INPUTS, set())
        return server.domain if server is not None else ""

    def has_retry(self, state: RequestState) -> bool:
        """Whether the budget would allow another send of a request."""
        nodes = self._fleet.count_nodes()
        return self._budget.allows(state.service, nodes, boot_time())

    def take_retry(self, state: RequestState) -> bool:
        """Whether the budget allows another send of a request; counts it if so."""
        nodes = self._fleet.count_nodes()
        return self._budget.take(state.service, nodes, boot_time())

    def end(self, state: RequestState, answer: OpenAnswer, *, is_whole: bool) -> None:
        """End an answer: keep its connection if it was read whole."""
        key = answer.server.key
        self._health.end(key)
        if is_whole:
            self._pool.release(key, answer.connection)
        else:
            answer.connection.close()

    def note_failure(self, server: Server) -> None:
        """Count a failed answer against a server."""
        self._health.note_failure(server.key, boot_time())

    def note_first_event(self, state: RequestState, answer: OpenAnswer) -> None:
        """Count the beginning of an answer in a server's favour."""
        key = answer.server.key
        took_s = boot_time() - answer.sent_at
        self._health.read_prompt(key, state.call.prompt_tokens)
        expected_s = expect_answer_s(state)
        self._health.note_success(key, min(10.0, took_s / expected_s), boot_time())

    async def _wait_for_server(
        self, state: RequestState, inputs: StageInputs, rejected: set[str]
    ) -> Server:
        waited_until = boot_time() + min(SERVER_WAIT_S, max(0.0, state.time_left_s))
        while True:
            server = self._chooser.choose(state, inputs, rejected)
            if server is not None:
                return server
            if boot_time() >= waited_until:
                raise RefusedError("no server can take the request", RETRY_AFTER_S)
            await asyncio.sleep(POLL_S)

    async def _send_to(
        self,
        server: Server,
        state: RequestState,
        inputs: StageInputs,
        last_event_id: bytes,
        answer_limit_s: float | None,
    ) -> OpenAnswer:
        if state.sends and not self.take_retry(state):
            if state.may_have_run:
                raise FailedError("the retry budget is used up")
            raise RefusedError("the retry budget is used up", RETRY_AFTER_S)
        connection = await self._connect(server, state)
        now = boot_time()
        dispatch = Dispatch(
            server,
            state.deadline_at - now,
            state.account_name,
            state.priority,
            inputs.handles,
            last_event_id or state.call.last_event_id,
        )
        if state.sends == 0:
            self._budget.note_request(state.service, now)
        state.sends += 1
        state.servers.append(server.server_id)
        self._health.start(server.key, state.call.prompt_tokens, now)
        self._chooser.cache.note(server.key, state.call.prompt_parts)
        is_open = False
        try:
            head, info = await self._ask(connection, state, dispatch, answer_limit_s)
            is_open = True
        finally:
            self._health.note_answered(server.key, now)
            if not is_open:
                if not connection.is_reusable:
                    connection.close()
                self._health.read_prompt(server.key, state.call.prompt_tokens)
                self._health.end(server.key)
        state.runs += 1
        state.may_have_run = True
        return OpenAnswer(server, connection, head, info, now)

    async def _connect(self, server: Server, state: RequestState) -> ClientExchange:
        """Return a connection, if the server may still get the request."""
        max_idle_s = 60.0 if state.route.is_repeatable else UNSAFE_IDLE_S
        try:
            connection = await self._pool.acquire(
                server.key, server.address, max_idle_s
            )
        except ConnectError as error:
            self._health.note_dead(server.key, boot_time())
            raise NotRunError(str(error)) from error
        reason = ""
        if not self._beliefs.may_send(server) or state.time_left_s <= 0:
            reason = "the server may no longer get work"
        elif not self._chooser.take_cold(server, state, boot_time()):
            reason = "the server is cold and has had its share"
        if reason:
            self._pool.release(server.key, connection)
            raise NotRunError(reason)
        return connection

    async def _ask(
        self,
        connection: ClientExchange,
        state: RequestState,
        dispatch: Dispatch,
        answer_limit_s: float | None,
    ) -> tuple[HttpHead, AnswerInfo]:
        """Send the request and read the head of the answer.

        Raises `NotRunError` only if the server states that it did not run it.
        """
        server = dispatch.server
        request = state.exchange.request
        headers = self._wire.make_headers(request, dispatch)
        try:
            connection.send(request.method, request.target, headers, request.body)
            head, info = await self._read_head(connection, state, answer_limit_s)
        except (ConnectionLostError, TimeoutError) as error:
            state.runs += 1
            state.may_have_run = True
            self._health.note_failure(server.key, boot_time())
            if isinstance(error, TimeoutError):
                raise FailedError(f"{server.server_id}: silent", 504) from error
            raise FailedError(f"{server.server_id}: {error}") from error
        if info.was_not_run or info.is_other_server:
            await self._keep_after_rejection(connection, server)
            raise NotRunError(f"status {head.status}")
        return head, info

    async def _keep_after_rejection(
        self, connection: ClientExchange, server: Server
    ) -> None:
        try:
            async with asyncio.timeout(REJECTION_BODY_S):
                await connection.read_body(MAX_REJECTION_BYTES)
        except (ConnectionLostError, TimeoutError):
            # The rejection holds; only the connection is lost.
            return
        self._pool.release(server.key, connection)

    async def _read_head(
        self,
        connection: ClientExchange,
        state: RequestState,
        answer_limit_s: float | None,
    ) -> tuple[HttpHead, AnswerInfo]:
        limit_s = state.time_left_s
        if answer_limit_s is not None:
            limit_s = min(limit_s, answer_limit_s)
        async with asyncio.timeout(limit_s):
            while True:
                head = await connection.read_head()
                info = self._wire.read_answer(head)
                is_stray = info.request_id not in ("", state.call.request_id)
                if not is_stray:
                    return head, info
                logger.bind(
                    request=state.call.request_id, other=info.request_id
                ).warning("answer.stray")
                await connection.read_body(1 << 20)
                connection.skip_answer()


__all__ = ("OpenAnswer", "ServerSender")
