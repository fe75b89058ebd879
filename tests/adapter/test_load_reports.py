"""Servers' reports of their load are read, and odd ones count as none."""

from __future__ import annotations

import pytest

from persimmonlink_adapter.http_wire import HttpWire
from persimmonlink_router.http_messages import HttpResponseHead
from persimmonlink_router.server_load.load_report import LoadReport


def read(text):
    headers = ((b"persimmonlink-load-report", text),)
    return HttpWire().parse_response_head(HttpResponseHead(200, headers)).load


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"3,1,8", LoadReport(3, 1, 8)),
        (b"3, 1, 8, 250", LoadReport(3, 1, 8, 2.5)),
        (b"0,0,1,100,7", LoadReport(0, 0, 1, 1.0)),
        (b"0,0,1,0", LoadReport(0, 0, 1)),
    ],
)
def test_reports_are_read(text, report):
    assert read(text) == report


@pytest.mark.parametrize(
    "text", [b"", b"1,2", b"a,b,c", b"-1,0,1", b"1,1,1,x", b"1e400,0,1", b"1,1,1,nan"]
)
def test_odd_reports_count_as_none(text):
    assert read(text) is None


def test_a_response_without_a_report_has_none():
    assert HttpWire().parse_response_head(HttpResponseHead(200, ())).load is None
