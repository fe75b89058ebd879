"""What clients of crowds send, by the name of the crowd."""

from __future__ import annotations

import itertools
import re

from tests.crowds.crowd import Script
from tests.router.kept_clients import build_request

LARGE_BODY_BYTES = 1_000_000
SMALL_BODY_BYTES = 65_000
SHORT_BY_BYTES = 10  # What is missing of a body in the end.
LARGE_CHUNK_BYTES = 61_000
TINY_CHUNKS = 60_000
ENDLESS_BYTES = 30_000  # More than a head may take.
PIPELINED_REQUESTS = 200
READ_BYTES = 500
DEADLINE_MS = 60_000
PLAIN_PATH = "/book/1"


def build_head(
    name: str, path: str = PLAIN_PATH, *, is_chunked: bool = False, length: int = 0
) -> bytes:
    """Return the head of a request."""
    data = build_request(
        path, name, b"", is_chunked=is_chunked, deadline_ms=DEADLINE_MS
    )
    head = data.partition(b"\r\n\r\n")[0]
    if not is_chunked:
        head = re.sub(rb"(?i)content-length: 0", b"Content-Length: %d" % length, head)
    return head + b"\r\n\r\n"


def send_head_slowly(name: str) -> Script:
    """Send a line of a head now and then."""
    return Script(build_head(name)[:-2], more=b"X-More: y\r\n")


def send_body_slowly(name: str) -> Script:
    """Send a byte of a body now and then."""
    return Script(build_head(name, length=SMALL_BODY_BYTES), more=b"x")


def send_chunks_slowly(name: str) -> Script:
    """Send a chunk of one byte now and then."""
    return Script(build_head(name, is_chunked=True), more=b"1\r\nx\r\n")


def send_empty_lines(_name: str) -> Script:
    """Send empty lines without end before a request."""
    return Script(b"\r\n" * 1000, more=b"\r\n" * 1000)


def send_endless_header(name: str) -> Script:
    """Send one header without end."""
    first = build_head(name)[:-2] + b"X-More: " + b"y" * ENDLESS_BYTES
    return Script(first, more=b"y" * 1000)


def send_endless_lines(name: str) -> Script:
    """Send header lines without end."""
    first = build_head(name)[:-2] + b"X-More: yyyyyyyy\r\n" * 500
    return Script(first, more=b"X-More: yyyyyyyy\r\n" * 50)


def send_cut_head(name: str) -> Script:
    """Send a head that stops short of its limit."""
    return Script(build_head(name)[:-2] + b"X-More: " + b"y" * 15_000)


def send_large_body(name: str) -> Script:
    """Send a large body that stops just short of its end."""
    head = build_head(name, length=LARGE_BODY_BYTES)
    return Script(head + bytes(LARGE_BODY_BYTES - SHORT_BY_BYTES))


def send_small_body(name: str) -> Script:
    """Send a small body that stops just short of its end."""
    head = build_head(name, length=SMALL_BODY_BYTES)
    return Script(head + bytes(SMALL_BODY_BYTES - SHORT_BY_BYTES))


def send_large_chunks(name: str) -> Script:
    """Send large chunks, and never the last one."""
    chunk = b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, bytes(LARGE_CHUNK_BYTES))
    count = LARGE_BODY_BYTES // LARGE_CHUNK_BYTES
    return Script(build_head(name, is_chunked=True) + chunk * count)


def send_tiny_chunks(name: str) -> Script:
    """Send many chunks of one byte, and never the last one."""
    return Script(build_head(name, is_chunked=True) + b"1\r\nx\r\n" * TINY_CHUNKS)


def send_endless_extension(name: str) -> Script:
    """Send a chunk extension without end."""
    first = build_head(name, is_chunked=True) + b"1;" + b"y" * ENDLESS_BYTES
    return Script(first, more=b"y" * 1000)


def send_long_extensions(name: str) -> Script:
    """Send chunks of one byte, each with a long extension."""
    chunk = b"1;" + b"y" * 4000 + b"\r\nx\r\n"
    return Script(build_head(name, is_chunked=True) + chunk * 250)


def send_endless_trailers(name: str) -> Script:
    """Send trailers without end."""
    first = build_head(name, is_chunked=True) + b"0\r\n" + b"X-More: y\r\n" * 1000
    return Script(first, more=b"X-More: y\r\n")


def expect_continue(name: str) -> Script:
    """Ask for leave to send a body, and send none."""
    head = build_head(name, length=SMALL_BODY_BYTES)
    return Script(head[:-2] + b"Expect: 100-continue\r\n\r\n")


def end_sending_early(name: str) -> Script:
    """End a body in the middle, and stay for the response."""
    head = build_head(name, length=SMALL_BODY_BYTES)
    return Script(head + bytes(SMALL_BODY_BYTES // 2), ends_sending=True)


def send_pipelined(name: str) -> Script:
    """Send many requests at once, and read nothing."""
    return Script(
        b"".join(build_head(f"{name}-{i}") for i in range(PIPELINED_REQUESTS))
    )


def read_slowly(name: str) -> Script:
    """Read a long response slowly."""
    return Script(build_head(name), read_bytes=READ_BYTES)


def read_nothing(name: str) -> Script:
    """Read nothing of a long response."""
    return Script(build_head(name))


def read_stream_slowly(name: str) -> Script:
    """Read a long stream slowly."""
    return Script(build_head(name, "/claim/1"), read_bytes=READ_BYTES)


def read_staged_slowly(name: str) -> Script:
    """Read a long stream with stages before it slowly."""
    return Script(build_head(name, "/chain/1"), read_bytes=READ_BYTES)


def read_http_1_0_slowly(name: str) -> Script:
    """Read a long stream in HTTP/1.0 slowly."""
    head = build_head(name, "/claim/1").replace(b"HTTP/1.1", b"HTTP/1.0")
    return Script(head, read_bytes=READ_BYTES)


BUILD_BY_CROWD = {
    "slow heads": send_head_slowly,
    "slow bodies": send_body_slowly,
    "slow chunks": send_chunks_slowly,
    "empty lines": send_empty_lines,
    "endless header": send_endless_header,
    "endless header lines": send_endless_lines,
    "cut heads": send_cut_head,
    "large bodies": send_large_body,
    "small bodies": send_small_body,
    "large chunks": send_large_chunks,
    "tiny chunks": send_tiny_chunks,
    "endless chunk extension": send_endless_extension,
    "long chunk extensions": send_long_extensions,
    "endless trailers": send_endless_trailers,
    "expect": expect_continue,
    "half-closed": end_sending_early,
    "pipelined requests": send_pipelined,
    "slow readers": read_slowly,
    "readers of nothing": read_nothing,
    "slow readers of streams": read_stream_slowly,
    "slow readers of stages": read_staged_slowly,
    "slow readers of HTTP/1.0": read_http_1_0_slowly,
}


def mix_scripts():
    """Return a function that builds a script of another crowd for each visit."""
    builders = itertools.cycle(BUILD_BY_CROWD.values())

    def build(name: str) -> Script:
        return next(builders)(name)

    return build


__all__ = ("BUILD_BY_CROWD", "build_head", "mix_scripts")
