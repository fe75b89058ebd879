"""Serves peers that fetch answers, forward requests or transfer results."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure as Err

from persimmonlink_model.result_code import ResultCode
from persimmonlink_node.kept_result_transfer import to_kept_result
from persimmonlink_peers.answer_messages import (
    AnswerState,
    FetchAnswer,
    FetchedAnswer,
    ForwardRequest,
    HandOverResults,
    HandOverResultsReply,
)

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.node_state import NodeIdentity
    from persimmonlink_node.outcomes import Outcome
    from persimmonlink_node.pipeline_request import RequestValidator
    from persimmonlink_node.request_service import RequestService
    from persimmonlink_peers.peer_server import PeerServer


class AnswerServer:
    """Handles the messages of peers about this node's requests and results.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    service : RequestService
        Runs this node's requests and keeps their results.
    validator : RequestValidator
        Validates forwarded requests.
    server : PeerServer
        Receives the messages of peers.
    clock : Clock
        Source of monotonic time.
    threads : int
        Maximum number of forwarded requests that run at once.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        service: RequestService,
        validator: RequestValidator,
        server: PeerServer,
        clock: Clock,
        threads: int,
    ) -> None:
        self._identity = identity
        self._service = service
        self._validator = validator
        self._clock = clock
        self._executor = ThreadPoolExecutor(threads, "forwarded")
        server.register(FetchAnswer, FetchedAnswer, self._handle_fetch)
        server.register(ForwardRequest, FetchedAnswer, self._handle_forwarded)
        server.register(HandOverResults, HandOverResultsReply, self._handle_transfer)

    async def _handle_fetch(self, message: FetchAnswer) -> FetchedAnswer:
        if message.incarnation not in ("", self._identity.incarnation):
            return FetchedAnswer(AnswerState.OTHER_INCARNATION)
        return _to_reply(
            self._service.fetch_local(message.request_id, message.body_digest)
        )

    async def _handle_forwarded(self, message: ForwardRequest) -> FetchedAnswer:
        if message.incarnation != self._identity.incarnation:
            return FetchedAnswer(AnswerState.OTHER_INCARNATION)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._run_forwarded, message)

    def _run_forwarded(self, message: ForwardRequest) -> FetchedAnswer:
        raw = msgspec.json.encode(message.body)
        validated = self._validator.validate(message.pipeline_name, raw)
        if isinstance(validated, Err):
            return FetchedAnswer(AnswerState.FINISHED, failure=validated.failure())
        return _to_reply(self._service.handle(validated.unwrap(), _discard_text))

    async def _handle_transfer(self, message: HandOverResults) -> HandOverResultsReply:
        now = self._clock.monotonic()
        results = [to_kept_result(transferred, now) for transferred in message.results]
        return HandOverResultsReply(self._service.import_results(results))


def _to_reply(outcome: Outcome) -> FetchedAnswer:
    if not isinstance(outcome, Err):
        return FetchedAnswer(AnswerState.FINISHED, outcome.unwrap())
    failure = outcome.failure()
    if failure.code is ResultCode.ANSWER_NOT_HERE:
        return FetchedAnswer(AnswerState.NOTHING)
    if failure.code is ResultCode.STILL_RUNNING:
        return FetchedAnswer(AnswerState.RUNNING, failure=failure)
    return FetchedAnswer(AnswerState.FINISHED, failure=failure)


def _discard_text(_piece: str) -> None:
    pass


__all__ = ("AnswerServer",)
