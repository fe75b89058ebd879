"""Validation of JSON against the types of specifications."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from persimmonlink_model.record import SPEC_TYPE_BY_KIND, PipelineSpec, RecordKind
from persimmonlink_model.validation import validate

LEAVES = st.one_of(
    st.none(), st.booleans(), st.integers(-3, 3), st.floats(-3, 3), st.just("encode")
)
KEYS = st.sampled_from(["weight", "max_queued", "state", "stages", "name", "kind"])
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner),
    max_leaves=8,
)


@given(raw=VALUES, kind=st.sampled_from(RecordKind))
def test_any_json_is_converted_as_msgspec_does_or_refused(
    raw: Any, kind: RecordKind
) -> None:
    type_ = SPEC_TYPE_BY_KIND[kind]
    checked = validate(raw, type_, "spec")
    if isinstance(checked, Success):
        assert checked.unwrap() == msgspec.convert(raw, type_)
        return
    assert checked.failure()
    assert all(fault.path.startswith("spec") for fault in checked.failure())


@pytest.mark.parametrize("allow_unknown", [True, False])
def test_unknown_keys_are_refused_at_every_level_unless_allowed(
    allow_unknown: bool,
) -> None:
    stage = {"name": "encode", "service": "encoder", "x": 1}
    raw = {"stages": [stage], "y": 1}
    checked = validate(raw, PipelineSpec, allow_unknown=allow_unknown)
    if allow_unknown:
        assert isinstance(checked, Success)
        return
    assert isinstance(checked, Failure)
    assert [each.path for each in checked.failure()] == ["stages[0].x", "y"]
