"""Joins what clients, nodes and servers recorded of the same requests."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.upgrade.deployment import Deployment
    from tests.upgrade.exchange import Attempt
    from tests.upgrade.node import Incarnation

    from persimmonlink_stand_ins.routed_server import Run

IDLE_TIMEOUT_S = 15.0  # The nodes' setting.
CROSSING_S = 0.2  # Longest time from a close to the last request that crosses it.
CONTACT_S = 3.0  # The users' bound from which a disturbed node is in touch again.


class RunView:
    """Finds the runs, the process and the state of the node of an attempt.

    Parameters
    ----------
    deployment : Deployment
        Nodes, servers and the store.
    attempts : list of Attempt
        What clients sent and got, in order.
    began_at : float
        Monotonic time at which the run began, in seconds.
    """

    def __init__(
        self, deployment: Deployment, attempts: list[Attempt], began_at: float
    ) -> None:
        self.deployment = deployment
        self.attempts = attempts
        self.attempt_by_id = {attempt.request_id: attempt for attempt in attempts}
        self.runs_by_id: dict[str, list[tuple[str, Run]]] = defaultdict(list)
        self._began_at = began_at
        for server_id, server in deployment.server_by_id.items():
            for run in server.runs:
                self.runs_by_id[run.request_id].append((server_id, run))

    def find_incarnation(self, attempt: Attempt) -> Incarnation | None:
        """Return the process that took an attempt."""
        if attempt.node < 0:
            return None
        return self.deployment.nodes[attempt.node].find_incarnation(attempt.sent_at)

    def is_in_touch(self, attempt: Attempt, at: float) -> bool:
        """Whether the node of an attempt ran without a disturbance before a time."""
        incarnation = self.find_incarnation(attempt)
        if incarnation is None or at - incarnation.started_at < CONTACT_S:
            return False
        if incarnation.frozen is not None:
            began_at, ended_at = incarnation.frozen
            if began_at < at < ended_at + CONTACT_S:
                return False
        ends = (incarnation.terminated_at, incarnation.ended_at)
        return not any(end is not None and end < at for end in ends)

    def crossed_idle_close(self, attempt: Attempt) -> bool:
        """Whether a request crossed the end of a connection that was idle too long.

        Nodes state a shorter time than that after which they end one.
        """
        if attempt.status or attempt.idle_s is None or attempt.end != "broke off":
            return False
        if self.runs_by_id[attempt.request_id]:
            return False
        is_idle = attempt.idle_s >= IDLE_TIMEOUT_S - CROSSING_S
        return is_idle and attempt.ended_at - attempt.sent_at <= CROSSING_S

    def describe(self, attempt: Attempt) -> str:
        runs = self.runs_by_id[attempt.request_id]
        since = attempt.sent_at - self._began_at
        servers = [server_id for server_id, _ in runs]
        connection = "new" if attempt.idle_s is None else f"idle {attempt.idle_s:.2f} s"
        took_s = attempt.ended_at - attempt.sent_at
        taken_up = f" takes up {attempt.resumes}" if attempt.resumes else ""
        return (
            f"{attempt.kind.method} {attempt.kind.prefix} {attempt.request_id}"
            f"{taken_up} from event {attempt.first_event} at entry-{attempt.node} "
            f"({attempt.build}) at {since:.2f} s: "
            f"status {attempt.status}, {attempt.end} after {took_s:.2f} s, "
            f"connection {connection}, ran at {servers}"
        )


def is_begun(attempt: Attempt) -> bool:
    """Whether a client got a whole response, or left a stream that had begun."""
    return attempt.is_served or (attempt.end == "left" and attempt.status == 200)


__all__ = ("CONTACT_S", "RunView", "is_begun")
