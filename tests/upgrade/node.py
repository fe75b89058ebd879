"""A node and its processes, each of one build."""

from __future__ import annotations

import json
import subprocess
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tests.router.rig import HOST

if TYPE_CHECKING:
    import signal


@dataclass
class Incarnation:
    """One process of a node: its build, its log and its invalid peer messages."""

    node: str
    build: str
    log_path: Path
    started_at: float
    terminated_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    # When it was frozen last, and when it went on.
    frozen: tuple[float, float] | None = None
    invalid_messages: float = 0.0
    relayed: float = 0.0

    def read_metrics(self, text: str) -> None:
        """Keep the counts of what it takes from peers and has them serve."""
        self.invalid_messages = _sum_series(
            text, "persimmonlink_invalid_peer_messages_total"
        )
        self.relayed = _sum_series(
            text, 'persimmonlink_relayed_requests_total{outcome="taken"}'
        )

    def read_log(self) -> list[dict[str, Any]]:
        """Return the lines of the log that are JSON objects."""
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


@dataclass
class Node:
    """A router that runs one build after another."""

    index: int
    name: str
    domain: str
    ports: dict[str, int]
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    incarnations: list[Incarnation] = field(default_factory=list)

    @property
    def build(self) -> str:
        """Name of the build that runs, or that ran last."""
        return self.incarnations[-1].build

    @property
    def links_path(self) -> Path:
        """File that names the links of this node."""
        return self.folder / f"{self.name}.links"

    def find_incarnation(self, at: float) -> Incarnation:
        """Return the process that ran last at a monotonic time."""
        found = self.incarnations[0]
        for incarnation in self.incarnations:
            if incarnation.started_at <= at:
                found = incarnation
        return found

    def address(self, name: str) -> str:
        """Return `IP:PORT` of a listener."""
        return f"{HOST}:{self.ports[name]}"

    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)


def _sum_series(text: str, prefix: str) -> float:
    """Return the sum of the series whose names begin with a prefix."""
    lines = text.splitlines()
    return sum(
        float(line.rpartition(" ")[2]) for line in lines if line.startswith(prefix)
    )


__all__ = ("Incarnation", "Node")
