"""Commands that query nodes, and properties of all commands."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.client.fake_node import FakeNode, Request, Response, problem

from persimmonlink_cli.exit_code import ExitCode, exit_code_of
from persimmonlink_cli.run import COMMANDS, run
from persimmonlink_model.result_code import Failure, ResultCode, RunState

DOCS_PATH = Path(__file__).parents[2] / "docs" / "cli.md"
DOMAIN = {
    "kind": "domain",
    "name": "d1",
    "schema_version": 1,
    "change_id": "c",
    "revision": 3,
    "spec": {"state": "in_service", "note": "kept"},
}


def _serve_domain(
    node: FakeNode, members: list[str], *, is_drained: bool, revision: int = 4
) -> None:
    def handle(request: Request) -> Response:
        if request.method == "PUT":
            return Response({"revision": 4})
        if request.path.startswith("/v1/admin/records"):
            return Response(DOMAIN)
        listed = [{"node_id": each, "address": each} for each in members]
        drained = {"d1": is_drained}
        status = {"revision": revision, "members": listed, "drained_domains": drained}
        return Response({**status, "in_force_revisions": {"domain/d1": revision}})

    node.handle = handle


def test_drain_succeeds_when_every_member_confirms(
    node: FakeNode, other_node: FakeNode
) -> None:
    for each in (node, other_node):
        _serve_domain(each, [other_node.address], is_drained=True)
    args = ["domain", "drain", "d1", "--wait", "--node", node.address]
    assert run(args) == ExitCode.OK
    (put,) = node.received("PUT")
    assert put.body["spec"] == {"state": "drained", "note": "kept"}
    assert put.body["expected_revision"] == 3
    assert [each.path for each in other_node.requests] == ["/v1/admin/status"]


@pytest.mark.parametrize(("is_drained", "revision"), [(False, 4), (True, 3)])
def test_drain_reports_the_unconfirmed_members(
    node: FakeNode,
    other_node: FakeNode,
    capsys: pytest.CaptureFixture[str],
    is_drained: bool,
    revision: int,
) -> None:
    _serve_domain(node, [other_node.address, "127.0.0.1:1"], is_drained=True)
    _serve_domain(other_node, [], is_drained=is_drained, revision=revision)
    args = ["domain", "drain", "d1", "--wait", "--timeout-s", "0", "--json"]
    assert run([*args, "--node", node.address]) == ExitCode.UNAVAILABLE
    report = json.loads(capsys.readouterr().out)
    assert report["confirmed"] == [node.address]
    assert set(report["unconfirmed"]) == {other_node.address, "127.0.0.1:1"}


def test_newer_revision_of_another_record_does_not_confirm_a_drain(
    node: FakeNode,
) -> None:
    def handle(request: Request) -> Response:
        if request.method == "PUT":
            return Response({"revision": 4})
        if request.path.startswith("/v1/admin/records"):
            return Response(DOMAIN)
        # The node is still drained by revision 2: it has applied neither the restore
        # after it nor the new drain.
        status = {"revision": 9, "members": [], "drained_domains": {"d1": True}}
        return Response({**status, "in_force_revisions": {"domain/d1": 2}})

    node.handle = handle
    args = ["domain", "drain", "d1", "--wait", "--timeout-s", "0", "--node"]
    assert run([*args, node.address]) == ExitCode.UNAVAILABLE


def test_restore_is_confirmed_only_when_the_domain_is_not_drained(
    node: FakeNode,
) -> None:
    args = ["domain", "restore", "d1", "--wait", "--timeout-s", "0", "--node"]
    _serve_domain(node, [], is_drained=False)
    assert run([*args, node.address]) == ExitCode.OK
    _serve_domain(node, [], is_drained=True)
    assert run([*args, node.address]) == ExitCode.UNAVAILABLE


def test_status_includes_members_and_reports_unreachable_ones(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    _serve_domain(node, ["127.0.0.1:1"], is_drained=False)
    args = ["status", "--json", "--node", node.address]
    assert run(args) == ExitCode.UNAVAILABLE
    nodes = json.loads(capsys.readouterr().out)["nodes"]
    assert nodes[node.address]["revision"] == 4
    assert nodes["127.0.0.1:1"]["problem"]["code"] == ResultCode.PEER_UNREACHABLE


def test_explain_asks_members_until_one_knows_the_request(
    node: FakeNode, other_node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    def handle(request: Request) -> Response:
        if request.path == "/v1/admin/status":
            return Response({"members": [other_node.address]})
        return problem(2007, "unknown", 404)

    node.handle = handle
    other_node.handle = lambda _: Response({"why": "queue"})
    assert run(["explain", "r1", "--node", node.address]) == ExitCode.OK
    assert json.loads(capsys.readouterr().out) == {"why": "queue"}
    assert other_node.requests[-1].path == "/v1/admin/requests/r1"


def _serve_pipeline(node: FakeNode) -> None:
    def handle(request: Request) -> Response:
        if request.path == "/v1/entry":
            listed = [{"address": node.address, "domain": "d"}]
            return Response({"addresses": listed, "ttl_s": 5, "id_prefix": "n-"})
        end = {"request_id": request.body["request_id"], "output": "ab"}
        end = {**end, "complete": True, "stages": []}
        if not request.body["stream"]:
            return Response(end)
        return Response(lines=({"sequence": 0, "text": "a"}, {"sequence": 1, **end}))

    node.handle = handle


@pytest.mark.parametrize("options", [[], ["--stream"]])
def test_call_prints_the_whole_output_once(
    node: FakeNode,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    options: list[str],
) -> None:
    _serve_pipeline(node)
    source = tmp_path / "input.txt"
    source.write_text("tent")
    args = ["call", "p", "--account", "crew", "--input", f"@{source}", *options]
    more = ["--non-repeatable", "--deadline-ms", "900", "--class", "fast"]
    assert run([*args, *more, "--node", node.address]) == ExitCode.OK
    assert capsys.readouterr().out == "ab\n"
    (post,) = node.received("POST")
    assert post.body["input"] == "tent"
    assert post.body["repeatable"] is False
    assert post.body["deadline_ms"] == 900
    assert post.body["request_class"] == "fast"


def test_unreachable_nodes_exit_as_unavailable() -> None:
    assert run(["get", "--node", "127.0.0.1:1"]) == ExitCode.UNAVAILABLE


def test_missing_node_and_input_file_are_bad_input(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv("PERSIMMONLINK_NODES", raising=False)
    with pytest.raises(SystemExit) as ended:
        run(["get"])
    assert ended.value.code == ExitCode.BAD_INPUT
    with pytest.raises(SystemExit) as ended:
        run(["get", "--node", "entry-1:80"])
    assert ended.value.code == ExitCode.BAD_INPUT
    args = ["call", "p", "--account", "a", "--input", "@/nowhere"]
    assert run([*args, "--node", "127.0.0.1:1"]) == ExitCode.BAD_INPUT


@pytest.mark.parametrize("name", [command.NAME for command in COMMANDS])
def test_each_command_has_examples_and_a_docs_entry(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        run([name, "--help"])
    assert ended.value.code == 0
    shown = capsys.readouterr().out
    assert f"examples:\n  persimmonlink {name}" in shown
    assert "--json" in shown
    assert f"persimmonlink {name}" in DOCS_PATH.read_text()


def test_docs_list_each_exit_code() -> None:
    rows = DOCS_PATH.read_text()
    for code in ExitCode:
        assert f"| {code.value} | {code.name} |" in rows


@given(code=st.sampled_from(ResultCode), state=st.sampled_from(RunState))
def test_exit_codes_for_no_effect_require_run_state_not_run(
    code: ResultCode, state: RunState
) -> None:
    exit_code = exit_code_of(Failure(code, run_state=state))
    assert exit_code is not ExitCode.OK
    if exit_code in (ExitCode.NOT_RUN, ExitCode.UNAVAILABLE):
        assert state is RunState.NOT_RUN
