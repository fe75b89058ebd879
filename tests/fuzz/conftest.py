"""Prints how long the fuzzing took."""

from __future__ import annotations

from pathlib import Path

FOLDER = Path(__file__).parent.name


def pytest_terminal_summary(terminalreporter) -> None:
    reports = [
        report
        for outcome in ("passed", "failed", "xfailed", "xpassed")
        for report in terminalreporter.stats.get(outcome, ())
        if f"/{FOLDER}/" in getattr(report, "nodeid", "")
    ]
    if not reports:
        return
    seconds = sum(report.duration for report in reports)
    terminalreporter.write_line(f"FUZZ: {len(reports)} tests took {seconds:.1f} s")
