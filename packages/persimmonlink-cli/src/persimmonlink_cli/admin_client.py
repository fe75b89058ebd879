"""Client of the admin API of the nodes."""

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
        # Another node may know a newer schema.
        ResultCode.RECORD_SCHEMA_UNKNOWN,
    }
)


@dataclass(frozen=True)
class Change:
    """A change to one record.

    Parameters
    ----------
    schema_version : int
        Schema version of the specification.
    change_id : str
        Id of the change, the same on each retry.
    spec : dict
        The specification.
    expected_revision : int
        Revision to replace, 0 for a record that must not exist.
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
        Id of the deletion, the same on each retry.
    expected_revision : int
        Revision to delete.
    """

    change_id: str
    expected_revision: int


@dataclass(frozen=True)
class ChangeFailure:
    """Failure of a change, which took no effect unless its run state is `UNKNOWN`.

    Parameters
    ----------
    failure : Failure
        Why the change failed.
    winner : Record or None
        Stored record that the change conflicts with.
    """

    failure: Failure
    winner: Record | None = None


@dataclass(frozen=True)
class _WriteResponse:
    """Response to a change that took effect."""

    revision: int


@dataclass(frozen=True)
class _RecordList:
    """Response that holds several records."""

    records: tuple[Record, ...]


class AdminClient:
    """Sends admin requests to the nodes in turn until one answers.

    Parameters
    ----------
    nodes : sequence of str
        `IP:PORT` of each node.
    transport : HttpTransport or None
        Transport to use, or None for a new one.
    sleep : callable
        Sleeps for a number of seconds.
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
        """Return the JSON body of a GET request to one node."""
        replied = self._transport.exchange("GET", node, path, timeout_s)
        return replied.bind(lambda reply: reply.decode(object))

    def list_records(self) -> Result[tuple[Record, ...], Failure]:
        """Return the newest records that the answering node knows."""
        return self._get("/v1/admin/records").bind(_parse_records)

    def list_history(self, kind: str, name: str) -> Result[tuple[Record, ...], Failure]:
        """Return the versions of a record that the key-value service keeps."""
        path = f"/v1/admin/history/{_quote_segment(kind)}/{_quote_segment(name)}"
        return self._get(path).bind(_parse_records)

    def find_record(self, kind: str, name: str) -> Result[Record | None, Failure]:
        """Return the newest version of a record, or None if there is none."""
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
            The change; its id stays the same when it is resent after a lost reply.

        Returns
        -------
        Result
            Revision of the write, or its failure, whose run state is `UNKNOWN` if the
            write may have taken effect.
        """
        return self._send_change("PUT", kind, name, change)

    def delete_record(
        self, kind: str, name: str, deletion: Deletion
    ) -> Result[int, ChangeFailure]:
        """Delete a record and return the revision of the deletion.

        Parameters and results are those of `put_record`.
        """
        return self._send_change("DELETE", kind, name, deletion)

    def _send_change(
        self, method: str, kind: str, name: str, change: Change | Deletion
    ) -> Result[int, ChangeFailure]:
        failure = Failure(ResultCode.PEER_UNREACHABLE, "no node is given")
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
        """Return the reply of the first node that answers a GET request."""
        failure = Failure(ResultCode.PEER_UNREACHABLE, "no node is given")
        for node in self.nodes:
            replied = self._transport.exchange("GET", node, path, REQUEST_TIMEOUT_S)
            if isinstance(replied, Success):
                return replied
            # A GET request changes nothing, so a broken one counts as not run.
            failure = Failure(ResultCode.PEER_UNREACHABLE, replied.failure().detail)
        return Failed(failure)


def _adjust_run_state(failed: ChangeFailure, may_be_applied: bool) -> ChangeFailure:
    """Set the run state to `UNKNOWN` if a send may have taken effect."""
    if not may_be_applied:
        return failed
    failure = replace(failed.failure, run_state=RunState.UNKNOWN)
    return replace(failed, failure=failure)


def _parse_write_reply(
    replied: Result[Reply, Failure], change_id: str
) -> Result[int, ChangeFailure]:
    """Return the revision or the failure in a reply to a change."""
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
        # An earlier send of this change took effect, and its reply was lost.
        return Success(winner.revision)
    return Failed(ChangeFailure(problem.to_failure(), winner))


def _parse_records(reply: Reply) -> Result[tuple[Record, ...], Failure]:
    """Return the records in a reply."""
    return reply.decode(_RecordList).map(lambda each: each.records)


def _record_path(kind: str, name: str) -> str:
    """Return the path of a record."""
    return f"/v1/admin/records/{_quote_segment(kind)}/{_quote_segment(name)}"


def _quote_segment(text: str) -> str:
    """Return a text quoted as one segment of a URL path."""
    return quote(text, safe="")


__all__ = ("AdminClient", "Change", "ChangeFailure", "Deletion")
