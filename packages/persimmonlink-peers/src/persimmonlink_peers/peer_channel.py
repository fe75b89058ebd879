"""gRPC channels to peers, with keepalive pings and a timeout on each call."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from grpclib.client import UnaryStreamMethod, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error
from loguru import logger
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_peers.codec import CODE_BY_STATUS, MessagePackCodec
from persimmonlink_peers.connection_settings import build_connection_configuration
from persimmonlink_peers.grpc_channel import GrpcChannel
from persimmonlink_peers.peer_server import build_method_path

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 1.0
# What a call raises on a connection that can't be used any more.
CONNECTION_ERRORS = (
    TimeoutError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    OSError,
)


class PeerStreamError(Exception):
    """A peer did not reply to the end.

    Parameters
    ----------
    failure : Failure
        What went wrong.
    was_sent : bool
        Whether the peer may have got the message.
    """

    def __init__(self, failure: Failure, *, was_sent: bool) -> None:
        super().__init__(failure.detail)
        self.failure = failure
        self.was_sent = was_sent


class PeerChannel:
    """Channel to one peer, replaced by a new one after a failed call.

    A connection that has stopped responding is thus not used again. Calls in progress
    on a replaced connection continue until they end or time out.

    Parameters
    ----------
    address : str
        `IP:PORT` of the peer's gRPC service.
    ping_interval_s : float
        Time between pings, in seconds.
    ping_timeout_s : float
        Timeout for the reply to a ping, in seconds.
    """

    def __init__(
        self,
        address: str,
        ping_interval_s: float = PING_INTERVAL_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._config = build_connection_configuration(ping_interval_s, ping_timeout_s)
        self._channel: GrpcChannel | None = None
        self._calls_by_channel: Counter[GrpcChannel] = Counter()

    async def call(
        self, message: Any, reply_type: type, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply.

        Parameters
        ----------
        message : object
            Frozen data class with a `sender` field.
        reply_type : type
            Type of the reply.
        timeout_s : float
            Timeout of the call, in seconds.

        Returns
        -------
        Result of object
            Fails with `PEER_UNREACHABLE`, or with `PEER_MESSAGE_INVALID` or
            `PEER_VERSION_UNKNOWN` if either side cannot read the other's message or
            the peer does not offer the method. The peer may have handled the message
            all the same.
        """
        channel = self._get_channel()
        method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            channel, build_method_path(type(message)), type(message), reply_type
        )
        self._calls_by_channel[channel] += 1
        try:
            return Success(await method(message, timeout=timeout_s))
        except Exception as error:
            return Err(self._end_call(channel, error))
        finally:
            self._release_channel(channel)

    async def stream(
        self, message: Any, reply_type: type, timeout_s: float
    ) -> AsyncGenerator[Any]:
        """Send a message, and yield the parts of its reply.

        The peer waits while they are not read. Closing the generator cancels the call
        at the peer. Raises `PeerStreamError` if the reply does not end in order.

        Parameters
        ----------
        message : object
            Frozen data class with a `sender` field.
        reply_type : type
            Type of the parts.
        timeout_s : float
            Timeout of the whole call, in seconds.
        """
        channel = self._get_channel()
        method: UnaryStreamMethod[Any, Any] = UnaryStreamMethod(
            channel, build_method_path(type(message)), type(message), reply_type
        )
        self._calls_by_channel[channel] += 1
        was_sent = False
        try:
            async with method.open(timeout=timeout_s) as stream:
                await stream.send_request()
                was_sent = True
                await stream.send_message(message, end=True)
                async for reply in stream:
                    yield reply
        except Exception as error:
            failure = self._end_call(channel, error)
            raise PeerStreamError(failure, was_sent=was_sent) from error
        finally:
            self._release_channel(channel)

    @property
    def is_open(self) -> bool:
        """Whether there is a connection that the next call will use."""
        return self._channel is not None

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _release_channel(self, channel: GrpcChannel) -> None:
        self._calls_by_channel[channel] -= 1
        if self._calls_by_channel[channel]:
            return
        del self._calls_by_channel[channel]
        if channel is not self._channel:
            channel.close()

    def _end_call(self, channel: GrpcChannel, error: Exception) -> Failure:
        """Return why a call failed; replace its connection unless that replied."""
        detail = f"{self.address}: {type(error).__name__}: {error}"
        code = ResultCode.PEER_UNREACHABLE
        if isinstance(error, GRPCError):
            code = CODE_BY_STATUS.get(error.status, code)
            logger.warning("result code {}: peer call failed: {}", code.value, detail)
            return Failure(code, detail, RunState.UNKNOWN)
        if self._channel is channel:
            self._channel = None
        if not isinstance(error, CONNECTION_ERRORS):
            # What the library raises for an odd reply has no type in common.
            code = ResultCode.PEER_MESSAGE_INVALID
            logger.opt(exception=error).error(
                "result code {}: peer call failed: {}", code.value, detail
            )
        return Failure(code, detail, RunState.UNKNOWN)

    def _get_channel(self) -> GrpcChannel:
        if self._channel is None:
            host, _, port = self.address.rpartition(":")
            self._channel = GrpcChannel(
                host, int(port), codec=MessagePackCodec(), config=self._config
            )
        return self._channel


__all__ = ("PeerChannel", "PeerStreamError")
