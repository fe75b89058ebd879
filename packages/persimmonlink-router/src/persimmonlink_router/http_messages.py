"""HTTP requests, response heads and header fields."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that a proxy does not forward: those of RFC 9110, section 7.6.1, and the
# framing headers, which each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that has been read completely.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query as the client sent them.
    headers : Headers
        Pairs of lower-case names and values.
    body : bytes
        The complete body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Host header without the port, or an empty string."""
        value = find_header(self.headers, b"host").decode("latin-1")
        return value.rsplit(":", 1)[0] if value.rpartition(":")[2].isdigit() else value


class ResponseFraming(StrEnum):
    """What delimits the body of a response; the values appear in logs and metrics."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_CLOSE = "connection_close"


@dataclass(frozen=True, slots=True)
class HttpResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    @property
    def framing(self) -> ResponseFraming:
        """What delimits the body."""
        if find_header(self.headers, b"transfer-encoding"):
            return ResponseFraming.CHUNKED
        if find_header(self.headers, b"content-length"):
            return ResponseFraming.LENGTH
        return ResponseFraming.CONNECTION_CLOSE


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, or empty bytes."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def strip_hop_by_hop_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers, which a proxy forwards."""
    named = set(HOP_BY_HOP_HEADERS)
    for key, value in headers:
        if key == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [(key, value) for key, value in headers if key not in named]


__all__ = (
    "HOP_BY_HOP_HEADERS",
    "Headers",
    "HttpRequest",
    "HttpResponseHead",
    "ResponseFraming",
    "find_header",
    "strip_hop_by_hop_headers",
)
