"""What was done in a run and when, in monotonic seconds."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(frozen=True)
class NamedLimit:
    """A limit that a server named for a time, in requests a second."""

    server_id: str
    rate_per_s: float
    named_at: float
    ended_at: float


@dataclass(frozen=True)
class BrittleTime:
    """A time in which the servers of stages said that they were brittle."""

    named_at: float
    ended_at: float


@dataclass(frozen=True)
class Cut:
    """A time in which nodes reached no server; some had the newer build."""

    nodes: tuple[int, ...]
    newer_nodes: tuple[int, ...]
    began_at: float
    ended_at: float


@dataclass
class Timeline:
    """Work and trouble of a run, and what its steps found by themselves."""

    began_at: float = field(default_factory=time.monotonic)
    drained_at_by_server: dict[str, float] = field(default_factory=dict)
    limits: list[NamedLimit] = field(default_factory=list)
    brittle_times: list[BrittleTime] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    troubles: list[tuple[float, float]] = field(default_factory=list)
    # Spans in which all nodes have one build and nothing unplanned goes on.
    steady_spans: list[tuple[float, float]] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Keep a line of the report that breaks no rule."""
        self.notes.append(text)

    def is_troubled(self, from_at: float, to_at: float) -> bool:
        """Whether something unplanned went on at some time between two."""
        return any(from_at < end and to_at > begin for begin, end in self.troubles)


__all__ = ("BrittleTime", "Cut", "NamedLimit", "Timeline")
