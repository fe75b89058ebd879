"""Slopes of the committed tables, and the figures that are worked out from them."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np


@dataclass
class CapacityFigure:
    """One figure of the page.

    Parameters
    ----------
    role : str
        Role that it belongs to.
    figure : str
        What it is.
    value : float
        At the letter's size, for one node unless it says otherwise.
    unit : str
        Its unit.
    derivation : str
        How it follows from the slopes.
    """

    role: str
    quantity: str
    value: float
    unit: str
    derivation: str


@dataclass
class MeasurementTables:
    """Tables of measurements that were committed.

    Parameters
    ----------
    path : Path
        Their folder.
    missing : list of str
        Tables that were asked for and are not there.
    """

    path: Path
    missing: list[str] = field(default_factory=list)

    def read(self, name: str) -> dict[str, Any]:
        """Return a table, empty where there is none."""
        try:
            return json.loads((self.path / f"{name}.json").read_text())
        except OSError:
            self.missing.append(name)
            return {}

    def fit(self, name: str, size_column: str, column: str) -> tuple[float, float]:
        """Return slope and intercept of a column; NaN where they were not measured."""
        rows = [row for row in self.read(name).get("rows", []) if column in row]
        if len(rows) < 2:
            return float("nan"), float("nan")
        slope, intercept = np.polyfit(
            [row[size_column] for row in rows], [row[column] for row in rows], 1
        )
        return float(slope), float(intercept)

    def read_last(self, name: str, column: str) -> float:
        """Return a column of the last row."""
        rows = self.read(name).get("rows", [])
        return float(rows[-1][column]) if rows else float("nan")

    def read_derived(self, name: str, figure: str) -> float:
        """Return a figure worked out in a table."""
        return float(self.read(name).get("derived", {}).get(figure, float("nan")))


__all__ = ("CapacityFigure", "MeasurementTables")
