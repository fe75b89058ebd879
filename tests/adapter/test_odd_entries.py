"""Entries of other writers name no server, and never raise what nobody expects."""

from __future__ import annotations

import ipaddress
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_adapter.entries import StoreEntryReader
from persimmonlink_router.cluster_view import ServerEntry
from persimmonlink_router.store import StoredItem
from persimmonlink_router.wire_messages import WireFormatError

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
ENTRY = msgspec.json.encode(SERVER)
DEEP = b'{"labels":' * 3000
DEEP_AND_CLOSED = ENTRY[:-1] + b',"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
HUGE_NUMBERS = ["1e400", "1" + "0" * 30, "1" + "0" * 5000, "-1e400", "NaN"]
NUMBER_FIELDS = ["slots", "seq", "born", "cold-left-ms"]
MAX_INTEGER = 2**63 - 1
LONGEST_COLD_S = 86400.0


def replace_field(name: str, text: str) -> bytes:
    """Return the entry with a field's value written as it is."""
    others = {key: value for key, value in SERVER.items() if key != name}
    return msgspec.json.encode(others)[:-1] + f',"{name}":{text}}}'.encode()


def read(raw: bytes, key: str = "servers/i-1"):
    return READER.read(StoredItem(key, raw, 7))


def assert_usable(entry: ServerEntry) -> None:
    """Check that an entry names no server, or one that can be used."""
    server = entry.server
    if server is None:
        return
    host, _, port = server.address.rpartition(":")
    ipaddress.IPv4Address(host)
    assert 1 <= int(port) <= 65535
    assert 0 <= server.slots <= MAX_INTEGER
    assert 0 <= server.started_at_ms <= MAX_INTEGER
    assert 0 <= entry.number <= MAX_INTEGER
    assert 0 <= server.cold_left_s <= LONGEST_COLD_S
    assert max(map(len, (server.service, server.domain, server.software_version))) < 300


@pytest.mark.parametrize("raw", [DEEP, DEEP_AND_CLOSED, b"[" * 100000, b"\xff" * 50])
def test_an_entry_that_nests_deeply_or_can_t_be_read_names_no_server(raw):
    assert read(raw) == ServerEntry("i-1", None)


@pytest.mark.parametrize("name", NUMBER_FIELDS)
@pytest.mark.parametrize("text", [*HUGE_NUMBERS, "1e308", str(2**63), "-1e9"])
def test_an_entry_with_a_number_out_of_range_names_no_server(name, text):
    entry = read(replace_field(name, text))
    if name == "cold-left-ms" and text == "-1e9":
        assert entry.server.cold_left_s == 0.0
        return
    assert entry.server is None


@pytest.mark.parametrize(
    "address",
    [
        "10.1.0.9:70000",
        "10.1.0.9:99999",
        "10.1.0.9:0",
        "999.1.0.9:80",
        "10.1.0.9:80\n",
        "10.1.0.9:\u0663",
        "1\u0663.1.0.9:80",
        "10.1.0.9",
        "[::1]:80",
        "localhost:80",
    ],
)
def test_an_entry_with_an_address_that_nobody_can_have_names_no_server(address):
    assert read(msgspec.json.encode({**SERVER, "addr": address})).server is None


@pytest.mark.parametrize("name", ["service", "zone", "version"])
def test_an_entry_with_a_huge_name_names_no_server(name):
    assert read(msgspec.json.encode({**SERVER, name: "x" * 500000})).server is None


@pytest.mark.parametrize("server_id", ["a b", "a\r\nx: 1", "\u00e9", "", "a" * 300])
def test_an_entry_under_an_id_that_no_header_can_hold_names_no_server(server_id):
    assert read(ENTRY, f"servers/{server_id}") == ServerEntry(server_id, None)


@pytest.mark.parametrize("raw", [DEEP, b'{"version":1e400}', b"[" * 100000])
def test_a_configuration_that_can_t_be_read_is_an_error_and_no_bug(raw):
    with pytest.raises(WireFormatError):
        read(raw, "op/config")


def test_a_configuration_with_a_version_that_no_message_can_hold_is_an_error():
    raw = msgspec.json.encode({"routes": [], "services": []})
    with pytest.raises(WireFormatError):
        read(raw[:-1] + b',"version":18446744073709551615}', "op/config")


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=30)
    | st.sampled_from(["ready", "draining", "10.1.0.9:80", "10.1.0.9:70000"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=5,
)


@given(st.dictionaries(st.sampled_from(sorted(SERVER)), VALUES, max_size=4))
def test_any_change_of_an_entry_gives_a_usable_server_or_none(changes):
    raw = msgspec.json.encode({**SERVER, **changes})
    assert_usable(read(raw))


@given(st.integers(0, len(ENTRY)), st.binary(max_size=8), st.integers(0, 8))
def test_any_bytes_in_an_entry_give_a_usable_server_or_none(offset, data, removed):
    assert_usable(read(ENTRY[:offset] + data + ENTRY[offset + removed :]))


@given(st.binary(max_size=200))
def test_any_bytes_are_a_configuration_or_an_error(raw):
    try:
        read(raw, "op/config")
    except WireFormatError:
        return


@given(st.floats(), st.sampled_from(NUMBER_FIELDS))
def test_any_float_in_an_entry_gives_a_usable_server_or_none(number, name):
    text = "1e999" if math.isinf(number) else repr(number)
    assert_usable(read(replace_field(name, text)))
