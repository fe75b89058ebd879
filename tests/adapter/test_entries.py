"""Store entries in the platform's format are translated."""

from __future__ import annotations

import msgspec
import pytest

from persimmonlink_adapter.entries import StoreEntryReader
from persimmonlink_router.cluster_view import DrainEntry, ServerEntry
from persimmonlink_router.configuration import RequestKind
from persimmonlink_router.store import StoredItem
from persimmonlink_router.wire_messages import WireFormatError

READER = StoreEntryReader()
SERVER = {
    "service": "engines",
    "addr": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold-left-ms": 1500,
    "models": [{"name": "m", "version": 1}],
    "seq": 4,
    "born": 17,
}
ROUTE = {
    "name": "r",
    "host": "Shop.Example",
    "prefix": "/a/",
    "kind": "stream",
    "timeout-ms": 12000,
    "slo-ms": 1400,
    "priority": 1,
    "backends": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "stages": [{"service": "s", "after": [], "bytes": 800000}],
    "resumable": True,
    "new-field": {"any": 1},
}
SERVICE = {
    "name": "s",
    "health-path": "/healthz",
    "max-conns": 270,
    "cold-start-s": 3.0,
    "cold-per-s": 14.0,
    "pieces": {
        "slots": 1,
        "batch": 5,
        "call-ms": 240,
        "item-ms": 41.6,
        "headroom-mb": 6,
    },
}


def read(key: str, value: object) -> object:
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return READER.read(StoredItem(key, raw, 7))


def test_a_server_entry_is_translated():
    server = read("servers/i-1", SERVER).server
    assert (server.server_id, server.domain, server.started_at_ms) == ("i-1", "a", 17)
    assert server.cold_left_s == 1.5
    assert not server.is_draining


def test_unused_fields_do_not_change_a_server():
    first = read("servers/i-1", SERVER)
    assert read("servers/i-1", {**SERVER, "seq": 5, "load": 3}).server == first.server


def test_the_number_of_an_entry_is_read():
    assert read("servers/i-1", SERVER).number == 4


def test_the_software_version_of_a_server_is_read():
    assert read("servers/i-1", SERVER).server.software_version == "v1"
    other = read("servers/i-1", {**SERVER, "version": "v2"}).server
    assert other.software_version == "v2"


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"addr": "nowhere"},
        {"addr": 5},
        {"slots": "many"},
        {"version": 2},
        {"zone": None},
        {"service": None},
    ],
)
def test_malformed_server_entries_yield_no_server(change):
    assert read("servers/i-1", {**SERVER, **change}) == ServerEntry("i-1", None)


@pytest.mark.parametrize("raw", [b"", b"\xff", b"[]", b'{"service":"engines"}'])
def test_undecodable_server_entries_yield_no_server(raw):
    assert read("servers/i-1", raw) == ServerEntry("i-1", None)


def test_a_deleted_entry_yields_no_server():
    assert READER.read(StoredItem("servers/i-1", None, 9)) == ServerEntry("i-1", None)


def test_a_drain_entry_and_its_deletion():
    assert read("op/evacuate/a", {}) == DrainEntry("a", True)
    assert READER.read(StoredItem("op/evacuate/a", None, 9)) == DrainEntry("a", False)


def test_a_configuration_entry_is_translated():
    configuration = read(
        "op/config",
        {
            "version": 7,
            "routes": [ROUTE],
            "services": [SERVICE],
            "limits": {"idle-timeout-ms": 15000},
            "tenants": [{"name": "acme", "api-keys": ["k"], "priority": 0}],
        },
    )
    route = configuration.find_route("shop.example", "/a/b")
    assert route.kind is RequestKind.STREAM
    assert route.is_repeatable
    assert [(t.service, t.weight) for t in route.targets] == [("x", 90), ("y", 10)]
    assert (route.timeout_s, route.objective_s) == (12.0, 1.4)
    batch = configuration.service_by_name["s"].batch
    assert (batch.max_pieces, batch.call_overhead_s, batch.result_capacity_bytes) == (
        5,
        0.24,
        6e6,
    )
    assert configuration.account_by_key["k"].name == "acme"
    assert configuration.account_by_key["k"].priority == 0
    assert configuration.limits.idle_timeout_s == 15.0


def test_the_longest_prefix_wins():
    routes = [{**ROUTE, "name": p, "prefix": p} for p in ("/", "/a/b/", "/a/")]
    configuration = read("op/config", {"version": 1, "routes": routes, "services": []})
    assert configuration.find_route("shop.example", "/a/b/c").name == "/a/b/"
    assert configuration.find_route("shop.example", "/a/c").name == "/a/"
    assert configuration.find_route("other.example", "/a/c") is None
    assert not configuration.requires_key


@pytest.mark.parametrize("raw", [b"{}", b"\xff", b'{"version":"x"}', b"[]"])
def test_a_malformed_configuration_is_an_error(raw):
    with pytest.raises(WireFormatError):
        read("op/config", raw)


def test_other_keys_are_ignored():
    assert read("op/other", {}) is None


@pytest.mark.parametrize(
    ("objective_ms", "event_gap_ms", "max_silence_s"),
    [(1400, 250, 5.6), (300, 100, 2.0), (500, 600, 4.8)],
)
def test_max_silence_follows_the_objective_and_the_event_gap(
    objective_ms, event_gap_ms, max_silence_s
):
    route = {**ROUTE, "slo-ms": objective_ms, "gap-slo-ms": event_gap_ms}
    written = {"version": 1, "routes": [route], "services": [SERVICE]}
    configuration = read("op/config", written)
    assert configuration.routes[0].max_silence_s == pytest.approx(max_silence_s)
