"""Odd bytes, numbers, texts and documents of all fuzzing."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import strategies as st

# JSON texts of numbers, valid or not.
NUMBERS = [
    b"0",
    b"-1",
    b"-0.0",
    b"1.5",
    b"65536",
    b"9007199254740993",
    b"9223372036854775807",
    b"9223372036854775808",
    b"18446744073709551615",
    b"18446744073709551616",
    b"-9223372036854775809",
    b"1e30",
    b"1e308",
    b"-1e308",
    b"1e400",
    b"-1e400",
    b"1" + b"0" * 400,
    b"-1" + b"0" * 400,
    b"1" + b"0" * 5000,
    b"NaN",
    b"Infinity",
    b"-Infinity",
    b"1e-400",
    b"0x10",
    b"1_0",
]
# Contents of JSON strings.
TEXTS = [
    b"",
    b" ",
    b"ready",
    b"10.1.0.9:80",
    b"10.1.0.9:65536",
    b"10.1.0.9:0",
    b"999.1.1.1:80",
    b"[::1]:80",
    b"10.1.0.9:\xd9\xa3",
    b"a\\r\\nx: y",
    b"\\u0000",
    b"\\ud800",
    b"\xed\xa0\x80",
    b"\xff\xfe",
    b"\xc3\xa9",
    b"a,b",
    b"../..",
    b"x" * 300,
    b"x" * 100000,
]
DEPTHS = [1, 30, 900, 1100, 5000, 50000]


def nest(depth: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return a value that nests, and is cut off if nothing closes it."""
    return opening * depth + closing * depth


deep = st.builds(
    nest,
    st.sampled_from(DEPTHS),
    st.sampled_from([b"[", b'{"a":', b"[0,", b'[{"a":']),
    st.sampled_from([b"", b"]", b"}"]),
)
json_values = (
    st.sampled_from(NUMBERS)
    | st.sampled_from(TEXTS).map(lambda text: b'"' + text + b'"')
    | st.sampled_from(
        [b"null", b"true", b"[]", b"{}", b'[""]', b'{"":0}', b"", b"\xff"]
    )
    | deep
    | st.integers().map(lambda number: str(number).encode())
    | st.floats(allow_nan=False, allow_infinity=False).map(lambda x: repr(x).encode())
)
# MessagePack values that no encoder of ours writes, beside some that it does.
packed_values = (
    st.sampled_from(
        [
            b"\xc0",
            b"\xc1",
            b"\xc3",
            b"\xff",
            b"\x80",
            b"\x90",
            b"\xa0",
            b"\xa1\xff",
            b"\xa3\xed\xa0\x80",
            b"\xcb\x7f\xf8" + b"\0" * 6,  # NaN
            b"\xcb\x7f\xf0" + b"\0" * 6,  # Infinity
            b"\xcb\xff\xf0" + b"\0" * 6,
            b"\xcb\x7f\xef" + b"\xff" * 6,
            b"\xcf" + b"\xff" * 8,
            b"\xcf\x80" + b"\0" * 7,
            b"\xd3\x80" + b"\0" * 7,
            b"\xdd" + b"\xff" * 4,
            b"\xdf" + b"\xff" * 4,
            b"\xdb" + b"\xff" * 4,
            b"\xc6" + b"\xff" * 4,
            b"\xc9" + b"\xff" * 4,
            b"\xd6\xff" + b"\xff" * 4,
            b"\x82\xa1a\x01\xa1a\x02",
        ]
    )
    | st.builds(
        lambda depth, opening: opening * depth + b"\xc0",
        st.sampled_from(DEPTHS),
        st.sampled_from([b"\x91", b"\x81\xa1a", b"\xdd\0\0\0\x01"]),
    )
    | (st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(max_size=5)).map(
        msgspec.msgpack.encode
    )
)


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values in a document."""
    paths = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            paths += list_paths(inner, (*path, key))
    elif isinstance(value, list | tuple):
        for index, inner in enumerate(value):
            paths += list_paths(inner, (*path, index))
    return paths


def replace_at(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """Return a document with another value at a path, if the path still exists."""
    if not path:
        return new
    key, *rest = path
    if isinstance(value, dict) and key in value:
        return {**value, key: replace_at(value[key], tuple(rest), new)}
    if isinstance(value, list | tuple) and isinstance(key, int):
        items = list(value)
        items[key] = replace_at(items[key], tuple(rest), new)
        return items
    return value


@st.composite
def changed_bytes(draw: Any, data: bytes) -> bytes:
    """Return bytes that are cut, changed, doubled or encoded in another way."""
    kind = draw(st.sampled_from(["as is"] * 4 + ["cut", "change", "double", "encode"]))
    at = draw(st.integers(0, len(data)))
    if kind == "cut":
        return data[:at]
    if kind == "change":
        width = draw(st.integers(0, 8))
        return data[:at] + draw(st.binary(max_size=8)) + data[at + width :]
    if kind == "double":
        return data + data
    if kind == "encode":
        encoding = draw(st.sampled_from(["utf-16", "utf-32", "utf-8-sig"]))
        return data.decode("latin-1").encode(encoding)
    return data


@st.composite
def changed_json(draw: Any, sound: Any) -> bytes:
    """Return JSON of a sound document, of which some parts are replaced or repeated."""
    document = sound
    paths = st.sampled_from(list_paths(sound))
    for path in draw(st.lists(paths, min_size=1, max_size=3)):
        new = draw(json_values)
        if path and isinstance(path[-1], str) and draw(st.booleans()):
            new += b',"' + path[-1].encode() + b'":' + draw(json_values)
        document = replace_at(document, path, msgspec.Raw(new))
    return draw(changed_bytes(msgspec.json.encode(document)))


@st.composite
def changed_message(draw: Any, sound: Any) -> bytes:
    """Return MessagePack of a sound document, of which some parts are replaced."""
    document = sound
    paths = st.sampled_from(list_paths(sound))
    for path in draw(st.lists(paths, min_size=1, max_size=3)):
        document = replace_at(document, path, msgspec.Raw(draw(packed_values)))
    return draw(changed_bytes(msgspec.msgpack.encode(document)))


# Values of headers: numbers, and bytes that a head may hold.
header_values = (
    st.sampled_from([number for number in NUMBERS if len(number) < 6000])
    | st.sampled_from(
        [b"nan", b"inf", b"-inf", b"1e1000", b"\xb2", b",", b":", b"=;,:"]
    )
    | st.lists(
        st.sampled_from([*NUMBERS, b"a:1", b"a", b"\xff", b"", b"timeout=-1"]),
        max_size=5,
    ).map(b",".join)
    | st.binary(max_size=30)
)

__all__ = (
    "DEPTHS",
    "NUMBERS",
    "TEXTS",
    "changed_bytes",
    "changed_json",
    "changed_message",
    "deep",
    "header_values",
    "json_values",
    "nest",
    "packed_values",
)
