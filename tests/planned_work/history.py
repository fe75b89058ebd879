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
        self._left_by_server: dict[str, list[Event]] = {}
        self._returned_by_server: dict[str, list[float]] = {}
        self.configurations: list[Event] = []
        self._reloads: list[Event] = []
        self._silences: list[Event] = []
        self._store_troubles: list[tuple[float, float]] = []
        self.failures: list[Event] = []
        self._processes_by_node: dict[str, list[Incarnation]] = {}
        for event in record.events:
            self._add(event, record.began_at - sheet.CONTACT_S)

    def _add(self, event: Event, first_start_at: float) -> None:
        list_by_name = {
            "configuration": self.configurations,
            "SIGHUP": self._reloads,
            "silence": self._silences,
        }
        if event.name in list_by_name:
            list_by_name[event.name].append(event)
        elif event.name == "leaves":
            self._left_by_server.setdefault(event.subject, []).append(event)
        elif event.name == "server returned":
            returns = self._returned_by_server.setdefault(event.subject, [])
            returns.append(event.at)
        elif event.name == "store trouble":
            self._store_troubles.append((event.at, NEVER))
        elif event.name == "store sound":
            began_at, _ = self._store_troubles[-1]
            self._store_troubles[-1] = (began_at, event.at)
        elif event.name in ("ready", "start", "SIGTERM", "ended", "kill"):
            self._apply(event, first_start_at)
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

    def find_departure(self, server_id: str, at: float) -> Event | None:
        """Return the last departure of a server before a time, unless it is back."""
        left = [e for e in self._left_by_server.get(server_id, []) if e.at <= at]
        returned = [t for t in self._returned_by_server.get(server_id, []) if t <= at]
        if not left or (returned and returned[-1] > left[-1].at):
            return None
        return left[-1]

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
        """Whether a node and the store were left alone in the contact time before."""
        process, since = self.find_process(node, at), at - sheet.CONTACT_S
        if not self.is_store_stable(at):
            return False
        return process.started_at <= since and not since < process.signalled_at <= at

    def is_store_stable(self, at: float) -> bool:
        """Whether the store was left alone in the contact time before."""
        return not any(
            began_at <= at and ended_at >= at - sheet.CONTACT_S
            for began_at, ended_at in self._store_troubles
        )

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
