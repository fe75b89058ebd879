"""Writes operators' changes of configuration records."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.configuration import parse_spec
from persimmonlink_model.record import Record, RecordKind
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.record_codec import (
    append_version,
    build_history_key,
    build_record_key,
    encode_record,
    parse_history,
    parse_record,
)

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_interfaces.key_value import KeyValue, KeyValueStore
    from persimmonlink_node.node_state import NodeState

MAX_SWAP_ATTEMPTS = 5
WRITE_TIMEOUT_S = 4.0


@dataclass(frozen=True)
class RecordChange:
    """The body of an operator's request to write a record.

    Parameters
    ----------
    spec : dict
        The new specification.
    change_id : str
        Idempotency key of the change, kept when it is sent again.
    schema_version : int
        Schema version of the specification.
    expected_revision : int or None
        Revision that the change is based on, 0 if the record must not exist, or None
        to write unconditionally.
    """

    spec: dict[str, Any]
    change_id: str
    schema_version: int = 1
    expected_revision: int | None = None


@dataclass(frozen=True)
class RecordDeletion:
    """The body of an operator's request to delete a record.

    Parameters
    ----------
    change_id : str
        Idempotency key of the deletion, kept when it is sent again.
    expected_revision : int or None
        Revision to delete, or None to delete unconditionally.
    """

    change_id: str
    expected_revision: int | None = None


@dataclass(frozen=True)
class ChangeRefused:
    """A change that was not accepted.

    Parameters
    ----------
    failure : Failure
        The reason. Its run state is `UNKNOWN` if the change may have taken effect.
    winner : Record or None
        The conflicting record in the store.
    """

    failure: Failure
    winner: Record | None = None


@dataclass(frozen=True)
class _StoredRecord:
    """A record as the key-value service holds it now.

    A value that can't be decoded has a revision, but no record. `is_rolled_back` is
    true if the service shows an older state than this node knew before the read.
    """

    is_rolled_back: bool
    revision: int
    record: Record | None
    history: list[Record]


class RecordWriter:
    """Writes records by compare-and-swap; a deletion is written as a tombstone.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    state : NodeState
        Configuration that accepted changes are applied to at once.
    clock : Clock
        Clock that limits the time of a write.
    """

    def __init__(self, store: KeyValueStore, state: NodeState, clock: Clock) -> None:
        self._store = store
        self._state = state
        self._clock = clock

    def write(
        self, kind: RecordKind, name: str, change: RecordChange
    ) -> Result[Record, ChangeRefused]:
        """Write a change and return the new record, or fail with the reason.

        A change whose id is in the store's history was accepted before; its version is
        returned without a write.
        """
        try:
            record = msgspec.convert(
                {
                    "kind": kind,
                    "name": name,
                    "schema_version": change.schema_version,
                    "change_id": change.change_id,
                    "spec": change.spec,
                },
                Record,
            )
        except msgspec.ValidationError as error:
            failure = Failure(ResultCode.RECORD_INVALID, f"{kind}/{name}: {error}")
            return Err(ChangeRefused(failure))
        parsed = parse_spec(record, self._state.max_schema_version)
        if isinstance(parsed, Err):
            return Err(ChangeRefused(parsed.failure()))
        return self._write_if_unchanged(record, change.expected_revision)

    def delete(
        self, kind: RecordKind, name: str, deletion: RecordDeletion
    ) -> Result[Record, ChangeRefused]:
        """Delete a record by writing a tombstone with the deletion's change id."""
        record = Record(kind, name, 1, deletion.change_id, deleted=True)
        return self._write_if_unchanged(record, deletion.expected_revision)

    def read_history(
        self, kind: RecordKind, name: str
    ) -> Result[list[Record], Failure]:
        """Return the kept versions of a record, oldest first."""
        read = self._read(Record(kind, name, 0, ""))
        if isinstance(read, Err):
            return read
        history = _list_versions(read.unwrap())
        if not history:
            path = f"{kind.value}/{name}"
            return Err(Failure(ResultCode.RECORD_NOT_FOUND, path))
        return Success(history)

    def _write_if_unchanged(
        self, record: Record, expected_revision: int | None
    ) -> Result[Record, ChangeRefused]:
        failure = Failure(
            ResultCode.RECORD_CONFLICT, "every attempt lost to a concurrent change"
        )
        in_doubt = False
        deadline_at = self._clock.monotonic() + WRITE_TIMEOUT_S
        for _ in range(MAX_SWAP_ATTEMPTS):
            read = self._read(record)
            if isinstance(read, Err):
                failure = read.failure()
                break
            stored = read.unwrap()
            outcome = self._check_preconditions(record, stored, expected_revision)
            if outcome is not None:
                if isinstance(outcome, Err):
                    return Err(_mark_if_in_doubt(outcome.failure(), in_doubt))
                return outcome
            swapped = self._store.compare_and_swap(
                build_record_key(record.kind, record.name),
                encode_record(record),
                stored.revision,
                extra_writes={
                    build_history_key(record.kind, record.name): append_version(
                        _list_versions(stored), record
                    )
                },
            )
            if isinstance(swapped, Err):
                # The write may have taken effect; the read of the next attempt shows
                # whether it has.
                failure, in_doubt = swapped.failure(), True
            elif swapped.unwrap().succeeded:
                return Success(self._apply_accepted(record, swapped.unwrap().revision))
            if self._clock.monotonic() >= deadline_at:
                break
        return Err(_mark_if_in_doubt(ChangeRefused(failure), in_doubt))

    def _apply_accepted(self, record: Record, revision: int) -> Record:
        accepted = replace(record, revision=revision)
        self._state.apply_records([accepted])
        return accepted

    def _check_preconditions(
        self, record: Record, stored: _StoredRecord, expected_revision: int | None
    ) -> Result[Record, ChangeRefused] | None:
        """Return the outcome if it is known without a write, or None to write."""
        if stored.is_rolled_back:
            detail = f"this node already has revision {self._state.revision}"
            failure = Failure(ResultCode.KEY_VALUE_WENT_BACK, detail)
            return Err(ChangeRefused(failure))
        for version in _list_versions(stored):
            if version.change_id == record.change_id != "":
                self._state.apply_records([version])
                return Success(version)
        current = stored.record
        is_absent = stored.revision == 0 or (current is not None and current.deleted)
        if record.deleted and is_absent:
            return Err(ChangeRefused(Failure(ResultCode.RECORD_NOT_FOUND, record.path)))
        allowed = {stored.revision, 0} if is_absent else {stored.revision}
        if current is None and stored.revision:
            # A value that can't be decoded may be replaced by a change based on the
            # newest record that this node has decoded.
            in_force = self._state.find_record(record.kind, record.name)
            allowed.add(0 if in_force is None else in_force.revision)
        if expected_revision is None or expected_revision in allowed:
            return None
        detail = f"expected revision {expected_revision}, found {stored.revision}"
        failure = Failure(ResultCode.RECORD_CONFLICT, detail)
        return Err(ChangeRefused(failure, current))

    def _read(self, record: Record) -> Result[_StoredRecord, Failure]:
        key = build_record_key(record.kind, record.name)
        history_key = build_history_key(record.kind, record.name)
        known_revision = self._state.revision
        read = self._store.read_keys([key, history_key])
        if isinstance(read, Err):
            return read
        entry_by_key: dict[str, KeyValue] = {e.key: e for e in read.unwrap().entries}
        history: list[Record] = []
        if history_key in entry_by_key:
            history = parse_history(entry_by_key[history_key]).value_or([])
        entry = entry_by_key.get(key)
        is_rolled_back = read.unwrap().revision < known_revision
        if entry is None:
            return Success(_StoredRecord(is_rolled_back, 0, None, history))
        stored_record = parse_record(entry).value_or(None)
        return Success(
            _StoredRecord(is_rolled_back, entry.revision, stored_record, history)
        )


def _list_versions(stored: _StoredRecord) -> list[Record]:
    """Return the kept versions, and the current one if another writer stored it.

    A record that was written to the store by other tools is missing in its history.
    """
    versions = list(stored.history)
    is_known = any(version.revision == stored.revision for version in versions)
    if stored.record is not None and not is_known:
        versions.append(stored.record)
    return versions


def _mark_if_in_doubt(refused: ChangeRefused, in_doubt: bool) -> ChangeRefused:
    """Set the run state to unknown if an earlier write may have taken effect."""
    if not in_doubt:
        return refused
    failure = replace(refused.failure, run_state=RunState.UNKNOWN)
    return replace(refused, failure=failure)


__all__ = ("ChangeRefused", "RecordChange", "RecordDeletion", "RecordWriter")
