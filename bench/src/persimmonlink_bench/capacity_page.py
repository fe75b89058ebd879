"""Writes the figures for the target size into the capacity page."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from persimmonlink_bench.capacity_arithmetic import compute_capacity_figures
from persimmonlink_bench.capacity_slopes import CapacityFigure, MeasurementTables

if TYPE_CHECKING:
    from collections.abc import Sequence

PAGE_PATH = Path("docs") / "CAPACITY.md"
TABLES_PATH = Path("docs") / "measurements" / "capacity"
BEGIN_MARKER = "<!-- figures: python -m persimmonlink_bench.capacity_page -->"
END_MARKER = "<!-- end of figures -->"


def format_section(figures: Sequence[CapacityFigure], missing: Sequence[str]) -> str:
    """Return the figures as a Markdown table."""
    rows = [BEGIN_MARKER, "", "| role | figure | at the letter's size | how |"]
    rows.append("| --- | --- | ---: | --- |")
    for figure in figures:
        value = "not run" if figure.value != figure.value else f"{figure.value:,.4g}"
        if abs(figure.value) >= 10_000:
            value = f"{figure.value:,.0f}"
        rows.append(
            f"| {figure.role} | {figure.quantity} | {value} {figure.unit.strip()} "
            f"| {figure.derivation} |"
        )
    for name in dict.fromkeys(missing):
        rows.append(f"\nNot run: `{name}`.")
    return "\n".join([*rows, "", END_MARKER])


def run(arguments: Sequence[str] | None = None) -> int:
    """Replace the text between the page's two markers with the current figures."""
    parser = argparse.ArgumentParser(description=run.__doc__)
    parser.add_argument("--tables", type=Path, default=TABLES_PATH)
    parser.add_argument("--page", type=Path, default=PAGE_PATH)
    options = parser.parse_args(arguments)
    tables = MeasurementTables(options.tables)
    section = format_section(compute_capacity_figures(tables), tables.missing)
    text = options.page.read_text()
    before, _, rest = text.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    options.page.write_text(before + section + after)
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("format_section", "run")
