"""Checks that a response is the rest of a stream of which a client has events."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from persimmonlink_router.http_messages import find_header

if TYPE_CHECKING:
    from persimmonlink_router.http_messages import Headers

EVENT_STREAM = b"text/event-stream"
_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")


class NotTheRestError(Exception):
    """A response does not go on with the stream that it was asked for."""


class StreamRest:
    """Checks the head and events of a response that goes on with a stream.

    Each event must have an id, and ids that are numbers must increase, as the events
    of a stream do. Comments need none.

    Parameters
    ----------
    last_id : bytes
        Id of the last event that the client has, empty if it has only comments; the
        attribute follows the events.
    """

    def __init__(self, last_id: bytes) -> None:
        self.last_id = last_id

    def check_headers(self, headers: Headers) -> None:
        """Raise `NotTheRestError` unless the response is a stream of events."""
        content_type = find_header(headers, b"content-type")
        media_type = content_type.partition(b";")[0].strip().lower()
        if media_type != EVENT_STREAM:
            raise NotTheRestError(f"the content type is {content_type[:40]!r}")

    def check_events(self, events: bytes) -> None:
        """Raise `NotTheRestError` unless complete events follow the last one."""
        last_id = self.last_id
        for block in _BLANK_LINE.split(events):
            lines = [line for line in _LINE_END.split(block) if line.strip()]
            if all(line.startswith(b":") for line in lines):
                continue
            event_id = _find_id(lines)
            if not event_id:
                raise NotTheRestError("an event has no id")
            if not _follows(event_id, last_id):
                raise NotTheRestError(
                    f"event {event_id[:20]!r} comes after {last_id[:20]!r}"
                )
            last_id = event_id
        self.last_id = last_id


def expect_rest(
    last_id: bytes, headers: Headers, *, has_begun: bool
) -> StreamRest | None:
    """Return what checks the rest of a stream; None for a stream that begins.

    Raises `NotTheRestError` if the response is no stream.

    Parameters
    ----------
    last_id : bytes
        Id of the last event that the client has, empty for none.
    headers : Headers
        Headers of the response.
    has_begun : bool
        Whether the client has a part of the stream, if only comments.
    """
    if not last_id and not has_begun:
        return None
    rest = StreamRest(last_id)
    rest.check_headers(headers)
    return rest


def _find_id(lines: list[bytes]) -> bytes:
    for line in lines:
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""


def _follows(event_id: bytes, last_id: bytes) -> bool:
    if event_id.isdigit() and last_id.isdigit():
        # Compared by length first: the numbers may have any number of digits.
        number, last = event_id.lstrip(b"0"), last_id.lstrip(b"0")
        return (len(number), number) > (len(last), last)
    return event_id != last_id


__all__ = ("NotTheRestError", "StreamRest", "expect_rest")
