"""What was done to nodes and servers in a run, in the order of time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.planned_work import sheet

if TYPE_CHECKING:
    from tests.planned_work.record import Attempt, Event, Record

NEVER = float("inf")
NAMED_S = 3.0  # Time beyond the contact time for which directories may name a node.


@dataclass
class Incarnation:
    """One process of a node: its times, infinite if they never came."""

    started_at: float
    signalled_at: float = NEVER
    ended_at: float = NEVER
    killed_at: float = NEVER


class History:
    """Events by the nodes and servers that they concern."""

    def __init__(self, record: Record) -> None:
        self.left_by_server: dict[str, Event] = {}
        self.configurations: list[Event] = []
        self._reloads: list[Event] = []
        self._silences: list[Event] = []
        self.failures: list[Event] = []
        self._processes_by_node: dict[str, list[Incarnation]] = {}
        for event in record.events:
            if event.name == "leaves":
                self.left_by_server[event.subject] = event
            elif event.name == "configuration":
                self.configurations.append(event)
            elif event.name == "SIGHUP":
                self._reloads.append(event)
            elif event.name == "silence":
                self._silences.append(event)
            elif event.name in ("ready", "start", "SIGTERM", "ended", "kill"):
                self._apply(event, record.began_at - sheet.CONTACT_S)
            if event.name in ("kill", "crash"):
                self.failures.append(event)

    def _apply(self, event: Event, first_start_at: float) -> None:
        first = Incarnation(first_start_at)
        processes = self._processes_by_node.setdefault(event.subject, [first])
        if event.name == "start":
            processes.append(Incarnation(event.at))
        elif event.name == "SIGTERM":
            processes[-1].signalled_at = event.at
        elif event.name in ("ended", "kill"):
            processes[-1].ended_at = event.at
        if event.name == "kill":
            processes[-1].killed_at = event.at

    def find_process(self, node: str, at: float) -> Incarnation:
        """Return the process of a node that was the last to be started at a time."""
        processes = self._processes_by_node[node]
        started = [process for process in processes if process.started_at <= at]
        return started[-1] if started else processes[0]

    def is_stopping(self, node: str, at: float) -> bool:
        """Whether a node had got SIGTERM and had not ended."""
        process = self.find_process(node, at)
        return process.signalled_at < at < process.ended_at

    def is_in_touch(self, node: str, at: float) -> bool:
        """Whether nothing was done to a node's process in the contact time before."""
        process, since = self.find_process(node, at), at - sheet.CONTACT_S
        return process.started_at <= since and not since < process.signalled_at <= at

    def find_reload(self, attempt: Attempt) -> bool:
        """Whether a request ended around a SIGHUP of its node, as planned work counts.

        It was sent up to the configuration's time after the signal, and ended later.
        """
        return any(
            event.subject == attempt.node
            and event.at <= attempt.ended_at
            and attempt.sent_first <= event.at + sheet.CONFIG_S
            for event in self._reloads
        )

    def is_silent(self, server_id: str, since: float, until: float) -> bool:
        """Whether a server was silent at some moment between two times."""
        return any(
            event.subject == server_id
            and event.at <= until
            and event.at + float(event.details) >= since
            for event in self._silences
        )

    def has_long_ended(self, node: str, at: float) -> bool:
        """Whether a node's process ended so long before that no answer names it."""
        process = self.find_process(node, at)
        return process.ended_at + sheet.CONTACT_S + NAMED_S < at

    def is_running(self, node: str, at: float) -> bool:
        """Whether a node's process ran at a time."""
        process = self.find_process(node, at)
        return process.started_at <= at < process.ended_at

    def tell_failures(self, since: float, until: float) -> str:
        """Name what failed unplanned between two times."""
        names = [
            f"{event.name} of {event.subject}"
            for event in self.failures
            if since - sheet.CONTACT_S <= event.at <= until
        ]
        return ", ".join(names) or "nothing"
