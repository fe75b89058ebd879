"""What clients, servers and the operator saw in a run, with monotonic times."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from tests.planned_work.sheet import RequestClass

from persimmonlink_stand_ins.raw_server import RawRequest


@dataclass(frozen=True)
class Event:
    """Something that the operator or the platform did, at a monotonic time."""

    at: float
    name: str
    subject: str
    details: str = ""


@dataclass(frozen=True)
class DirectoryAnswer:
    """The nodes that an answer of a node's directory named, at a monotonic time."""

    at: float
    node: str
    named: tuple[str, ...]


@dataclass
class Arrival:
    """A request, or pieces of several, that reached a server.

    `senders` holds the node that sent it once that is known, `end` how the run
    ended: empty while it runs, or if it was rejected.
    """

    server_id: str
    service: str
    version: str
    request_ids: tuple[str, ...]
    request: RawRequest
    at: float
    is_misdirected: bool
    senders: list[str]
    has_run: bool = False
    ended_at: float = 0.0
    end: str = ""


@dataclass
class Attempt:
    """One client attempt: what was sent, when, and how it ended.

    `end` is `complete`, `closed`, `reset`, `malformed`, `gave up` or `no connection`.
    """

    request_id: str
    entry: RequestClass
    path: str
    node: str
    headers: dict[str, str]
    body: bytes
    follows: bool = False
    connection: int = 0
    is_kept: bool = False
    position: int = 0
    previous_head_at: float = 0.0
    previous_closes: bool = False
    sent_first: float = 0.0
    sent_last: float = 0.0
    head_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    response_headers: dict[str, str] = field(default_factory=dict)
    received: bytearray = field(default_factory=bytearray)
    end: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the response ended as its framing says."""
        return self.end == "complete"

    def list_events(self) -> list[tuple[int, str, str]]:
        """Return id, software version and prompt part of each whole event."""
        events = []
        for text in bytes(self.received).split(b"\n\n")[:-1]:
            lines = text.decode().split("\n")
            words = lines[1].split()
            events.append((int(lines[0].removeprefix("id: ")), words[1], words[3]))
        return events


@dataclass
class Chain:
    """A request of a client with its attempts."""

    entry: RequestClass
    event_count: int
    own_part: str
    deadline_at: float
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Record:
    """What all servers saw, and what the clients and the operator add to it."""

    arrivals: list[Arrival] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    chains: list[Chain] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    directory_answers: list[DirectoryAnswer] = field(default_factory=list)
    began_at: float = field(default_factory=time.monotonic)
    # Times and lengths of the pauses of the process that runs clients and servers.
    lags: list[tuple[float, float]] = field(default_factory=list)

    def longest_lag_s(self, since: float, until: float) -> float:
        """Return the longest such pause between two times, in seconds."""
        return max((lag for at, lag in self.lags if since <= at <= until), default=0.0)
