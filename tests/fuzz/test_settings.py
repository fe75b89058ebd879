"""Any settings file gives settings that a router can start with, or named faults."""

from __future__ import annotations

import math
from dataclasses import asdict

import msgspec
import pytest
from hypothesis import example, given
from returns.result import Failure as Err
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_json, nest

from persimmonlink_router.foreign_values import is_address
from persimmonlink_router.router_settings import read_router_settings

SETTINGS = {
    "node": "entry-1",
    "domain": "a",
    "listen": {
        "clients": "127.0.0.1:8080",
        "readiness": "127.0.0.1:8081",
        "directory": "127.0.0.1:8082",
        "peers": "127.0.0.1:8083",
        "metrics": "127.0.0.1:8084",
    },
    "store": "127.0.0.1:8085",
    "seeds": ["127.0.0.1:8086"],
    "limits": {
        "retry_ratio": 0.2,
        "retry_window_s": 10.0,
        "retry_slack": 52.0,
        "cold_burst_factor": 1.5,
        "cold_slack": 5.0,
        "stop_s": 8.0,
        "directory_ttl_s": 5.0,
    },
    "core_share": 1.0,
    "core_speed": 1.0,
    "region": "r",
    "log_level": "INFO",
}


class BytesPath:
    """Stands in for the path of a file."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def read_text(self, encoding: str) -> str:
        return self._data.decode(encoding)


def read(data: bytes):
    return read_router_settings(BytesPath(data))


def replace_value(name: bytes, old: bytes, new: bytes) -> bytes:
    """Return the settings with a value written as it is."""
    data = msgspec.json.encode(SETTINGS)
    sound = b'"' + name + b'":' + old
    assert sound in data
    return data.replace(sound, b'"' + name + b'":' + new)


@play(300)
@given(changed_json(SETTINGS))
@example(b"[" * 50000)
@example(b"[" * 50000 + b"]" * 50000)
def test_any_settings_are_usable_or_faults(data):
    result = read(data)
    if isinstance(result, Err):
        assert result.failure()
        assert all(fault.message for fault in result.failure())
        return
    settings = result.unwrap()
    assert all(map(is_address, (settings.store, *settings.seeds)))
    for address in asdict(settings.listen).values():
        assert is_address(address) or is_address(f"{address[:-2]}:1")
    for text in (settings.node, settings.domain, settings.region):
        text.encode()
    numbers = [*asdict(settings.limits).values()]
    numbers += [settings.core_share, settings.core_speed]
    assert all(map(math.isfinite, numbers))


@pytest.mark.parametrize(
    "address", [b'"127.0.0.1:70000"', b'"999.1.1.1:80"', b'"1.1.1.1:0"']
)
def test_an_address_that_nobody_can_have_is_a_fault_that_names_it(address):
    result = read(replace_value(b"store", b'"127.0.0.1:8085"', address))
    assert [fault.path for fault in result.failure()] == ["store"]


def test_a_port_of_its_own_may_be_left_to_the_system():
    data = replace_value(b"clients", b'"127.0.0.1:8080"', b'"127.0.0.1:0"')
    assert read(data).unwrap().listen.clients == "127.0.0.1:0"


@pytest.mark.parametrize("number", [b"NaN", b"Infinity", b"1e400"])
def test_a_number_that_is_none_is_a_fault_that_names_it(number):
    result = read(replace_value(b"stop_s", b"8.0", number))
    assert [fault.path for fault in result.failure()] == ["limits.stop_s"]


@pytest.mark.parametrize("name", [b"node", b"domain", b"region"])
def test_a_name_that_no_message_can_hold_is_a_fault_that_names_it(name):
    sound = msgspec.json.encode(SETTINGS[name.decode()])
    result = read(replace_value(name, sound, b'"\\ud800"'))
    assert [fault.path for fault in result.failure()] == [name.decode()]


@pytest.mark.parametrize("depth", [100, 300, 900, 5000, 50000])
@pytest.mark.parametrize("name", [b"node", b"core_share"])
def test_settings_that_nest_deeply_are_a_fault(name, depth):
    sound = msgspec.json.encode(SETTINGS[name.decode()])
    assert read(replace_value(name, sound, nest(depth))).failure()


LARGE_FILES = {
    "open lists": lambda size: nest(size, b"[", b""),
    "comments": lambda size: b"/* " + b"* " * (size // 2) + b"*/ 1",
    "open comment": lambda size: b"/*" * (size // 2),
    "slashes": lambda size: b"/" * size,
    "quotes": lambda size: b'"' * size,
    "backslashes": lambda size: b'"' + b"\\" * size,
    "commas": lambda size: b"[" + b"," * size + b"]",
    "blanks": lambda size: b"[1," + b" " * size + b"x]",
    "seeds": lambda size: replace_value(
        b"seeds", b'["127.0.0.1:8086"]', b"[" + b'"x",' * (size // 4) + b'"x"]'
    ),
}


@pytest.mark.parametrize("name", sorted(LARGE_FILES))
def test_the_cost_of_a_file_is_linear_in_its_bytes(name):
    assert_linear(read, LARGE_FILES[name], 2000)
