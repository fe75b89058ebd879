"""HTTP messages as the router handles them."""

from __future__ import annotations

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1, and the framing headers, which each hop sets anew.
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
    """A request that has been read whole.

    Parameters
    ----------
    method : bytes
        The method.
    target : bytes
        Path and query, as sent.
    headers : Headers
        Names in lower case, with their values.
    body : bytes
        The whole body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The host header without its port, or an empty string."""
        value = find_header(self.headers, b"host").decode("latin-1")
        return value.rsplit(":", 1)[0] if value.rpartition(":")[2].isdigit() else value


@dataclass(frozen=True, slots=True)
class HttpResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, or nothing."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def strip_hop_by_hop_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are passed on, without those of one connection."""
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
    "find_header",
    "strip_hop_by_hop_headers",
)
