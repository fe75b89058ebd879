"""The HTTP API for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from returns.result import Failure as Err

from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.answer_stream import AnswerStream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_node.entry_discovery import EntryDiscovery
    from persimmonlink_node.http_exchange import Exchange
    from persimmonlink_node.pipeline_request import PipelineRequest, RequestValidator
    from persimmonlink_node.request_service import RequestService
    from persimmonlink_node.settings import LimitSettings


class CallerApi:
    """Handles the HTTP exchanges of callers.

    Parameters
    ----------
    validator : RequestValidator
        Validates requests.
    service : RequestService
        Runs requests and keeps their results.
    entry_discovery : EntryDiscovery
        Lists the entry VMs that callers should use.
    limits : LimitSettings
        Maximum size of a body and interval of chunks.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        validator: RequestValidator,
        service: RequestService,
        entry_discovery: EntryDiscovery,
        limits: LimitSettings,
        clock: Clock,
    ) -> None:
        self._validator = validator
        self._service = service
        self._entry_discovery = entry_discovery
        self._limits = limits
        self._clock = clock

    def refuse_new_requests(self) -> None:
        """Refuse requests with unknown ids from now on; known ids are still served."""
        self._service.refuse_new_requests()

    def answer(self, exchange: Exchange) -> Iterable[bytes] | None:
        """Answer an exchange, or return None if its path is not for callers."""
        parts = exchange.path.strip("/").split("/")
        match (exchange.method, *parts):
            case ("GET", "v1", "entry"):
                domain = exchange.read_query("domain")
                return exchange.send_json(self._entry_discovery.build_answer(domain))
            case ("POST", "v1", "pipelines", name, "requests"):
                return self._run(exchange, unquote(name))
            case ("GET", "v1", "requests", request_id):
                return self._fetch(exchange, unquote(request_id))
            case ("DELETE", "v1", "requests", request_id):
                return self._cancel(exchange, unquote(request_id))
        return None

    def _run(self, exchange: Exchange, pipeline_name: str) -> Iterable[bytes]:
        read = exchange.read_body(self._limits.max_body_bytes)
        validated = read.bind(lambda raw: self._validator.validate(pipeline_name, raw))
        if isinstance(validated, Err):
            return exchange.send_failure(validated.failure())
        request = validated.unwrap()
        if request.body.stream:
            return self._run_streamed(exchange, request)
        outcome = self._service.handle(request, _discard_text)
        if isinstance(outcome, Err):
            failure = outcome.failure()
            return exchange.send_failure(failure, request_id=request.request_id.text)
        return exchange.send_json(outcome.unwrap())

    def _run_streamed(
        self, exchange: Exchange, request: PipelineRequest
    ) -> Iterable[bytes]:
        coalesce_s = self._limits.chunk_coalesce_ms / 1000
        stream = AnswerStream(exchange, self._clock, coalesce_s)

        def forward_text(piece: str) -> None:
            stream.add(piece)
            if stream.is_broken and request.body.repeatable:
                request.cancelled.set()

        outcome = self._service.handle(request, forward_text)
        if not isinstance(outcome, Err):
            stream.finish(outcome.unwrap())
            return []
        failure = outcome.failure()
        if not stream.is_started:
            return exchange.send_failure(failure, request_id=request.request_id.text)
        stream.fail(failure)
        return []

    def _fetch(self, exchange: Exchange, request_id: str) -> Iterable[bytes]:
        outcome = self._service.fetch(request_id)
        if isinstance(outcome, Err):
            return exchange.send_failure(outcome.failure(), request_id=request_id)
        return exchange.send_json(outcome.unwrap())

    def _cancel(self, exchange: Exchange, request_id: str) -> Iterable[bytes]:
        if self._service.cancel(request_id):
            return exchange.send_json({"request_id": request_id, "cancelled": True})
        failure = Failure(ResultCode.ANSWER_NOT_HERE, request_id, RunState.UNKNOWN)
        return exchange.send_failure(failure, request_id=request_id)


def _discard_text(_piece: str) -> None:
    pass


__all__ = ("CallerApi",)
