"""Hand-written JSON is checked, whichever way is taken."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass, field

import pytest
from returns.result import Failure, Success

from persimmonlink_model.checking import check


@dataclass(frozen=True)
class Part:
    size: int = 1


@dataclass(frozen=True)
class Whole:
    name: str
    parts: list[Part] = field(default_factory=list)
    size_by_name: dict[str, Part] = field(default_factory=dict)


def test_a_value_without_faults_is_taken():
    raw = {"name": "x", "parts": [{}, {"size": 2}], "size_by_name": {"a": {}}}
    expected = Whole("x", [Part(), Part(2)], {"a": Part()})
    assert check(raw, Whole) == Success(expected)


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
def test_a_fault_at_any_depth_is_named(raw, path):
    result = check(raw, Whole)
    assert isinstance(result, Failure)
    assert any(fault.path.endswith(path) for fault in result.failure())


def test_unknown_keys_are_taken_where_they_are_allowed():
    assert isinstance(
        check({"name": "x", "surplus": 1}, Whole, allow_unknown=True), Success
    )


def test_a_router_that_starts_does_not_load_what_lists_faults():
    code = (
        "import sys, persimmonlink_router.router; sys.exit('jsonschema' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
