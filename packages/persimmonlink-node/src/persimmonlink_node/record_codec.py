"""Configuration records as they are stored in the key-value service."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.record import Record, RecordKind
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from persimmonlink_interfaces.key_value import KeyValue

CONFIG_PREFIX = "config/"
HISTORY_PREFIX = "history/"
MAX_HISTORY_VERSIONS = 10
MAX_HISTORY_BYTES = 65_536
# What stands for a key that was removed, where its kind is not known.
TOMBSTONE_VALUE = b'{"schema_version":0,"change_id":"","spec":{},"deleted":true}'


def build_record_key(kind: RecordKind, name: str) -> str:
    """Return the key-value key of a record."""
    return f"{CONFIG_PREFIX}{kind.value}/{name}"


def build_history_key(kind: RecordKind, name: str) -> str:
    """Return the key-value key of a record's past versions."""
    return f"{HISTORY_PREFIX}{kind.value}/{name}"


def encode_record(record: Record) -> bytes:
    """Encode a record as it is stored; its revision is the store's own."""
    fields: dict[str, Any] = {
        "schema_version": record.schema_version,
        "change_id": record.change_id,
        "spec": record.spec,
    }
    if record.deleted:
        fields["deleted"] = True
    return msgspec.json.encode(fields)


def parse_record(entry: KeyValue) -> Result[Record, Failure]:
    """Read a record from the key-value service.

    Parameters
    ----------
    entry : KeyValue
        The key and its value; a key that was removed is a record that was deleted.

    Returns
    -------
    Result of Record
        Fails with `RECORD_INVALID`.
    """
    _, _, path = entry.key.partition(CONFIG_PREFIX)
    kind, _, name = path.partition("/")
    try:
        raw: dict[str, Any] = {"schema_version": 0, "change_id": "", "deleted": True}
        if not entry.deleted:
            raw = msgspec.json.decode(entry.value, type=dict)
        raw = {**raw, "kind": kind, "name": name, "revision": entry.revision}
        return Success(msgspec.convert(raw, Record))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.RECORD_INVALID, f"{entry.key}: {error}"))


def append_version(history: list[Record], record: Record) -> bytes:
    """Encode a record's past versions with a new one, the oldest ones left out.

    Parameters
    ----------
    history : list of Record
        Versions so far, oldest first.
    record : Record
        The new version, whose revision is that of the write to come.

    Returns
    -------
    bytes
        At most `MAX_HISTORY_VERSIONS` versions, and fewer if they are large.
    """
    versions = [*history, record][-MAX_HISTORY_VERSIONS:]
    encoded = msgspec.json.encode(versions)
    while len(encoded) > MAX_HISTORY_BYTES and len(versions) > 1:
        versions = versions[1:]
        encoded = msgspec.json.encode(versions)
    return encoded


def parse_history(entry: KeyValue) -> Result[list[Record], Failure]:
    """Read a record's past versions, oldest first.

    Parameters
    ----------
    entry : KeyValue
        The key and its value. The newest version was written at its revision.

    Returns
    -------
    Result of list of Record
        Fails with `RECORD_INVALID`.
    """
    try:
        versions = msgspec.json.decode(entry.value, type=list[Record])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.RECORD_INVALID, f"{entry.key}: {error}"))
    if versions:
        versions[-1] = replace(versions[-1], revision=entry.revision)
    return Success(versions)


__all__ = (
    "CONFIG_PREFIX",
    "HISTORY_PREFIX",
    "TOMBSTONE_VALUE",
    "append_version",
    "build_history_key",
    "build_record_key",
    "encode_record",
    "parse_history",
    "parse_record",
)
