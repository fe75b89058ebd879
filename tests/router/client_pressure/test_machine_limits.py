"""A router whose settings name no limits keeps to those of its machine."""

from __future__ import annotations

import resource

import pytest

from persimmonlink_router.client_pressure import machine_limits
from persimmonlink_router.client_pressure.machine_limits import (
    read_max_descriptors,
    read_memory_mb,
)


@pytest.mark.parametrize(
    ("text", "is_lower"), [("100000000", True), ("max", False), ("", False)]
)
def test_the_limit_of_the_control_group_counts(tmp_path, monkeypatch, text, is_lower):
    path = tmp_path / "memory.max"
    monkeypatch.setattr(machine_limits, "GROUP_MEMORY_PATH", path)
    whole_mb = read_memory_mb()
    path.write_text(text)
    assert read_memory_mb() == (100.0 if is_lower else whole_mb)
    assert whole_mb > 0


def test_the_descriptors_are_those_of_the_process():
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert read_max_descriptors() == (0 if soft == resource.RLIM_INFINITY else soft)
