"""A request that a peer passed on, and the response to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from persimmonlink_router.relay_messages import RelayPart, RelayRefusal

if TYPE_CHECKING:
    from persimmonlink_router.http_messages import Headers, HttpRequest

SendPart = Callable[[RelayPart], Awaitable[None]]


class RelayBrokenOffError(GRPCError):
    """The response broke off, so that the peer must not take it for complete.

    Parameters
    ----------
    node_id : str
        Peer that passed the request on.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__(Status.UNKNOWN, f"the response for {node_id} broke off")


class RelayedExchange:
    """Sends a response to a peer in the place of a client.

    Parameters
    ----------
    request : HttpRequest
        The complete request.
    send_part : callable
        Sends a part to the peer; waits while the peer does not read.
    """

    def __init__(self, request: HttpRequest, send_part: SendPart) -> None:
        self.request = request
        self.has_started = False
        self.is_complete = False
        self.is_aborted = False
        # A peer that leaves cancels the request, and nothing else tells of it.
        self.has_client = False
        self._send_part = send_part
        self._head: RelayPart | None = None

    async def respond(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        self.has_started = True
        self.is_complete = True
        await self._send_part(
            RelayPart(status=status, headers=tuple(headers), body=body, is_last=True)
        )

    def start_stream(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]]
    ) -> None:
        """Keep the head of a stream until its first events are sent."""
        self.has_started = True
        self._head = RelayPart(status=status, headers=tuple(headers), is_stream=True)

    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        await self._send_head()
        await self._send_part(RelayPart(body=data))

    async def end(self) -> None:
        """Complete the response."""
        await self._send_head()
        self.is_complete = True
        await self._send_part(RelayPart(is_last=True))

    def abort(self) -> None:
        """Break the response off."""
        self.is_aborted = True

    async def refuse(self, refusal: RelayRefusal) -> None:
        """Tell the peer that the request is not taken."""
        self.is_complete = True
        await self._send_part(RelayPart(refusal=refusal))

    async def _send_head(self) -> None:
        if self._head is None:
            return
        head = self._head
        self._head = None
        await self._send_part(head)


__all__ = ("RelayBrokenOffError", "RelayedExchange")
