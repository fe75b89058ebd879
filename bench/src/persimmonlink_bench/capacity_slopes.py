"""Linear fits of committed measurement tables, and the figures derived from them."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np


@dataclass
class CapacityFigure:
    """One figure of the capacity page.

    Parameters
    ----------
    role : str
        Role or component that the figure belongs to.
    quantity : str
        Quantity that the figure gives.
    value : float
        Value at the target size, for one node unless `quantity` says otherwise; NaN if
        a table is missing.
    unit : str
        Unit of the value. With a space at its end, which the page omits, the figure
        does not count in the sums over all control roles.
    derivation : str
        How the value follows from the measured slopes.
    """

    role: str
    quantity: str
    value: float
    unit: str
    derivation: str


@dataclass
class MeasurementTables:
    """Measurement tables in a directory.

    Parameters
    ----------
    path : Path
        Directory of the tables.
    missing : list of str
        Tables that were read and don't exist.
    """

    path: Path
    missing: list[str] = field(default_factory=list)

    def read(self, name: str) -> dict[str, Any]:
        """Return a table, empty if it doesn't exist."""
        try:
            return json.loads((self.path / f"{name}.json").read_text())
        except OSError:
            self.missing.append(name)
            return {}

    def fit(self, name: str, size_column: str, column: str) -> tuple[float, float]:
        """Return slope and intercept of a column; NaN with fewer than two rows."""
        rows = [row for row in self.read(name).get("rows", []) if column in row]
        if len(rows) < 2:
            return float("nan"), float("nan")
        slope, intercept = np.polyfit(
            [row[size_column] for row in rows], [row[column] for row in rows], 1
        )
        return float(slope), float(intercept)

    def read_last(self, name: str, column: str) -> float:
        """Return a column of the last row, NaN without rows."""
        rows = self.read(name).get("rows", [])
        return float(rows[-1][column]) if rows else float("nan")

    def read_derived(self, name: str, figure: str) -> float:
        """Return a derived figure of a table, NaN if it is missing."""
        return float(self.read(name).get("derived", {}).get(figure, float("nan")))


__all__ = ("CapacityFigure", "MeasurementTables")
