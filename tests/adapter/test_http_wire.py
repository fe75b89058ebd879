"""HTTP headers of requests and responses, and messages to stage servers."""

from __future__ import annotations

import msgspec
import pytest
from tests.router.chains import make_server

from persimmonlink_adapter.http_wire import HttpWire
from persimmonlink_router.http_messages import HttpRequest, HttpResponseHead
from persimmonlink_router.wire_messages import (
    Dispatch,
    Piece,
    PieceFailure,
    PieceResult,
    WireFormatError,
)

WIRE = HttpWire()
HEADERS = (
    (b"host", b"shop.example"),
    (b"persimmonlink-request-id", b"9c41"),
    (b"persimmonlink-deadline-ms", b"12000"),
    (b"persimmonlink-model", b"m"),
    (b"persimmonlink-token-count", b"1460,80"),
    (b"persimmonlink-prompt-prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"persimmonlink-pieces", b"2,0,4"),
    (b"persimmonlink-piece-key", b"7c1e"),
    (b"authorization", b"Bearer secret"),
    (b"last-event-id", b"12"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"x-own", b"kept"),
    (b"persimmonlink-inputs", b"forged"),
    (b"persimmonlink-pin-ms", b"4000"),
)


def make_request(*extra: tuple[bytes, bytes], method: bytes = b"POST") -> HttpRequest:
    return HttpRequest(method, b"/a/b?c=d", (*HEADERS, *extra), b"body")


def test_request_headers_are_read():
    metadata = WIRE.parse_request(make_request())
    assert (metadata.request_id, metadata.key, metadata.deadline_s) == (
        "9c41",
        "secret",
        12.0,
    )
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert next((p.part_id, p.tokens) for p in metadata.prompt_parts) == ("5c1e", 800)
    assert metadata.piece_counts == (2, 0, 4)
    assert metadata.last_event_id == b"12"
    assert metadata.resumed_request_id == ""


def test_the_attempt_that_began_a_resumed_stream_is_read():
    metadata = WIRE.parse_request(make_request((b"resumes", b"8b30")))
    assert metadata.resumed_request_id == "8b30"


@pytest.mark.parametrize(
    "headers",
    [
        (),
        ((b"persimmonlink-request-id", b""),),
        ((b"persimmonlink-request-id", b"x"), (b"persimmonlink-deadline-ms", b"soon")),
        ((b"persimmonlink-request-id", b"x"), (b"persimmonlink-token-count", b"a,b")),
        ((b"persimmonlink-request-id", b"x"), (b"persimmonlink-pieces", b"1,,z")),
    ],
)
def test_malformed_requests_are_errors(headers):
    with pytest.raises(WireFormatError):
        WIRE.parse_request(HttpRequest(b"GET", b"/", headers))


def test_internal_headers_are_set_and_values_from_the_client_dropped():
    dispatch = Dispatch(make_server("i-1"), 3.25, "acme", 1, ("h1", "h2"), b"14")
    headers = dict(WIRE.build_request_headers(make_request(), dispatch))
    assert headers[b"persimmonlink-deadline-ms"] == b"3250"
    assert headers[b"persimmonlink-expect-instance"] == b"i-1"
    assert headers[b"persimmonlink-tenant"] == b"acme"
    assert headers[b"persimmonlink-inputs"] == b"h1,h2"
    assert headers[b"last-event-id"] == b"14"
    assert headers[b"content-length"] == b"4"
    assert headers[b"x-own"] == b"kept"
    for name in (b"authorization", b"x-hop", b"connection", b"persimmonlink-pin-ms"):
        assert name not in headers


def test_response_headers_are_read():
    head = HttpResponseHead(
        503,
        ((b"persimmonlink-request-id", b"9c41"), (b"persimmonlink-not-executed", b"1")),
    )
    info = WIRE.parse_response_head(head)
    assert info.was_not_run
    assert not info.is_sealed
    encoded = HttpResponseHead(200, ((b"content-encoding", b"gzip"),))
    assert WIRE.parse_response_head(encoded).is_encoded


def test_a_batch_holds_keys_or_inputs():
    pieces = [Piece("a", 0, 2, 0.9, "key"), Piece("b", 2, 0, 1.5, "", ("h1",))]
    call = WIRE.build_batch_request(make_server("i-1"), pieces)
    items = msgspec.json.decode(call.body)["items"]
    assert items[0] == {
        "id": "a",
        "stage": 0,
        "piece": 2,
        "remaining-ms": 900,
        "key": "key",
    }
    assert items[1]["inputs"] == ["h1"]
    assert "key" not in items[1]


def test_batch_results_are_read():
    body = b'{"items":[{"handle":"1.2.3.4:5/x"},{"reason":"gone"}]}'
    assert WIRE.parse_batch_response(body, 2) == (
        PieceResult("1.2.3.4:5/x"),
        PieceResult(failure=PieceFailure.INPUT_GONE),
    )


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items":5}', b'{"items":[{}]}'])
def test_malformed_batch_results_are_errors(body):
    with pytest.raises(WireFormatError):
        WIRE.parse_batch_response(body, 2)


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"2.5", 2.5),
        (200, b"2.5", 0.0),
        (503, b"soon", 0.0),
        (503, b"-1", 0.0),
        (503, b"nan", 0.0),
        (503, b"1e9", 600.0),
    ],
)
def test_the_pause_that_a_rejecting_server_wants_is_read(status, value, pause_s):
    head = HttpResponseHead(status, ((b"retry-after", value),))
    assert WIRE.parse_response_head(head).pause_s == pause_s


@pytest.mark.parametrize(("value", "is_leaving"), [(b"1", True), (b"0", False)])
def test_a_leaving_server_is_recognized(value, is_leaving):
    head = HttpResponseHead(200, ((b"server-leaving", value),))
    assert WIRE.parse_response_head(head).is_server_leaving is is_leaving


@pytest.mark.parametrize(
    ("text", "expected"), [(b"3", 3.0), (b"0", 0.0), (b"x", None), (b"-1", None)]
)
def test_the_rejections_that_a_server_bears_are_read(text, expected):
    head = HttpResponseHead(503, ((b"server-brittle", text),))
    info = WIRE.parse_response_head(head)
    assert info.max_rejections_per_s == expected
    assert info.rate_limit_per_s is None
