"""Validation of the settings file, which reports all faults together."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from persimmonlink_node.run import run
from persimmonlink_node.settings import read_settings

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

VALID = {
    "node_id": "entry-1",
    "domain": "midlands-a",
    "listen": {"address": "127.0.0.1", "http_port": 18001, "peer_port": 18051},
    "key_value": {"addresses": ["127.0.0.1:18000"]},
    "vm_list": {"address": "127.0.0.1:18010"},
}


def test_comments_are_allowed(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text("// one node\n" + json.dumps(VALID))
    assert read_settings(path).unwrap().node_id == "entry-1"


def test_every_fault_is_listed_with_its_path(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    raw = VALID | {
        "listen": {"address": "127.0.0.1", "http_port": 0, "peer_port": "x"},
        "policy": {"line": "fastest"},
        "unknown": 1,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(raw))
    assert run(["--settings", str(path), "--check"]) == 2
    printed = capsys.readouterr().err
    for part in ("listen.http_port", "listen.peer_port", "policy.line", "unknown"):
        assert part in printed
    assert "fair" in printed
