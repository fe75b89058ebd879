"""Answers clients: finds the route, checks the key, and sees a request to its end."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import WireFormatError
from persimmonlink_router.client_returns import ClientReturns
from persimmonlink_router.configuration import RequestKind
from persimmonlink_router.http_server import ClientLeftError
from persimmonlink_router.plain_relay import relay_plain
from persimmonlink_router.request_state import (
    FailedError,
    RefusedError,
    RequestState,
)
from persimmonlink_router.stream_relay import relay_stream

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.calls import Wire
    from persimmonlink_router.configuration import Route
    from persimmonlink_router.http_server import Exchange
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.server_sender import ServerSender
    from persimmonlink_router.stage_link import StageLink

NO_CONFIGURATION_RETRY_S = 0.5  # When to come back to a node that knows nothing yet.
RETRY_SPREAD = 0.4  # Part by which times to return differ, against a herd.


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """An answer that the router itself gives.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Why, for the client and the log.
    retry_after_s : float or None
        When to come back, in seconds.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class RequestService:
    """The handler of clients' requests.

    Parameters
    ----------
    beliefs : Beliefs
        Configuration and servers.
    wire : Wire
        Headers of requests.
    sender : ServerSender
        Sends requests to servers.
    stages : StageLink
        Runs the stages of requests.
    metrics : RouterMetrics
        Counters and histograms.
    rng : random.Random
        Spreads times to return and splits by weight.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        wire: Wire,
        sender: ServerSender,
        stages: StageLink,
        metrics: RouterMetrics,
        rng: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._wire = wire
        self._sender = sender
        self._stages = stages
        self._metrics = metrics
        self._rng = rng
        self._returns = ClientReturns()

    def forget_other_routes(self, names: Collection[str]) -> None:
        """Forget what was learned of routes that are gone."""
        self._returns.forget_other(names)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        arrived_at = boot_time()
        opened = self._open(exchange, arrived_at)
        if isinstance(opened, OwnAnswer):
            await self._answer(exchange, "", opened)
            self._log(None, exchange, opened.status, opened.reason, arrived_at)
            return
        state = opened
        status = 0
        reason = "left"
        try:
            status, reason = await self._serve(state)
        except ClientLeftError:
            reason = "left"
        finally:
            if state.has_returned:
                self._metrics.count("returned_requests_total", f'status="{status}"')
            self._metrics.record_request(
                state.route.name, state.account_name, status, boot_time() - arrived_at
            )
            self._log(state, exchange, status, reason, arrived_at)

    async def _serve(self, state: RequestState) -> tuple[int, str]:
        """Serve a request; return the status of its answer and why."""
        exchange = state.exchange
        try:
            if state.route.kind is RequestKind.STREAM:
                await relay_stream(state, self._sender, self._stages)
            else:
                await relay_plain(state, self._sender)
            return 200, "answered"
        except RefusedError as error:
            answer = OwnAnswer(503, str(error), error.retry_after_s)
        except FailedError as error:
            answer = OwnAnswer(error.status, str(error))
        except (ClientLeftError, h11.LocalProtocolError):
            raise
        except Exception:
            # A bug: the request may have run, and its client must not wait.
            logger.bind(request=state.call.request_id).exception("request.bug")
            answer = OwnAnswer(500, "internal error")
        if exchange.has_started:
            exchange.abort()
            return 0, f"broken off: {answer.reason}"
        await self._answer(exchange, state.call.request_id, answer)
        return answer.status, answer.reason

    def _open(self, exchange: Exchange, arrived_at: float) -> RequestState | OwnAnswer:
        configuration = self._beliefs.configuration
        if configuration is None:
            return OwnAnswer(503, "no configuration yet", NO_CONFIGURATION_RETRY_S)
        request = exchange.request
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return OwnAnswer(404, "no route")
        try:
            call = self._wire.read_call(request)
        except WireFormatError as error:
            return OwnAnswer(400, str(error))
        account = None
        if configuration.has_accounts and not route.is_public:
            account = configuration.account_by_key.get(call.key)
            if account is None:
                return OwnAnswer(401, "unknown key")
        service = self._choose_service(route)
        return RequestState(
            exchange,
            call,
            route,
            service,
            account,
            arrived_at,
            has_returned=self._returns.note(route.name, call.deadline_s),
        )

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service

    async def _answer(
        self, exchange: Exchange, request_id: str, answer: OwnAnswer
    ) -> None:
        headers = [
            (b"content-type", b"text/plain"),
            *self._wire.make_own_headers(request_id),
        ]
        if answer.retry_after_s is not None:
            spread = 1 + RETRY_SPREAD * self._rng.random()
            seconds = math.ceil(answer.retry_after_s * spread * 100) / 100
            headers.append((b"retry-after", f"{seconds:.2f}".encode()))
        await exchange.answer(answer.status, headers, answer.reason.encode())

    def _log(
        self,
        state: RequestState | None,
        exchange: Exchange,
        status: int,
        reason: str,
        arrived_at: float,
    ) -> None:
        took_s = round(boot_time() - arrived_at, 3)
        configuration = self._beliefs.configuration
        version = configuration.version if configuration is not None else 0
        if state is None:
            logger.bind(
                host=exchange.request.host,
                path=exchange.request.path[:80],
                status=status,
                reason=reason,
                version=version,
            ).info("request.refused")
            return
        first = state.first_event_s
        prediction = state.prediction_s
        logger.bind(
            request=state.call.request_id,
            route=state.route.name,
            service=state.service,
            account=state.account_name,
            status=status,
            reason=reason,
            took_s=took_s,
            has_returned=state.has_returned,
            first_event_s=None if first is None else round(first, 3),
            predicted_s=None if prediction is None else round(prediction, 3),
            sends=state.sends,
            servers=state.servers,
            may_have_run=state.may_have_run,
            version=version,
            store_age_s=round(boot_time() - self._beliefs.contact_at, 2),
        ).info("request.done")


__all__ = ("OwnAnswer", "RequestService")
