"""Errors and warnings in the logs of two builds, without those that are allowed."""

from __future__ import annotations

import json

import pytest
from tests.upgrade.final_checks import list_log_warnings
from tests.upgrade.logs import RESET_ERROR, list_log_faults
from tests.upgrade.node import Incarnation, Node

OLD, NEW = "old", "new"
RESET = {"event": "task.failed", "task": "heartbeats", "exception": RESET_ERROR}
LINE = {"time": 100.0, "level": "WARNING"}
STALLED = {**LINE, "event": "process.stalled", "boot_s": 9.0, "lag_s": 0.9}
SUSPENDED = {**LINE, "event": "process.suspended", "boot_s": 9.0, "gap_s": 1.0}


def list_faults(folder, build: str, line: dict) -> list[str]:
    path = folder / "entry-0.log"
    path.write_text(json.dumps(line) + "\n")
    node = Node(0, "entry-0", "a", {}, folder)
    node.incarnations.append(Incarnation(node.name, build, path, started_at=0.0))
    return list_log_faults([node], [OLD])


def test_an_older_build_may_fail_at_a_connection_that_was_reset(tmp_path):
    assert list_faults(tmp_path, OLD, RESET) == []


@pytest.mark.parametrize(
    ("build", "changes"),
    [
        (NEW, {}),
        (OLD, {"exception": "KeyError('node_id')"}),
        (OLD, {"event": "request.internal_error"}),
        (OLD, {"event": "store.entry_invalid"}),
    ],
)
def test_other_errors_are_faults_of_either_build(tmp_path, build, changes):
    assert len(list_faults(tmp_path, build, RESET | changes)) == 1


def list_warnings(folder, *lines: dict) -> list[str]:
    path = folder / "entry-0.log"
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    node = Node(0, "entry-0", "a", {}, folder)
    node.incarnations.append(Incarnation(node.name, NEW, path, started_at=0.0))
    return list_log_warnings([node], since=50.0)


def test_a_node_that_the_machine_did_not_run_may_say_that_it_was_suspended(tmp_path):
    stalled = STALLED | {"processor_s": 0.01}
    assert list_warnings(tmp_path, stalled, SUSPENDED) == []
    assert list_warnings(tmp_path, SUSPENDED, stalled) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"processor_s": 0.8},
        {"processor_s": 0.01, "boot_s": 8.0},
        {"processor_s": 0.01, "lag_s": 0.4},
    ],
)
def test_a_node_that_was_suspended_otherwise_is_a_warning(tmp_path, changes):
    warnings = list_warnings(tmp_path, STALLED | changes, SUSPENDED)
    assert [w for w in warnings if "process.suspended" in w]
    assert len(list_warnings(tmp_path, SUSPENDED)) == 1
