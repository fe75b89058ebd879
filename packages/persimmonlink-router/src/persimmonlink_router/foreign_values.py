"""Bounds of values that others write, and what reading them may raise."""

from __future__ import annotations

import ipaddress
import sys
from typing import Annotated

import msgspec

# What decoding bytes of others raises: also for bytes that nest too deeply, and for
# numbers that are too large or have too many digits.
UNREADABLE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    OverflowError,
)
MAX_INTEGER = 2**63 - 1  # Largest integer that messages between nodes may hold.
MAX_PORT = 65535
MAX_SECONDS = 1e9  # Longest time between nodes, in either direction.
MAX_RATE_PER_S = 1e9
MAX_PIECES = 10000  # Most pieces that a request has of a stage.
MAX_STATUS = 999
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PieceCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_PIECES)]
Status = Annotated[int, msgspec.Meta(ge=0, le=MAX_STATUS)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
# Any number, also infinity, but not NaN.
AnyNumber = Annotated[float, msgspec.Meta(ge=-sys.float_info.max)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]
MAX_NAME_CHARS = 200  # Longest name of a service, version or failure domain.


def is_address(text: str) -> bool:
    """Whether a text is `IP:PORT` with an IPv4 address and a port that exists."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT


__all__ = (
    "MAX_INTEGER",
    "MAX_PIECES",
    "MAX_NAME_CHARS",
    "MAX_PORT",
    "UNREADABLE_ERRORS",
    "AnyNumber",
    "Count",
    "Integer",
    "PieceCount",
    "Rate",
    "Seconds",
    "Status",
    "is_address",
)
