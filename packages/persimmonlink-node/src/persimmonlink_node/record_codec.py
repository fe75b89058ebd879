"""Encodes and decodes the configuration records in the key-value service."""

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
# Represents a removed key whose record kind is unknown.
TOMBSTONE_VALUE = b'{"schema_version":0,"change_id":"","spec":{},"deleted":true}'


def build_record_key(kind: RecordKind, name: str) -> str:
    """Return the key under which a record is stored."""
    return f"{CONFIG_PREFIX}{kind.value}/{name}"


def build_history_key(kind: RecordKind, name: str) -> str:
    """Return the key under which a record's past versions are stored."""
    return f"{HISTORY_PREFIX}{kind.value}/{name}"


def encode_record(record: Record) -> bytes:
    """Encode a record for storage, without the revision that the store assigns."""
    fields: dict[str, Any] = {
        "schema_version": record.schema_version,
        "change_id": record.change_id,
        "spec": record.spec,
    }
    if record.deleted:
        fields["deleted"] = True
    return msgspec.json.encode(fields)


def parse_record(entry: KeyValue) -> Result[Record, Failure]:
    """Decode a record from the key-value service.

    Parameters
    ----------
    entry : KeyValue
        The key and its value; a removed key decodes as a deleted record.

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
    """Encode a record's past versions with a new one, without the oldest ones.

    Parameters
    ----------
    history : list of Record
        Versions so far, oldest first.
    record : Record
        The new version, which gets the revision of the write that stores it.

    Returns
    -------
    bytes
        At most `MAX_HISTORY_VERSIONS` versions, and fewer, but at least one, if they
        exceed `MAX_HISTORY_BYTES`.
    """
    versions = [*history, record][-MAX_HISTORY_VERSIONS:]
    encoded = msgspec.json.encode(versions)
    while len(encoded) > MAX_HISTORY_BYTES and len(versions) > 1:
        versions = versions[1:]
        encoded = msgspec.json.encode(versions)
    return encoded


def parse_history(entry: KeyValue) -> Result[list[Record], Failure]:
    """Decode a record's past versions, oldest first.

    Parameters
    ----------
    entry : KeyValue
        The key and its value; its revision is that of the newest version.

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
