"""Commands that validate, write and print records."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from tests.client.fake_node import FakeNode, Request, Response, problem

from persimmonlink_cli import admin_client
from persimmonlink_cli.exit_code import ExitCode
from persimmonlink_cli.run import run

EXAMPLES_PATH = Path(__file__).parents[2] / "examples"


def _record(name: str, revision: int, spec: dict[str, Any], change: str = "c") -> dict:
    record = {"kind": "account", "name": name, "schema_version": 1, "spec": spec}
    return {**record, "change_id": change, "revision": revision}


def _write(path: Path, *records: Any) -> str:
    path.write_text("// a comment\n" + json.dumps(records))
    return str(path)


CREW = {"kind": "account", "name": "crew", "spec": {"weight": 2.0}}


@pytest.mark.parametrize("name", ["trentside.json", "nilemark.json"])
def test_examples_are_valid(name: str) -> None:
    assert run(["validate", str(EXAMPLES_PATH / name)]) == ExitCode.OK


def test_validate_reports_every_fault_with_its_path(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    domain = {"kind": "domain", "name": "A", "spec": {"state": "out", "x": 1}}
    stages = [{"name": "encode"}]
    pipeline = {"kind": "pipeline", "name": "p", "spec": {"stages": stages}}
    other = {"kind": "shop", "name": "s", "spec": {}, "revision": 1}
    path = _write(tmp_path / "a.json", domain, pipeline, other, CREW, CREW)
    assert run(["validate", "--json", path]) == ExitCode.BAD_INPUT
    faults = json.loads(capsys.readouterr().out)["faults"]
    message_by_path = {
        each["path"].removeprefix(f"{path}: "): each["message"] for each in faults
    }
    assert set(message_by_path) == {
        "record[0].name",
        "record[0].spec.state",
        "record[0].spec.x",
        "record[1].spec.stages[0].service",
        "record[2].kind",
        "record[2].revision",
        "record[4]",
    }
    assert '"drained", "in_service"' in message_by_path["record[0].spec.state"]
    assert '"pipeline"' in message_by_path["record[2].kind"]


@pytest.mark.parametrize("text", ["[", "[{'a': 1}]", '[{"weight": 1e999}]', "[NaN]"])
def test_unreadable_file_is_a_fault(tmp_path: Path, text: str) -> None:
    path = tmp_path / "a.json"
    path.write_text(text)
    missing = str(tmp_path / "missing.json")
    assert run(["validate", str(path)]) == ExitCode.BAD_INPUT
    assert run(["validate", missing]) == ExitCode.BAD_INPUT


def test_newer_schema_version_may_have_unknown_fields(tmp_path: Path) -> None:
    spec = {"weight": 1, "burst": 3}
    newer = {**CREW, "spec": spec, "schema_version": 2}
    assert run(["validate", _write(tmp_path / "a.json", newer)]) == ExitCode.OK
    older = {**CREW, "spec": spec}
    assert run(["validate", _write(tmp_path / "a.json", older)]) == ExitCode.BAD_INPUT


def test_apply_writes_nothing_if_any_record_is_invalid(
    node: FakeNode, tmp_path: Path
) -> None:
    path = _write(tmp_path / "a.json", CREW, {**CREW, "name": "B"})
    assert run(["apply", path, "--node", node.address]) == ExitCode.BAD_INPUT
    assert not node.requests


def test_apply_replaces_the_revision_in_force(
    node: FakeNode,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def handle(request: Request) -> Response:
        if request.method == "PUT":
            return Response({"revision": 9})
        if request.path.endswith("crew"):
            return Response(_record("crew", 7, {}))
        return problem(4004, "not_run", 404)

    node.handle = handle
    monkeypatch.setenv("PERSIMMONLINK_NODES", node.address)
    path = _write(tmp_path / "a.json", CREW, {**CREW, "name": "new"})
    assert run(["apply", path]) == ExitCode.OK
    assert "account crew: revision 9" in capsys.readouterr().out
    crew, new = node.received("PUT")
    assert (crew.body["expected_revision"], new.body["expected_revision"]) == (7, 0)
    assert crew.body["change_id"] != new.body["change_id"]


def test_lost_reply_is_retried_as_the_same_change(
    node: FakeNode, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def handle(request: Request) -> Response:
        if request.method == "GET":
            return problem(4004, "not_run", 404)
        if len(node.received("PUT")) == 1:
            return Response({"revision": 9}, is_broken=True)
        winner = _record("crew", 9, CREW["spec"], request.body["change_id"])
        return problem(4001, "not_run", 409, winner=winner)

    node.handle = handle
    monkeypatch.setattr(admin_client, "WRITE_RETRY_DELAY_S", 0.0)
    path = _write(tmp_path / "a.json", CREW)
    assert run(["apply", path, "--node", node.address]) == ExitCode.OK
    first, second = node.received("PUT")
    assert first.body == second.body


def test_write_whose_replies_are_all_lost_is_unknown(
    node: FakeNode,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def handle(request: Request) -> Response:
        if request.method == "GET":
            return problem(4004, "not_run", 404)
        return Response({"revision": 9}, is_broken=True)

    node.handle = handle
    monkeypatch.setattr(admin_client, "WRITE_RETRY_DELAY_S", 0.0)
    path = _write(tmp_path / "a.json", CREW)
    assert run(["apply", path, "--node", node.address]) == ExitCode.FAILED
    assert "unknown" in capsys.readouterr().err


def test_conflict_shows_the_winner_and_the_difference(
    node: FakeNode, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    winner = _record("crew", 8, {"weight": 5.0}, "theirs")

    def handle(request: Request) -> Response:
        if request.method == "GET":
            return Response(_record("crew", 7, {}))
        return problem(4001, "not_run", 409, winner=winner)

    node.handle = handle
    path = _write(tmp_path / "a.json", CREW)
    assert run(["apply", path, "--node", node.address]) == ExitCode.CONFLICT
    shown = capsys.readouterr().err
    assert "revision 8 won" in shown
    assert '-  "weight": 5.0' in shown
    assert '+  "weight": 2.0' in shown


def test_get_and_history_show_records(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    node.handle = lambda _: Response({"records": [_record("crew", 7, {})]})
    for command in (["get", "account"], ["history", "account", "crew"]):
        assert run([*command, "--node", node.address]) == ExitCode.OK
        assert "account crew revision 7" in capsys.readouterr().out
    assert node.requests[-1].path == "/v1/admin/history/account/crew"
    assert run(["get", "domain", "--json", "--node", node.address]) == ExitCode.OK
    assert json.loads(capsys.readouterr().out) == {"records": []}
