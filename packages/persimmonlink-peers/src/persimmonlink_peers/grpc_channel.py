"""gRPC channel that tells a connection that was lost as it was made."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.client import Channel

if TYPE_CHECKING:
    from grpclib.protocol import H2Protocol


class GrpcChannel(Channel):
    """Channel that begins no call on a connection that the peer has closed.

    That of grpclib raises `AttributeError` if a new connection is reset before the
    caller that waits for it runs.
    """

    async def __connect__(self) -> H2Protocol:
        protocol = await super().__connect__()
        if protocol.processor.connection.is_closing():
            raise ConnectionResetError("the peer closed the connection")
        return protocol


__all__ = ("GrpcChannel",)
