"""Questions and changes that operators send to nodes."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, replace
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_client.transport import HttpTransport
from persimmonlink_model.record import Record
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_client.transport import Reply

REQUEST_TIMEOUT_S = 5.0
WRITE_ROUNDS = 3
WRITE_RETRY_DELAY_S = 0.5

_RETRYABLE_CODES = frozenset(
    {
        ResultCode.KEY_VALUE_UNAVAILABLE,
        ResultCode.NODE_STOPPING,
        ResultCode.PEER_UNREACHABLE,
        # Another node may know the newer schema.
        ResultCode.RECORD_SCHEMA_UNKNOWN,
    }
)


@dataclass(frozen=True)
class Change:
    """A change to one record.

    Parameters
    ----------
    schema_version : int
        Version of the schema that the specification follows.
    change_id : str
        Identity of the change, the same on each retry.
    spec : dict
        The specification.
    expected_revision : int
        Revision that the change replaces, 0 for a record that must not exist.
    """

    schema_version: int
    change_id: str
    spec: dict[str, Any]
    expected_revision: int


@dataclass(frozen=True)
class Deletion:
    """The deletion of one record.

    Parameters
    ----------
    change_id : str
        Identity of the deletion, the same on each retry.
    expected_revision : int
        Revision that is deleted.
    """

    change_id: str
    expected_revision: int


@dataclass(frozen=True)
class ChangeFailure:
    """Why a change didn't take effect.

    Parameters
    ----------
    failure : Failure
        The failure.
    winner : Record or None
        The record that won over the change.
    """

    failure: Failure
    winner: Record | None = None


@dataclass(frozen=True)
class _WriteResponse:
    """Answer to a change that took effect."""

    revision: int


@dataclass(frozen=True)
class _RecordList:
    """Answer to a question for several records."""

    records: tuple[Record, ...]


class AdminClient:
    """Asks nodes in turn until one answers.

    Parameters
    ----------
    nodes : sequence of str
        `IP:PORT` of each node.
    transport : HttpTransport or None
        Transport to use, or None for a new one.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        nodes: Sequence[str],
        transport: HttpTransport | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.nodes = tuple(nodes)
        self._transport = transport or HttpTransport()
        self._sleep = sleep

    def get_json(
        self, node: str, path: str, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Result[Any, Failure]:
        """Return one node's answer to a question, as parsed JSON."""
        replied = self._transport.exchange("GET", node, path, timeout_s)
        return replied.bind(lambda reply: reply.decode(object))

    def list_records(self) -> Result[tuple[Record, ...], Failure]:
        """Return the records in force."""
        return self._get("/v1/admin/records").bind(_parse_records)

    def list_history(self, kind: str, name: str) -> Result[tuple[Record, ...], Failure]:
        """Return the versions of a record that a node knows."""
        path = f"/v1/admin/history/{_quote_segment(kind)}/{_quote_segment(name)}"
        return self._get(path).bind(_parse_records)

    def find_record(self, kind: str, name: str) -> Result[Record | None, Failure]:
        """Return the record in force, or None where there is none."""
        replied = self._get(_record_path(kind, name))
        found = replied.bind(lambda reply: reply.decode(Record))
        if isinstance(found, Success):
            return Success(None if found.unwrap().deleted else found.unwrap())
        if found.failure().code is ResultCode.RECORD_NOT_FOUND:
            return Success(None)
        return Failed(found.failure())

    def put_record(
        self, kind: str, name: str, change: Change
    ) -> Result[int, ChangeFailure]:
        """Write a record and return its revision.

        Parameters
        ----------
        kind : str
            Kind of the record.
        name : str
            Name of the record.
        change : Change
            The change, sent under one id however often a reply is lost.

        Returns
        -------
        Result
            Revision of the write, or why there was none. Its run state is `UNKNOWN`
            if a write may have taken effect.
        """
        return self._send_change("PUT", kind, name, change)

    def delete_record(
        self, kind: str, name: str, deletion: Deletion
    ) -> Result[int, ChangeFailure]:
        """Delete a record and return the revision of the deletion; as `put_record`."""
        return self._send_change("DELETE", kind, name, deletion)

    def _send_change(
        self, method: str, kind: str, name: str, change: Change | Deletion
    ) -> Result[int, ChangeFailure]:
        failure = Failure(ResultCode.PEER_UNREACHABLE, "no node is named")
        may_be_applied = False
        for attempt in range(WRITE_ROUNDS * len(self.nodes)):
            if attempt and attempt % len(self.nodes) == 0:
                self._sleep(failure.retry_after_s or WRITE_RETRY_DELAY_S)
            replied = self._transport.exchange(
                method,
                self.nodes[attempt % len(self.nodes)],
                _record_path(kind, name),
                REQUEST_TIMEOUT_S,
                asdict(change),
            )
            outcome = _parse_write_reply(replied, change.change_id)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure().failure
            may_be_applied = may_be_applied or failure.run_state is not RunState.NOT_RUN
            if failure.code not in _RETRYABLE_CODES:
                return Failed(_adjust_run_state(outcome.failure(), may_be_applied))
        return Failed(_adjust_run_state(ChangeFailure(failure), may_be_applied))

    def _get(self, path: str) -> Result[Reply, Failure]:
        """Return the answer of the first node that gives one."""
        failure = Failure(ResultCode.PEER_UNREACHABLE, "no node is named")
        for node in self.nodes:
            replied = self._transport.exchange("GET", node, path, REQUEST_TIMEOUT_S)
            if isinstance(replied, Success):
                return replied
            # A question changes nothing, so that a broken one wasn't run.
            failure = Failure(ResultCode.PEER_UNREACHABLE, replied.failure().detail)
        return Failed(failure)


def _adjust_run_state(failed: ChangeFailure, may_be_applied: bool) -> ChangeFailure:
    """Return a refusal that claims "not run" only if no send may have taken effect."""
    if not may_be_applied:
        return failed
    failure = replace(failed.failure, run_state=RunState.UNKNOWN)
    return replace(failed, failure=failure)


def _parse_write_reply(
    replied: Result[Reply, Failure], change_id: str
) -> Result[int, ChangeFailure]:
    """Return what an answer to a change says."""
    if not isinstance(replied, Success):
        return Failed(ChangeFailure(replied.failure()))
    reply = replied.unwrap()
    if reply.is_success:
        written = reply.decode(_WriteResponse)
        return written.map(lambda each: each.revision).alt(ChangeFailure)
    problem = reply.to_problem()
    if problem.winner is None:
        return Failed(ChangeFailure(problem.to_failure()))
    try:
        winner = msgspec.convert(problem.winner, Record)
    except msgspec.ValidationError:
        return Failed(ChangeFailure(problem.to_failure()))
    if winner.change_id == change_id:
        # The reply to an earlier send was lost after the write took effect.
        return Success(winner.revision)
    return Failed(ChangeFailure(problem.to_failure(), winner))


def _parse_records(reply: Reply) -> Result[tuple[Record, ...], Failure]:
    """Return the records in an answer."""
    return reply.decode(_RecordList).map(lambda each: each.records)


def _record_path(kind: str, name: str) -> str:
    """Return the path of a record."""
    return f"/v1/admin/records/{_quote_segment(kind)}/{_quote_segment(name)}"


def _quote_segment(text: str) -> str:
    """Return a text as one part of a path."""
    return quote(text, safe="")


__all__ = ("AdminClient", "Change", "ChangeFailure", "Deletion")
