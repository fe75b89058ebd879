"""Configuration in force at one node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec
import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.record import (
    CURRENT_SCHEMA_VERSION,
    SPEC_TYPE_BY_KIND,
    AccountSpec,
    DomainSpec,
    DomainState,
    PipelineSpec,
    Record,
    RecordKind,
    ServiceSpec,
    Spec,
)
from persimmonlink_model.result_code import Failure, ResultCode

RecordKey = tuple[RecordKind, str]
_SpecT = TypeVar("_SpecT", AccountSpec, DomainSpec, PipelineSpec, ServiceSpec)


@dataclass(frozen=True)
class RefusedRecord:
    """Record that this node cannot apply.

    Parameters
    ----------
    path : str
        `KIND/NAME` of the record.
    revision : int
        Revision of the refused record.
    failure : Failure
        Reason of the refusal.
    value : bytes
        Stored value of a record that cannot be decoded, to be relayed unchanged.
    """

    path: str
    revision: int
    failure: Failure
    value: bytes = b""


def parse_spec(
    record: Record, max_schema_version: int = CURRENT_SCHEMA_VERSION
) -> Result[Spec, Failure]:
    """Convert a record's specification to its type.

    Parameters
    ----------
    record : Record
        Record as stored; fields that are not in its schema are ignored.
    max_schema_version : int
        Newest supported schema version.

    Returns
    -------
    Result of Spec
        Fails with `RECORD_SCHEMA_UNKNOWN` or `RECORD_INVALID`.
    """
    if record.schema_version > max_schema_version:
        return Err(
            Failure(
                ResultCode.RECORD_SCHEMA_UNKNOWN,
                f"{record.path} has schema version {record.schema_version}; "
                f"this node supports versions up to {max_schema_version}",
            )
        )
    try:
        return Success(msgspec.convert(record.spec, SPEC_TYPE_BY_KIND[record.kind]))
    except msgspec.ValidationError as error:
        return Err(Failure(ResultCode.RECORD_INVALID, f"{record.path}: {error}"))


class Configuration:
    """Records and the specifications in force, replaced only by newer revisions.

    For each record, the newest stored revision and the newest revision that this node
    can apply are kept. They differ while the newest record is refused; the previously
    applied specification then stays in force. The state depends only on the set of
    records received, not on their order.

    Not thread-safe; the owner serializes access.

    Parameters
    ----------
    max_schema_version : int
        Newest supported schema version.
    """

    def __init__(self, max_schema_version: int = CURRENT_SCHEMA_VERSION) -> None:
        self.max_schema_version = max_schema_version
        self.revision = 0
        self.digest = 0
        self.record_by_key: dict[RecordKey, Record] = {}
        self.applied_by_key: dict[RecordKey, Record] = {}
        # An index, since components list all services many times a second and a scan of
        # thousands of accounts would be too slow.
        self._specs_by_kind: dict[RecordKind, dict[str, Spec]] = {
            kind: {} for kind in RecordKind
        }
        self.refused_by_path: dict[str, RefusedRecord] = {}
        self._revision_by_path: dict[str, int] = {}

    def apply(self, record: Record) -> Result[bool, Failure]:
        """Apply a record if it is newer than the one in force.

        Parameters
        ----------
        record : Record
            Record or deletion, with its revision.

        Returns
        -------
        Result of bool
            Whether the record changed this configuration. Fails if it is the newest
            one and cannot be applied; the previously applied specification then stays
            in force.
        """
        key = (record.kind, record.name)
        is_newest = self._store_if_newest(key, record)
        applied = self.applied_by_key.get(key)
        if applied is not None and applied.revision >= record.revision:
            return Success(is_newest)
        parsed: Result[Spec | None, Failure] = Success(None)
        if not record.deleted:
            parsed = parse_spec(record, self.max_schema_version)
        if isinstance(parsed, Err):
            if not is_newest:
                return Success(False)
            self.mark_refused(record.path, record.revision, parsed.failure())
            return Err(parsed.failure())
        self._activate(key, record, parsed.unwrap())
        return Success(True)

    def mark_refused(
        self, path: str, revision: int, failure: Failure, value: bytes = b""
    ) -> bool:
        """Record that a record cannot be applied; the one in force stays.

        Parameters
        ----------
        path : str
            `KIND/NAME`; the kind may be unknown to this node.
        revision : int
            Revision of the record.
        failure : Failure
            Reason of the refusal.
        value : bytes
            Stored value if it cannot be decoded.

        Returns
        -------
        bool
            False if this or a newer revision was refused before or is in force.
        """
        self._record_revision(path, revision)
        refused = self.refused_by_path.get(path)
        if refused is not None and refused.revision >= revision:
            return False
        applied = self._find_applied(path)
        if applied is not None and applied.revision >= revision:
            return False
        self.refused_by_path[path] = RefusedRecord(path, revision, failure, value)
        return True

    def find_account(self, name: str) -> AccountSpec | None:
        """Return a client account, or None if it does not exist."""
        return self._find(RecordKind.ACCOUNT, name, AccountSpec)

    def find_pipeline(self, name: str) -> PipelineSpec | None:
        """Return a pipeline, or None if it does not exist."""
        return self._find(RecordKind.PIPELINE, name, PipelineSpec)

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return a service, or None if it does not exist."""
        return self._find(RecordKind.SERVICE, name, ServiceSpec)

    def list_services(self) -> dict[str, ServiceSpec]:
        """Return the services by name."""
        spec_by_name = {}
        for name, spec in self._specs_by_kind[RecordKind.SERVICE].items():
            if isinstance(spec, ServiceSpec):
                spec_by_name[name] = spec
        return spec_by_name

    def compute_mean_weight(self) -> float:
        """Return the mean weight of the client accounts, 1 if there are none."""
        weights = []
        for spec in self._specs_by_kind[RecordKind.ACCOUNT].values():
            if isinstance(spec, AccountSpec):
                weights.append(spec.weight)
        return sum(weights) / len(weights) if weights else 1.0

    def list_drained_domains(self) -> list[str]:
        """Return the failure domains that are drained."""
        names = []
        for name, spec in self._specs_by_kind[RecordKind.DOMAIN].items():
            if isinstance(spec, DomainSpec) and spec.state is DomainState.DRAINED:
                names.append(name)
        return names

    def list_records(self) -> list[Record]:
        """Return the newest records, without deletions, ordered by kind and name."""
        records = [r for r in self.record_by_key.values() if not r.deleted]
        return sorted(records, key=lambda record: (record.kind.value, record.name))

    def list_newer(self, revision: int) -> list[Record]:
        """Return the records written after a revision, oldest first.

        Deletions are included. Where this node refuses the newest record, the record in
        force is included too, for peers that cannot apply the newest one either.
        """
        found = []
        for key, record in self.record_by_key.items():
            applied = self.applied_by_key.get(key)
            if applied is not None and record.revision > applied.revision > revision:
                found.append(applied)
            if record.revision > revision:
                found.append(record)
        return sorted(found, key=lambda record: (record.revision, record.path))

    def list_unreadable(self, revision: int) -> list[RefusedRecord]:
        """Return the records written after a revision that cannot be decoded."""
        found = []
        for refused in self.refused_by_path.values():
            if refused.value and refused.revision > revision:
                found.append(refused)
        return found

    def list_unsupported(self) -> list[Record]:
        """Return the records of unsupported schemas without a version in force."""
        found = []
        for key, record in self.record_by_key.items():
            if key in self.applied_by_key:
                continue
            if record.schema_version > self.max_schema_version:
                found.append(record)
        return found

    def _find_applied(self, path: str) -> Record | None:
        kind, _, name = path.partition("/")
        if kind not in list(RecordKind):
            return None
        return self.applied_by_key.get((RecordKind(kind), name))

    def _store_if_newest(self, key: RecordKey, record: Record) -> bool:
        existing = self.record_by_key.get(key)
        if existing is not None and existing.revision >= record.revision:
            return False
        self.record_by_key[key] = record
        self._record_revision(record.path, record.revision)
        return True

    def _record_revision(self, path: str, revision: int) -> None:
        known_revision = self._revision_by_path.get(path)
        if known_revision is not None and known_revision >= revision:
            return
        if known_revision is not None:
            self.digest ^= _hash_revision(path, known_revision)
        self.digest ^= _hash_revision(path, revision)
        self._revision_by_path[path] = revision
        self.revision = max(self.revision, revision)

    def _activate(self, key: RecordKey, record: Record, spec: Spec | None) -> None:
        self.applied_by_key[key] = record
        refused = self.refused_by_path.get(record.path)
        if refused is not None and refused.revision <= record.revision:
            del self.refused_by_path[record.path]
        kind, name = key
        if spec is None:
            self._specs_by_kind[kind].pop(name, None)
            return
        self._specs_by_kind[kind][name] = spec

    def _find(
        self, kind: RecordKind, name: str, spec_type: type[_SpecT]
    ) -> _SpecT | None:
        spec = self._specs_by_kind[kind].get(name)
        return spec if isinstance(spec, spec_type) else None


def _hash_revision(path: str, revision: int) -> int:
    return xxhash.xxh64_intdigest(f"{path}@{revision}".encode())


__all__ = ("Configuration", "RecordKey", "RefusedRecord", "parse_spec")
