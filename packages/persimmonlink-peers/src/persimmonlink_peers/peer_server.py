"""gRPC service that a node offers to its peers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError
from loguru import logger

from persimmonlink_model.result_code import ResultCode
from persimmonlink_peers.codec import CODE_BY_STATUS, MessagePackCodec
from persimmonlink_peers.connection_settings import build_server_configuration
from persimmonlink_peers.grpc_server import GrpcServer
from persimmonlink_peers.message_receiver import MessageReceiver

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from persimmonlink_peers.message_receiver import MessageMemory

SERVICE_NAME = "persimmonlink.Peer"
# Longer than the interval and timeout of the client side, which detects a dead
# connection first.
PING_INTERVAL_S = 20.0
PING_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 0.1  # Longest wait for calls that were cancelled.
POLL_INTERVAL_S = 0.02  # Interval of checking whether calls and connections have ended.


def build_method_path(request_type: type) -> str:
    """Return the gRPC path of the method for a message type."""
    return f"/{SERVICE_NAME}/{request_type.__name__}"


class PeerServer:
    """Serves one unary method for each registered message type.

    Parameters
    ----------
    on_invalid : callable
        Called with the result code of each rejected message.
    memory : MessageMemory or None
        Bounds the bytes of messages that have arrived in part; None for no bound.
    max_connections : int or None
        Most connections at once; None for no limit.
    log_invalid : callable
        Called with the code and the reason of each rejected message.
    """

    def __init__(
        self,
        on_invalid: Callable[[ResultCode], None],
        memory: MessageMemory | None = None,
        max_connections: int | None = None,
        log_invalid: Callable[[ResultCode, str], None] | None = None,
    ) -> None:
        self._on_invalid = on_invalid
        self._log_invalid = log_invalid or _log_invalid
        self._max_connections = max_connections
        self._codec = MessagePackCodec()
        self._receiver = MessageReceiver(self._codec, memory)
        self._handler_by_path: dict[str, Handler] = {}
        self._server: GrpcServer | None = None
        self._call_count = 0

    def register(
        self,
        request_type: type,
        reply_type: type,
        handle: Callable[[Any], Awaitable[Any]],
    ) -> None:
        """Register the handler of a message type; `handle` runs on the control loop.

        Must be called before `start`. The message type must have a `sender` field.
        """

        async def serve(stream: Any) -> None:
            message = await self._receive(stream, request_type)
            if message is None:
                return
            self._call_count += 1
            try:
                await stream.send_message(await handle(message))
                await stream.send_trailing_metadata()
            finally:
                self._call_count -= 1

        self._handler_by_path[build_method_path(request_type)] = Handler(
            serve, Cardinality.UNARY_UNARY, request_type, reply_type
        )

    def register_stream(
        self,
        request_type: type,
        part_type: type,
        handle: Callable[[Any, Callable[[Any], Awaitable[None]]], Awaitable[None]],
    ) -> None:
        """Register the handler of a message type whose reply has several parts.

        `handle` gets the message and a function that sends a part. It is cancelled if
        the peer leaves.
        """

        async def serve(stream: Any) -> None:
            message = await self._receive(stream, request_type)
            if message is None:
                return
            self._call_count += 1
            try:
                await handle(message, stream.send_message)
                await stream.send_trailing_metadata()
            finally:
                self._call_count -= 1

        self._handler_by_path[build_method_path(request_type)] = Handler(
            serve, Cardinality.UNARY_STREAM, request_type, part_type
        )

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path, as grpclib requires."""
        return self._handler_by_path

    async def start(self, host: str, port: int) -> None:
        """Start to listen for peers."""
        settings = build_server_configuration(PING_INTERVAL_S, PING_TIMEOUT_S)
        self._server = GrpcServer(
            [self],
            codec=self._codec,
            config=settings,
            max_connections=self._max_connections,
        )
        await self._server.start(host, port)

    async def finish(self, timeout_s: float) -> None:
        """Send the replies to the calls in progress, then stop.

        Parameters
        ----------
        timeout_s : float
            Longest wait for these calls, and for peers to read the replies, in seconds;
            the other calls are cancelled.
        """
        server = self._server
        if server is None:
            return
        ends_at = time.monotonic() + timeout_s
        await _wait_while(lambda: self._call_count > 0, ends_at)
        server.close()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await server.wait_closed()
        except TimeoutError:
            logger.bind(calls=self._call_count).info("peers.not_closed")
        server.end_connections()
        await _wait_while(lambda: server.has_connections, ends_at)
        server.close_connections()

    async def stop(self) -> None:
        """Stop listening, cancel the calls in progress and close all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server.close_connections()
        await self._server.wait_closed()

    async def _receive(self, stream: Any, request_type: type) -> Any:
        """Return the message of a call, or None if the call has none."""
        try:
            message = await self._receiver.receive(stream, request_type)
        except GRPCError as error:
            code = CODE_BY_STATUS.get(error.status, ResultCode.PEER_MESSAGE_INVALID)
            self._report_invalid(code, str(error.message))
            raise
        if self._server is not None and message is not None:
            self._server.record_message(stream.peer.addr())
        return message

    def _report_invalid(self, code: ResultCode, detail: str) -> None:
        self._log_invalid(code, detail)
        self._on_invalid(code)


def _log_invalid(code: ResultCode, detail: str) -> None:
    """Log a rejected message."""
    logger.warning("result code {}: rejected peer message: {}", code.value, detail)


async def _wait_while(is_waiting: Callable[[], bool], ends_at: float) -> None:
    """Wait until a condition ends, at most until a time of the monotonic clock."""
    while is_waiting() and time.monotonic() < ends_at:
        await asyncio.sleep(POLL_INTERVAL_S)


__all__ = ("PeerServer", "build_method_path")
