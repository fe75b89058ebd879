"""Errors in the logs of two builds, of which the older one fails at resets."""

from __future__ import annotations

import json

import pytest
from tests.upgrade.logs import RESET_ERROR, list_log_faults
from tests.upgrade.node import Incarnation, Node

OLD, NEW = "old", "new"
RESET = {"event": "task.failed", "task": "heartbeats", "exception": RESET_ERROR}


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
