"""Tables of capacity measurements with linear fits."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from pathlib import Path

Row = dict[str, float]


@dataclass
class Table:
    """Rows of measurements at several values of one size.

    Parameters
    ----------
    name : str
        Name of the measurement and of its files.
    about : str
        What was measured and how, in a few sentences.
    size_column : str
        Column that holds the size; nothing is fitted if empty.
    command : str
        Command that reproduces the table.
    rows : list of Row
        Values by column.
    derived : Row
        Figures derived from the rows.
    load_average_before : float
        Load average of the machine when the table was created.
    """

    name: str
    about: str
    size_column: str
    command: str
    rows: list[Row] = field(default_factory=list)
    derived: Row = field(default_factory=dict)
    load_average_before: float = field(default_factory=lambda: os.getloadavg()[0])

    def fit(self, column: str) -> tuple[float, float]:
        """Return slope and intercept of a column as a function of the size."""
        pairs = [
            (row[self.size_column], row[column]) for row in self.rows if column in row
        ]
        if len({size for size, _ in pairs}) < 2:
            return 0.0, pairs[0][1] if pairs else 0.0
        sizes, values = zip(*pairs, strict=True)
        slope, intercept = np.polyfit(sizes, values, 1)
        return float(slope), float(intercept)

    def to_markdown(self) -> str:
        """Return the table as Markdown, followed by slopes and intercepts."""
        columns = list(self.rows[0])
        load = f"{self.load_average_before:.1f} before, {os.getloadavg()[0]:.1f} after"
        lines = [f"# {self.name}", "", self.about, "", f"    {self.command}", ""]
        lines += [f"Load average of the machine: {load}.", ""]
        lines.append("| " + " | ".join(columns) + " |")
        lines.append("|" + " ---: |" * len(columns))
        for row in self.rows:
            cells = [format(row.get(column, 0.0), ".4g") for column in columns]
            lines.append("| " + " | ".join(cells) + " |")
        if self.derived:
            lines += ["", "| worked out | |", "| --- | ---: |"]
            lines += [f"| {name} | {v:.4g} |" for name, v in self.derived.items()]
        if len(self.rows) < 2 or not self.size_column:
            return "\n".join(lines) + "\n"
        lines += ["", f"| against {self.size_column} | slope | intercept |"]
        lines.append("| --- | ---: | ---: |")
        for column in columns:
            if (
                column == self.size_column
                or len({row.get(column) for row in self.rows}) < 2
            ):
                continue
            slope, intercept = self.fit(column)
            lines.append(f"| {column} | {slope:.4g} | {intercept:.4g} |")
        return "\n".join(lines) + "\n"

    def write(self, directory: Path) -> None:
        """Write the table as Markdown and JSON."""
        directory.mkdir(parents=True, exist_ok=True)
        (directory / f"{self.name}.md").write_text(self.to_markdown())
        value: dict[str, object] = {
            "command": self.command,
            "size": self.size_column,
            "rows": self.rows,
        }
        value["derived"] = self.derived
        (directory / f"{self.name}.json").write_text(json.dumps(value, indent=1) + "\n")


__all__ = ("Row", "Table")
