"""Clients that send requests to routers and record how they end."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from rig import HOST_NAME, KEY, Record

STATUS_OFFSET = len("HTTP/1.1 ")


@dataclass(frozen=True)
class ClientRequest:
    """A request of a client.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    path : str
        Path and query.
    method : str
        HTTP method.
    deadline_ms : int
        Time that the client waits, in milliseconds.
    headers : tuple of str
        Further header lines.
    """

    request_id: str
    path: str
    method: str = "GET"
    deadline_ms: int = 8000
    headers: tuple[str, ...] = ()

    def build_head(self) -> str:
        """Return the head without its last, empty line."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Persimmonlink-Request-Id: {self.request_id}",
            f"Persimmonlink-Deadline-Ms: {self.deadline_ms}",
            f"Authorization: Bearer {KEY}",
            *self.headers,
        ]
        return "\r\n".join(lines) + "\r\n"


async def send(address: str, request: ClientRequest, record: Record) -> str:
    """Send a request on a new connection; return its status or how it failed."""
    began_at = time.monotonic()
    try:
        async with asyncio.timeout(request.deadline_ms / 1000 + 0.5):
            outcome = await _exchange(address, request)
    except (OSError, TimeoutError) as error:
        outcome = type(error).__name__
    took_s = time.monotonic() - began_at
    record.add(
        f"client {request.request_id} to {address}: {outcome} after {took_s:.3f} s"
    )
    return outcome


async def _exchange(address: str, request: ClientRequest) -> str:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = request.build_head() + "Connection: close\r\n"
        if request.method != "GET":
            head += "Content-Length: 0\r\n"
        writer.write(head.encode() + b"\r\n")
        answer = await reader.read(-1)
    finally:
        writer.close()
    return answer[STATUS_OFFSET : STATUS_OFFSET + 3].decode() or "closed"
