"""Reader of configuration record files, which are JSON with comments."""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import jsonc
from msgspec import Meta
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_model.record import (
    CURRENT_SCHEMA_VERSION,
    SPEC_TYPE_BY_KIND,
    Name,
    PositiveInt,
    RecordKind,
)
from persimmonlink_model.validation import Fault, validate


@dataclass(frozen=True)
class RecordEntry:
    """One record of a record file.

    Parameters
    ----------
    kind : RecordKind
        Kind of object that the record configures.
    name : str
        Name, unique within the kind.
    spec : dict
        The specification.
    schema_version : int
        Schema version of the specification.
    expected_revision : int or None
        Revision that the record replaces, 0 for a record that must not exist, or None
        for the newest revision at the time of the write.
    """

    kind: RecordKind
    name: Name
    spec: dict[str, Any]
    schema_version: PositiveInt = CURRENT_SCHEMA_VERSION
    expected_revision: Annotated[int, Meta(ge=0)] | None = None


def read_files(paths: list[str]) -> Result[tuple[RecordEntry, ...], tuple[Fault, ...]]:
    """Read and validate record files.

    Parameters
    ----------
    paths : list of str
        Paths of the files, each with one record or a list of records.

    Returns
    -------
    Result
        All records in the order of the files, or every fault in them.
    """
    entries: list[RecordEntry] = []
    faults: list[Fault] = []
    location_by_key: dict[tuple[RecordKind, str], str] = {}
    for path in paths:
        parsed = _parse(path)
        if not isinstance(parsed, Success):
            faults.append(parsed.failure())
            continue
        for location, raw in parsed.unwrap():
            checked = _check_entry(raw, location)
            if not isinstance(checked, Success):
                faults.extend(checked.failure())
                continue
            entry = checked.unwrap()
            first_location = location_by_key.setdefault(
                (entry.kind, entry.name), location
            )
            if first_location != location:
                message = f"{entry.kind.value} {entry.name} is also at {first_location}"
                faults.append(Fault(location, message))
                continue
            entries.append(entry)
    if faults:
        return Failed(tuple(faults))
    return Success(tuple(entries))


def _parse(path: str) -> Result[list[tuple[str, Any]], Fault]:
    """Return each record of a file with its location."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        raw = jsonc.loads(text, parse_float=_parse_finite, parse_constant=_parse_finite)
    except OSError as error:
        return Failed(Fault(path, error.strerror or str(error)))
    except (ValueError, RecursionError) as error:
        return Failed(Fault(path, f"not JSON with comments: {error}"))
    if not isinstance(raw, list):
        return Success([(f"{path}: record", raw)])
    return Success(
        [(f"{path}: record[{index}]", each) for index, each in enumerate(raw)]
    )


def _parse_finite(text: str) -> float:
    """Parse a number; raise `ValueError` for `Infinity` and `NaN`."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text} is not a finite number")
    return value


def _check_entry(raw: Any, location: str) -> Result[RecordEntry, tuple[Fault, ...]]:
    """Validate one record and its specification."""
    checked = validate(raw, RecordEntry, location)
    faults = [] if isinstance(checked, Success) else list(checked.failure())
    faults.extend(_check_spec(raw, location))
    if faults:
        return Failed(tuple(dict.fromkeys(faults)))
    return checked


def _check_spec(raw: Any, location: str) -> tuple[Fault, ...]:
    """Return the faults of a specification; an unknown kind isn't checked."""
    if not isinstance(raw, dict) or not isinstance(raw.get("spec"), dict):
        return ()
    kind = raw.get("kind")
    if kind not in list(RecordKind):
        return ()
    # A newer schema version may have fields that this program doesn't know.
    version = raw.get("schema_version", CURRENT_SCHEMA_VERSION)
    checked: Result[Any, tuple[Fault, ...]] = validate(
        raw["spec"],
        SPEC_TYPE_BY_KIND[RecordKind(kind)],
        f"{location}.spec",
        allow_unknown=version != CURRENT_SCHEMA_VERSION,
    )
    return () if isinstance(checked, Success) else checked.failure()


__all__ = ("RecordEntry", "read_files")
