"""Sends that may have begun streams, by the server to which they went."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from persimmonlink_router.servers import Server
from persimmonlink_router.stream_versions import RECORD_LIFETIME_S


@dataclass(frozen=True, slots=True)
class StreamSend:
    """A send that may have begun a stream.

    Parameters
    ----------
    request_id : str
        Id of the client's attempt.
    server : Server
        Server to which it was sent, as the node knew it then.
    sent_at : float
        Boot time, in seconds.
    """

    request_id: str
    server: Server
    sent_at: float


class StreamSends:
    """Remembers for a time which streams were sent to which servers."""

    def __init__(self) -> None:
        self._sends_by_server_id: dict[str, deque[StreamSend]] = {}

    def record(self, send: StreamSend) -> None:
        """Record a send."""
        sends = self._sends_by_server_id.setdefault(send.server.server_id, deque())
        sends.append(send)

    def list_doubtful(self, server: Server, since: float) -> list[StreamSend]:
        """Return the sends that may have reached a server which has started again.

        Parameters
        ----------
        server : Server
            The server as it is now.
        since : float
            Boot time from which it may have been so, in seconds.
        """
        return [
            send
            for send in self._sends_by_server_id.get(server.server_id, ())
            if send.sent_at >= since
            and send.server.key != server.key
            and send.server.software_version != server.software_version
        ]

    def discard_expired(self, now: float) -> None:
        """Discard the sends older than the records of versions."""
        for server_id, sends in list(self._sends_by_server_id.items()):
            while sends and now - sends[0].sent_at >= RECORD_LIFETIME_S:
                sends.popleft()
            if not sends:
                del self._sends_by_server_id[server_id]


__all__ = ("StreamSend", "StreamSends")
