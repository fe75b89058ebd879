"""HTTP/1.1 framing by h11, with patterns whose cost is linear in what they read."""

from __future__ import annotations

import re

import h11
from h11 import _readers

from persimmonlink_router.http1.readers import install_readers

# The same texts match as with h11's own patterns. Those try each way to divide a run of
# blanks between two parts of a pattern if the line doesn't match.
HEADER_FIELD = re.compile(
    rb"(?P<field_name>[-!#$%&'*+.^_`|~0-9a-zA-Z]+):[ \t]*+"
    rb"(?P<field_value>(?:[^\x00\s]+(?:[ \t]+[^\x00\s]+)*)?)[ \t]*+"
)
CHUNK_HEADER = re.compile(
    rb"(?P<chunk_size>[0-9A-Fa-f]{1,20})"
    rb"(?P<chunk_ext>;(?:[^\r\n]|\r(?!\n))*+)?[ \t]*+\r\n"
)
_readers.header_field_re = HEADER_FIELD
_readers.chunk_header_re = CHUNK_HEADER
install_readers()


def create_framing(
    role: type[h11.CLIENT | h11.SERVER], max_head: int
) -> h11.Connection:
    """Return the framing of a new connection.

    Parameters
    ----------
    role : h11.CLIENT or h11.SERVER
        This end of the connection.
    max_head : int
        Largest head, or line of a chunk, that is waited for, in bytes.
    """
    return h11.Connection(role, max_incomplete_event_size=max_head)


__all__ = ("CHUNK_HEADER", "HEADER_FIELD", "create_framing")
