"""Odd numbers and bytes in headers, stage results and pages of the store."""

from __future__ import annotations

import asyncio
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_adapter.http_wire import HttpWire
from persimmonlink_adapter.store_client import HttpMetadataStore
from persimmonlink_router.foreign_values import MAX_INTEGER
from persimmonlink_router.http_client import HttpClientConnection
from persimmonlink_router.http_messages import HttpRequest, HttpResponseHead
from persimmonlink_router.store import StoreUnavailableError
from persimmonlink_router.wire_messages import PieceFailure, WireFormatError

WIRE = HttpWire()
DEEP = b'{"a":' * 3000
LARGEST_COUNT = 10**9
ODD_NUMBERS = [b"nan", b"inf", b"-inf", b"1e400", b"9" * 5000]
NUMBER_HEADERS = [
    b"persimmonlink-deadline-ms",
    b"persimmonlink-token-count",
    b"persimmonlink-pieces",
]


def parse_request(*headers: tuple[bytes, bytes]):
    own = ((b"persimmonlink-request-id", b"9c41"),)
    return WIRE.parse_request(HttpRequest(b"POST", b"/", own + headers))


def parse_response(status: int, *headers: tuple[bytes, bytes]):
    return WIRE.parse_response_head(HttpResponseHead(status, headers))


@pytest.mark.parametrize("name", NUMBER_HEADERS)
@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_a_client_s_number_that_is_none_is_a_format_error(name, text):
    with pytest.raises(WireFormatError):
        parse_request((name, text))


@pytest.mark.parametrize("text", [b"1e30", b"-1", b"5,1e30"])
@pytest.mark.parametrize("name", NUMBER_HEADERS[1:])
def test_a_client_s_count_out_of_range_is_a_format_error(name, text):
    with pytest.raises(WireFormatError):
        parse_request((name, text))


def test_a_prompt_part_of_an_impossible_size_is_a_format_error():
    with pytest.raises(WireFormatError):
        parse_request((b"persimmonlink-prompt-prefix", b"aa:1e300"))


def test_more_pieces_than_any_request_has_are_a_format_error():
    with pytest.raises(WireFormatError):
        parse_request((b"persimmonlink-pieces", b"1000000"))


def test_a_huge_deadline_counts_as_a_long_one():
    metadata = parse_request((b"persimmonlink-deadline-ms", b"1e300"))
    assert 3600 <= metadata.deadline_s <= 10**6


@given(st.sampled_from([*NUMBER_HEADERS, b"persimmonlink-prompt-prefix"]), st.binary())
def test_any_number_of_a_client_is_bounded_or_a_format_error(name, text):
    try:
        metadata = parse_request((name, text))
    except WireFormatError:
        return
    counts = [metadata.prompt_tokens, metadata.output_tokens, *metadata.piece_counts]
    counts += [part.tokens for part in metadata.prompt_parts]
    assert all(0 <= count <= LARGEST_COUNT for count in counts)
    assert metadata.deadline_s is None or math.isfinite(metadata.deadline_s)


@pytest.mark.parametrize("name", [b"server-limit", b"server-brittle"])
@pytest.mark.parametrize("text", [*ODD_NUMBERS, b"-1", b"1e308", b"x", b"\xff"])
def test_a_server_s_limit_that_is_no_rate_is_ignored(name, text):
    info = parse_response(200, (name, text))
    assert info.rate_limit_per_s is None
    assert info.max_rejections_per_s is None


@pytest.mark.parametrize("text", [*ODD_NUMBERS, b"-5", b"x"])
def test_a_retry_after_that_is_no_time_is_bounded(text):
    assert 0 <= parse_response(503, (b"retry-after", text)).pause_s <= 600


@pytest.mark.parametrize("text", [b"9" * 400, b"9" * 5000, b"-1", b"nan", b"\xb2"])
def test_a_keep_alive_that_is_no_time_is_bounded(text):
    connection = HttpClientConnection("127.0.0.1:1")
    connection._parse_keep_alive(((b"keep-alive", b"timeout=" + text),))
    assert connection.idle_limit_s is None or connection.idle_limit_s <= 3600


def test_stage_results_that_nest_deeply_are_a_format_error():
    with pytest.raises(WireFormatError):
        WIRE.parse_batch_response(b'{"items":[' + DEEP, 1)


@pytest.mark.parametrize("handle", ["a\r\nx: y", "a,b", "a b", "\u00e9", "h" * 5000])
def test_a_stage_result_that_no_header_can_hold_is_a_failure(handle):
    body = msgspec.json.encode({"items": [{"handle": handle}]})
    (result,) = WIRE.parse_batch_response(body, 1)
    assert not result.handle
    assert result.failure is PieceFailure.ERROR


@given(st.binary(max_size=100))
def test_any_stage_results_are_read_or_a_format_error(body):
    try:
        WIRE.parse_batch_response(body, 1)
    except WireFormatError:
        return


def read_page_of(body: bytes, era: bytes = b"1"):
    store = HttpMetadataStore("127.0.0.1:1")

    async def respond(*_):
        return HttpResponseHead(200, ((b"store-era", era),)), body

    store._pool.exchange = respond
    return asyncio.run(store.read_page("servers/", ""))


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"store-revision":1,"items":null}',
        b'{"store-revision":1,"items":5}',
        b'{"store-revision":1,"items":[{"key":5,"revision":1,"value":""}]}',
        b'{"store-revision":1,"items":[{"key":"a","revision":"x","value":""}]}',
        b'{"store-revision":1,"items":[{"key":"a","revision":1,"value":"\xc3\xa9"}]}',
        b'{"store-revision":1,"items":[{"key":"a","revision":1.5,"value":""}]}',
        b'{"store-revision":1e400,"items":[]}',
    ],
)
def test_a_page_of_the_store_that_can_t_be_read_is_an_outage(body):
    with pytest.raises(StoreUnavailableError):
        read_page_of(body)


@pytest.mark.parametrize("era", [b"9" * 5000, b"nan", b"-1", b"\xb2"])
def test_an_era_of_the_store_that_is_no_number_counts_as_none(era):
    page = read_page_of(b'{"store-revision":7,"items":[]}', era)
    assert page.revision == 7


@pytest.mark.parametrize("era", [1, 9_000_000, 1_700_000_000, 10**17])
def test_revisions_of_any_era_rise_and_fit_messages(era):
    revisions = [
        read_page_of(b'{"store-revision":7,"items":[]}', str(number).encode()).revision
        for number in (era, era + 1)
    ]
    assert 0 < revisions[0] < revisions[1] <= MAX_INTEGER
