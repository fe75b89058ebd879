"""Entries and records in the store give a usable value or a typed error."""

from __future__ import annotations

import math
from types import SimpleNamespace
from typing import TYPE_CHECKING

import h11
import msgspec
import pytest
from hypothesis import given
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_json, nest
from tests.router.rig import make_configuration

from persimmonlink_adapter.entries import StoreEntryReader
from persimmonlink_router.foreign_values import MAX_INTEGER, is_address
from persimmonlink_router.hold_records import HOLD_PREFIX, HoldRecords
from persimmonlink_router.peer_messages import SharedFacts
from persimmonlink_router.store import StoredItem
from persimmonlink_router.stream_version_saver import (
    SERVICE_PREFIX,
    STREAM_PREFIX,
    StreamVersionSaver,
)
from persimmonlink_router.wire_messages import WireFormatError

if TYPE_CHECKING:
    from persimmonlink_router.configuration import Configuration

READER = StoreEntryReader()
SERVER = {
    "service": "engines",
    "addr": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 4,
    "born": 17,
}
CONFIGURATION = make_configuration()
CONFIGURATION["routes"][0]["backends"] = [
    {"service": "desk", "weight": 1},
    {"service": "engines", "weight": 2.5},
]
HOLD = {
    "part_ids": ["zz", "yy"],
    "decided_by": "n",
    "age_s": 0.0,
    "left_s": 5.0,
    "server_ends": 4,
    "is_released": False,
    "software": ["engines/v1"],
    "account": "acme",
    "path": "/list/1",
}
STREAMS = {"request_ids_by_version": {"v1": ["a", "b"], "v2": []}}
SERVICES = {"age_s_by_version_by_service": {"desk": {"v1": 0.0, "v2": 7.5}}}
NESTED_BYTES = 20000


def read(key: str, value: bytes):
    return READER.read(StoredItem(key, value, 7))


def assert_configuration(configuration: Configuration) -> None:
    """Check that requests can be routed and sent by a configuration."""
    assert 0 <= configuration.version <= MAX_INTEGER
    for route in configuration.routes:
        assert configuration.find_route(route.host, route.prefix) is not None
        weights = [target.weight for target in route.targets]
        assert min(weights) >= 0
        assert math.isfinite(sum(weights))
        done: set[int] = set()
        for _ in route.stages:
            done |= {i for i, s in enumerate(route.stages) if done.issuperset(s.after)}
        assert done == set(range(len(route.stages)))
        for stage in route.stages:
            assert 0 <= stage.result_bytes <= MAX_INTEGER
        numbers = (route.priority, route.max_attempts)
        assert all(abs(number) <= MAX_INTEGER for number in numbers)
    for account in configuration.account_by_key.values():
        headers = [(b"host", b"x"), (b"tenant", account.name.encode())]
        h11.Request(method=b"GET", target=b"/", headers=headers)
        assert abs(account.priority or 0) <= MAX_INTEGER
    for service in configuration.service_by_name.values():
        assert 0 <= service.max_connections <= MAX_INTEGER
        if service.batch is not None:
            assert service.batch.max_pieces >= 1
            assert 0 <= service.batch.max_concurrent_calls <= MAX_INTEGER
        if service.engine is not None:
            assert 0 <= service.engine.slots <= MAX_INTEGER
    limits = configuration.limits
    assert 0 <= limits.header_bytes <= MAX_INTEGER
    assert 0 <= limits.body_bytes <= MAX_INTEGER


@play()
@given(changed_json(SERVER))
def test_any_server_entry_names_a_usable_server_or_none(value):
    server = read("servers/i-1", value).server
    if server is None:
        return
    assert is_address(server.address)
    assert 0 <= server.slots <= MAX_INTEGER
    assert 0 <= server.started_at_ms <= MAX_INTEGER
    assert math.isfinite(server.cold_left_s)


@play(300)
@given(changed_json(CONFIGURATION))
def test_any_configuration_is_usable_or_a_format_error(value):
    try:
        configuration = read("op/config", value)
    except WireFormatError:
        return
    assert_configuration(configuration)


def change_route(**changes) -> bytes:
    routes = [{**CONFIGURATION["routes"][0], **changes}]
    return msgspec.json.encode({**CONFIGURATION, "routes": routes})


def change_stages(*after_by_stage) -> bytes:
    stages = [{"service": "stage", "after": after} for after in after_by_stage]
    return change_route(stages=stages)


def change_service(**changes) -> bytes:
    services = [{"name": "stage", **changes}]
    return msgspec.json.encode({**CONFIGURATION, "services": services})


def change_account(**changes) -> bytes:
    tenants = [{"name": "acme", "api-keys": ["k"], **changes}]
    return msgspec.json.encode({**CONFIGURATION, "tenants": tenants})


