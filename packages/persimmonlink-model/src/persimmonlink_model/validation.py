"""Validation of hand-written JSON against dataclass types, with all faults listed."""

from __future__ import annotations

import json
from copy import deepcopy
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

if TYPE_CHECKING:
    from jsonschema.exceptions import ValidationError

T = TypeVar("T")


@dataclass(frozen=True)
class Fault:
    """One fault in a hand-written file.

    Parameters
    ----------
    path : str
        Path of the faulty value, such as `stages[0].name`; empty for the root.
    message : str
        Description of the fault, with the allowed values if they are few.
    """

    path: str
    message: str


def validate(
    raw: object, type_: type[T], path: str = "", *, allow_unknown: bool = False
) -> Result[T, tuple[Fault, ...]]:
    """Validate a parsed JSON value against a type and convert it.

    Parameters
    ----------
    raw : object
        Value as parsed from JSON.
    type_ : type
        Dataclass type.
    path : str
        Path of `raw` within its file, prepended to the path of each fault.
    allow_unknown : bool
        Whether keys that the type does not have are ignored instead of rejected.

    Returns
    -------
    Result
        The converted value, or all faults ordered by path.
    """
    try:
        value = msgspec.convert(raw, type_)
    except msgspec.ValidationError as error:
        faults = _list_faults(raw, type_, path, allow_unknown=allow_unknown)
        return Failed(faults or (_convert_message(str(error), path),))
    if allow_unknown or _has_only_known_keys(raw, msgspec.to_builtins(value)):
        return Success(value)
    faults = _list_faults(raw, type_, path, allow_unknown=False)
    return Failed(faults) if faults else Success(value)


def _list_faults(
    raw: object, type_: type, path: str, *, allow_unknown: bool
) -> tuple[Fault, ...]:
    """Return all faults of an invalid value, ordered by path."""
    # Imported only for invalid values, since the import takes a quarter of the time
    # that a router needs to start.
    from jsonschema import Draft202012Validator

    schema = (
        msgspec.json.schema(type_) if allow_unknown else _build_strict_schema(type_)
    )
    faults = {
        fault
        for error in Draft202012Validator(schema).iter_errors(raw)
        for fault in _convert_error(error, path)
    }
    return tuple(sorted(faults, key=lambda each: (each.path, each.message)))


def _has_only_known_keys(raw: object, value: object) -> bool:
    """Whether each key of a raw value is also in the converted value."""
    if isinstance(raw, dict) and isinstance(value, dict):
        return all(
            key in value and _has_only_known_keys(raw[key], value[key]) for key in raw
        )
    if isinstance(raw, list) and isinstance(value, list | tuple):
        return all(
            _has_only_known_keys(each, converted)
            for each, converted in zip(raw, value, strict=True)
        )
    return True


def _build_strict_schema(type_: type) -> dict[str, Any]:
    """Return the JSON schema of a type that rejects unknown keys at every level."""
    schema = deepcopy(msgspec.json.schema(type_))
    definitions = schema.get("$defs", {})
    for definition in (schema, *definitions.values()):
        if "properties" in definition:
            definition["additionalProperties"] = False
    return schema


def _convert_message(text: str, path: str) -> Fault:
    """Convert a message of msgspec, which ends with the path of the value."""
    message, _, error_path = text.rstrip("`").partition(" - at `$")
    if path or not error_path:
        return Fault(path + error_path, message)
    return Fault(error_path.removeprefix("."), message)


def _convert_error(error: ValidationError, path: str) -> list[Fault]:
    """Convert an error of the schema validation to faults."""
    error_path = _join_path(path, error.absolute_path)
    keyword = error.validator
    # Declared as optional by jsonschema, but set on each error that it yields.
    expected: Any = error.validator_value
    schema: Any = error.schema
    instance: Any = error.instance
    if keyword in ("anyOf", "oneOf") and error.context:
        return _convert_union_error(error, path)
    if keyword == "additionalProperties":
        properties = schema["properties"]
        allowed = ", ".join(sorted(properties))
        unknown = sorted(set(instance) - set(properties))
        return [
            Fault(_join_path(error_path, (key,)), f"unknown key; allowed: {allowed}")
            for key in unknown
        ]
    if keyword == "enum":
        allowed = ", ".join(json.dumps(value) for value in expected)
        return [Fault(error_path, f"{_format_value(instance)} is not one of {allowed}")]
    if keyword == "required":
        # jsonschema yields one error per missing key and names it only in the message.
        return [
            Fault(_join_path(error_path, (key,)), "missing")
            for key in expected
            if key not in instance
        ]
    if keyword == "type":
        shown = _format_value(instance)
        return [Fault(error_path, f"{shown} is not of type {expected}")]
    return [Fault(error_path, error.message)]


def _convert_union_error(error: ValidationError, path: str) -> list[Fault]:
    """Return the faults of the union's branch that fits the value best."""
    errors_by_branch: dict[Any, list[ValidationError]] = {}
    for each in error.context:
        errors_by_branch.setdefault(each.schema_path[0], []).append(each)
    # A branch that rejects the type of the whole value (usually null) was not the one
    # that the author intended.
    nearest = min(
        errors_by_branch.values(),
        key=lambda errors: any(
            each.validator == "type" and len(each.path) == 0 for each in errors
        ),
    )
    return [fault for each in nearest for fault in _convert_error(each, path)]


def _format_value(value: object) -> str:
    """Return a value as JSON, truncated to 60 characters."""
    text = json.dumps(value, default=str)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _join_path(path: str, parts: Any) -> str:
    """Return a path extended by keys and indexes."""
    for part in parts:
        if isinstance(part, int):
            path = f"{path}[{part}]"
        elif path:
            path = f"{path}.{part}"
        else:
            path = str(part)
    return path


__all__ = ("Fault", "validate")
