"""Validation of hand-written JSON, with and without unknown keys."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass, field

import pytest
from returns.result import Failure, Success

from persimmonlink_model.validation import validate


@dataclass(frozen=True)
class Part:
    size: int = 1


@dataclass(frozen=True)
class Whole:
    name: str
    parts: list[Part] = field(default_factory=list)
    size_by_name: dict[str, Part] = field(default_factory=dict)


def test_valid_value_is_converted():
    raw = {"name": "x", "parts": [{}, {"size": 2}], "size_by_name": {"a": {}}}
    expected = Whole("x", [Part(), Part(2)], {"a": Part()})
    assert validate(raw, Whole) == Success(expected)


@pytest.mark.parametrize(
    ("raw", "path"),
    [
        ({"name": "x", "surplus": 1}, "surplus"),
        ({"name": "x", "parts": [{}, {"surplus": 1}]}, "parts[1].surplus"),
        ({"name": "x", "size_by_name": {"a": {"surplus": 1}}}, "surplus"),
        ({"name": 1}, "name"),
        ({}, "name"),
    ],
)
def test_fault_at_any_depth_is_reported_with_its_path(raw, path):
    result = validate(raw, Whole)
    assert isinstance(result, Failure)
    assert any(fault.path.endswith(path) for fault in result.failure())


def test_unknown_keys_are_ignored_where_they_are_allowed():
    assert isinstance(
        validate({"name": "x", "surplus": 1}, Whole, allow_unknown=True), Success
    )


def test_starting_router_does_not_import_jsonschema():
    code = (
        "import sys, persimmonlink_router.router; sys.exit('jsonschema' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
