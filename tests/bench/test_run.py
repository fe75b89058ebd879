"""Runs the benchmark briefly on real processes, and with invalid arguments."""

from __future__ import annotations

import json

from persimmonlink_bench.run import run

SCENARIO = """
// A light load with a domain drain and a cold server.
{
  "about": "short run", "user": "trentside", "nodes": 2, "loads": [0.3],
  "warm_up_s": 0.5, "duration_s": 4,
  "backends": {"work_ms": 10, "step_ms": 10, "prefill_ms": 10},
  "flows": [
    {"account": "festival-crew", "pipeline": "kit-return", "share": 2,
     "deadline_ms": 9000},
    {"account": "members-hire", "pipeline": "booking", "share": 1,
     "deadline_ms": 9000}
  ],
  "events": [
    {"at_s": 1, "action": "cold", "target": "assistant-1"},
    {"at_s": 2, "action": "drain", "target": "midlands-c"}
  ]
}
"""


def test_run_takes_figures_from_the_servers_records(tmp_path) -> None:
    path = tmp_path / "short.json"
    path.write_text(SCENARIO)
    out = tmp_path / "out"
    run([str(path), "--policy", "ours", "--repeats", "1", "--out", str(out)])
    results = json.loads((out / "short" / "results.json").read_text())
    (figures,) = [one["figures"] for one in results["runs"]]
    assert figures["wrong_answers"] == 0
    assert sum(figures["outcomes"].values()) == figures["requests"] > 50
    assert set(figures["cost_by_stage"]) == {
        "encode",
        "retrieve",
        "rerank",
        "generate",
        "book",
    }
    assert list(figures["attainment_by_window"]) == [
        "1 s cold assistant-1",
        "2 s drain midlands-c",
        "start",
    ]
    assert (out / "short" / "report.md").read_text().startswith("# short")
    assert (out / "short" / "timeline-0.3.png").stat().st_size


def test_unknown_policy_and_scenario_are_refused(capsys) -> None:
    assert run(["trentside-steady", "--policy", "none"]) == 2
    assert run(["no-such-scenario"]) == 2
    assert "trentside-steady" in capsys.readouterr().err
