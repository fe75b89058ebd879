"""Headers and stage results give bounded values or a typed error."""

from __future__ import annotations

import math

import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_json, header_values, nest

from persimmonlink_adapter.http_wire import HttpWire
from persimmonlink_router.http_client import HttpClientConnection
from persimmonlink_router.http_messages import (
    HttpRequest,
    HttpResponseHead,
    strip_hop_by_hop_headers,
)
from persimmonlink_router.request_fingerprint import compute_fingerprint
from persimmonlink_router.servers import Server
from persimmonlink_router.wire_messages import Dispatch, PieceFailure, WireFormatError

WIRE = HttpWire()
MAX_COUNT = 10**9
REQUEST_NAMES = [
    b"persimmonlink-deadline-ms",
    b"persimmonlink-token-count",
    b"persimmonlink-prompt-prefix",
    b"persimmonlink-pieces",
    b"persimmonlink-piece-key",
    b"persimmonlink-model",
    b"persimmonlink-tenant",
    b"persimmonlink-inputs",
    b"authorization",
    b"last-event-id",
    b"resumes",
    b"host",
    b"connection",
    b"content-length",
]
RESPONSE_NAMES = [
    b"persimmonlink-request-id",
    b"persimmonlink-response-seal",
    b"persimmonlink-not-executed",
    b"server-leaving",
    b"server-limit",
    b"server-brittle",
    b"retry-after",
    b"keep-alive",
    b"content-encoding",
    b"transfer-encoding",
    b"content-length",
]
RESULTS = {"items": [{"handle": "h1", "reason": ""}, {"handle": "", "reason": "late"}]}
# What a head may hold: other bytes are rejected by the framing.
field_values = header_values.filter(
    lambda value: value == value.strip() and not set(value) & set(b"\0\r\n\x0b\x0c")
)


def headers_of(names: list[bytes]) -> st.SearchStrategy:
    pairs = st.tuples(st.sampled_from(names), field_values)
    return st.lists(pairs, max_size=6).map(tuple)


def build_dispatch(metadata) -> Dispatch:
    server = Server(
        "i-1", 1, "engines", "10.1.0.9:80", "a", 4, is_draining=False, cold_left_s=0.0
    )
    deadline_s = metadata.deadline_s if metadata.deadline_s is not None else 5.0
    return Dispatch(server, deadline_s, "acme", last_event_id=metadata.last_event_id)


@play(300)
@given(headers_of(REQUEST_NAMES), st.binary(max_size=20).map(lambda text: b"/" + text))
def test_any_headers_of_a_client_are_bounded_or_a_format_error(headers, target):
    headers = ((b"persimmonlink-request-id", b"9c41"), *headers)
    request = HttpRequest(b"POST", target, headers)
    assert isinstance(request.host, str)
    assert isinstance(request.path, str)
    assert compute_fingerprint("acme", request.target, request.body)
    try:
        metadata = WIRE.parse_request(request)
    except WireFormatError:
        return
    counts = [metadata.prompt_tokens, metadata.output_tokens, *metadata.piece_counts]
    counts += [part.tokens for part in metadata.prompt_parts]
    assert all(0 <= count <= MAX_COUNT for count in counts)
    assert metadata.deadline_s is None or math.isfinite(metadata.deadline_s)
    sent = WIRE.build_request_headers(request, build_dispatch(metadata))
    framed = [pair for pair in sent if pair[0] not in (b"host", b"content-length")]
    assert h11.Request(method=b"POST", target=b"/", headers=[(b"host", b"x"), *framed])


@play(300)
@given(headers_of(RESPONSE_NAMES), st.sampled_from([200, 421, 429, 500, 503]))
def test_any_headers_of_a_server_are_bounded(headers, status):
    head = HttpResponseHead(status, headers)
    assert head.framing
    info = WIRE.parse_response_head(head)
    assert 0 <= info.pause_s <= 600
    for rate in (info.rate_limit_per_s, info.max_rejections_per_s):
        assert rate is None or 0 <= rate <= MAX_COUNT
    connection = HttpClientConnection("127.0.0.1:1")
    connection._parse_keep_alive(headers)
    limit_s = connection.idle_limit_s
    assert limit_s is None or 0 <= limit_s <= 3600
    assert len(strip_hop_by_hop_headers(headers)) <= len(headers)


@play()
@given(changed_json(RESULTS))
def test_any_stage_results_are_handles_or_a_format_error(body):
    try:
        results = WIRE.parse_batch_response(body, 2)
    except WireFormatError:
        return
    assert len(results) == 2
    for result in results:
        assert result.handle or isinstance(result.failure, PieceFailure)
        assert result.handle.isascii()


LONG_VALUES = {
    "commas": lambda size: b"," * size,
    "counts": lambda size: b"1," * (size // 2),
    "parts": lambda size: b"a:1," * (size // 4),
    "digits": lambda size: b"9" * size,
    "blanks": lambda size: b"1" + b" " * size + b"1",
    "underscores": lambda size: b"1_" * (size // 2) + b"1",
    "colons": lambda size: b":" * size,
}


@pytest.mark.parametrize("value", sorted(LONG_VALUES))
def test_the_cost_of_a_request_s_headers_is_linear(value):
    def decode(text: bytes) -> None:
        for name in REQUEST_NAMES:
            headers = ((b"persimmonlink-request-id", b"1"), (name, text))
            request = HttpRequest(b"POST", b"/", headers)
            strip_hop_by_hop_headers(headers)
            try:
                WIRE.parse_request(request)
            except WireFormatError:
                continue

    assert_linear(decode, LONG_VALUES[value], 5000)


@pytest.mark.parametrize("value", sorted(LONG_VALUES))
def test_the_cost_of_a_response_s_headers_is_linear(value):
    def decode(text: bytes) -> None:
        for name in RESPONSE_NAMES:
            headers = ((name, text),)
            WIRE.parse_response_head(HttpResponseHead(503, headers))
            HttpClientConnection("127.0.0.1:1")._parse_keep_alive(headers)

    assert_linear(decode, LONG_VALUES[value], 5000)


def test_the_cost_of_stage_results_is_linear():
    def decode(body: bytes) -> None:
        try:
            WIRE.parse_batch_response(body, 2)
        except WireFormatError:
            return

    item = {"handle": "h" * 100, "reason": ""}
    assert_linear(
        decode,
        lambda size: msgspec.json.encode({"items": [item] * (size // 120)}),
        20000,
    )
    assert_linear(decode, lambda size: nest(size, b'{"a":', b""), 20000)