ODD_CONFIGURATIONS = {
    "a stage after one that is none": (change_stages([], [7]), "stages[1].after"),
    "a stage after itself": (change_stages([], [1]), "stages[1].after"),
    "stages in a circle": (change_stages([1], [0]), "stages[0].after"),
    "a stage after one below the first": (change_stages([-1]), "stages[0].after"),
    "a stage after a huge number": (change_stages([2**70]), "stages[0].after"),
    "results without size": (
        change_route(stages=[{"service": "stage", "bytes": 1e308}]),
        "stages[0].bytes",
    ),
    "more stages than any request has": (change_stages(*[[]] * 500), "stages"),
    "weights whose sum is infinite": (
        change_route(backends=[{"service": "desk", "weight": 1e308}] * 2),
        "backends[0].weight",
    ),
    "a huge priority": (change_route(priority=10**30), "priority"),
    "batches of nothing": (change_service(pieces={"batch": 0}), "pieces.batch"),
    "calls that take less than no time": (
        change_service(pieces={"call-ms": -1000}),
        "pieces.call-ms",
    ),
    "an account that no header can hold": (
        change_account(name="a\r\nx: y"),
        "tenants[0].name",
    ),
    "an account that ends with a line": (
        change_account(name="a\n"),
        "tenants[0].name",
    ),
    "a huge priority of an account": (
        change_account(priority=10**30),
        "tenants[0].priority",
    ),
}


@pytest.mark.parametrize("name", sorted(ODD_CONFIGURATIONS))
def test_a_configuration_that_no_request_can_follow_is_an_error_that_names_it(name):
    value, field = ODD_CONFIGURATIONS[name]
    with pytest.raises(WireFormatError) as raised:
        read("op/config", value)
    assert field in str(raised.value)


def test_stages_may_be_listed_in_any_order():
    configuration = read("op/config", change_stages([2], [], [1]))
    assert [stage.after for stage in configuration.routes[0].stages] == [(2,), (), (1,)]


@play()
@given(changed_json(HOLD))
def test_any_hold_can_be_sent_to_peers_or_is_none(value):
    notice = HoldRecords(None).read(StoredItem(f"{HOLD_PREFIX}a", value, 7))
    if notice is None:
        return
    facts = SharedFacts(holds=(notice,))
    packed = msgspec.msgpack.encode(facts)
    assert msgspec.msgpack.decode(packed, type=SharedFacts) == facts


def build_saver() -> tuple[StreamVersionSaver, list[float]]:
    """Return a saver and a list that gets the times which it records."""
    times: list[float] = []
    saver = StreamVersionSaver.__new__(StreamVersionSaver)
    saver._versions = SimpleNamespace(
        record_saved=lambda request_id, version, revision, now: times.append(now)
    )
    saver._cluster_view = SimpleNamespace(
        servers=SimpleNamespace(
            record_served_until=lambda service, version, until: times.append(until)
        )
    )
    saver._members = SimpleNamespace(list_serving_members=list)
    return saver, times


@play()
@given(changed_json(STREAMS))
def test_any_record_of_streams_is_applied_or_logged(value):
    saver, times = build_saver()
    saver.apply_store_item(StoredItem(f"{STREAM_PREFIX}a", value, 7))
    assert all(map(math.isfinite, times))


@play()
@given(changed_json(SERVICES))
def test_any_record_of_services_is_applied_or_logged(value):
    saver, times = build_saver()
    saver.apply_store_item(StoredItem(f"{SERVICE_PREFIX}a", value, 7))
    assert all(map(math.isfinite, times))


def decode_quietly(key: str, value: bytes) -> None:
    try:
        read(key, value)
    except WireFormatError:
        return


LARGE_VALUES = {
    "open lists": lambda size: nest(size, b"[", b""),
    "lists": lambda size: b'{"x":' + nest(size // 2) + b"}",
    "digits": lambda size: b'{"version":' + b"9" * size + b"}",
    "a name": lambda size: b'{"service":"' + b"x" * size + b'"}',
    "escapes": lambda size: b'{"service":"' + b"\\u00e9" * (size // 6) + b'"}',
    "keys": lambda size: b"{" + b'"a":1,' * (size // 6) + b'"a":1}',
    "routes": lambda size: (
        b'{"version":1,"services":[],"routes":['
        + b",".join(
            [msgspec.json.encode(CONFIGURATION["routes"][1])] * max(1, size // 200)
        )
        + b"]}"
    ),
    "stages": lambda size: change_stages(*([i + 1] for i in range(size // 40)), []),
    "stages after many": lambda size: change_stages(
        *([i + 1] * (size // 200) for i in range(50)), []
    ),
    "services": lambda size: msgspec.json.encode(
        {
            "version": 1,
            "routes": [],
            "services": [{"name": f"s-{i}"} for i in range(size // 14)],
        }
    ),
}


@pytest.mark.parametrize("key", ["servers/i-1", "op/config"])
@pytest.mark.parametrize("name", sorted(LARGE_VALUES))
def test_the_cost_of_an_entry_is_linear_in_its_bytes(name, key):
    make = LARGE_VALUES[name]
    assert_linear(lambda value: decode_quietly(key, value), make, NESTED_BYTES)
