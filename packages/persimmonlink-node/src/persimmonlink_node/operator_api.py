"""The HTTP API for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from urllib.parse import unquote

import msgspec
import uuid6
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.record import Record, RecordKind
from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_node.record_writer import (
    ChangeRefused,
    RecordChange,
    RecordDeletion,
    RecordWriter,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_node.http_exchange import Exchange
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.request_trace import TraceStore
    from persimmonlink_node.status import StatusReporter

MAX_RECORD_BYTES = 262_144
T = TypeVar("T")


class OperatorApi:
    """Routes operators' HTTP requests under `/v1/admin`.

    Parameters
    ----------
    state : NodeState
        Source of the newest records.
    writer : RecordWriter
        Writes records and reads their history.
    traces : TraceStore
        Source of the events of requests.
    status : StatusReporter
        Source of the node's status and metrics.
    """

    def __init__(
        self,
        state: NodeState,
        writer: RecordWriter,
        traces: TraceStore,
        status: StatusReporter,
    ) -> None:
        self._state = state
        self._writer = writer
        self._traces = traces
        self._status = status

    def answer(self, exchange: Exchange) -> Iterable[bytes] | None:
        """Answer an HTTP exchange, or return None if its path isn't an operator's."""
        parts = [unquote(part) for part in exchange.path.strip("/").split("/")]
        match (exchange.method, *parts):
            case ("GET", "v1", "admin", "status"):
                return exchange.send_json(self._status.describe())
            case ("GET", "v1", "admin", "metrics"):
                return exchange.send_json(self._status.describe_metrics())
            case ("GET", "v1", "admin", "identity"):
                return exchange.send_json(self._status.identity)
            case ("GET", "v1", "admin", "requests", request_id):
                return self._send_trace(exchange, request_id)
            case ("GET", "v1", "admin", "records", *path):
                return self._list_records(exchange, path)
            case ("GET", "v1", "admin", "history", kind, name):
                return self._list_history(exchange, kind, name)
            case ("PUT" | "DELETE", "v1", "admin", "records", kind, name):
                return self._change_record(exchange, kind, name)
        return None

    def _send_trace(self, exchange: Exchange, request_id: str) -> Iterable[bytes]:
        events = self._traces.list_events(request_id)
        if events is None:
            return exchange.send_failure(
                Failure(
                    ResultCode.ANSWER_NOT_HERE,
                    f"this node has no trace of {request_id}",
                )
            )
        return exchange.send_json({"request_id": request_id, "events": events})

    def _list_records(self, exchange: Exchange, path: list[str]) -> Iterable[bytes]:
        found = []
        for record in self._state.list_records():
            if path and [record.kind.value, record.name][: len(path)] != path:
                continue
            found.append(record)
        if len(path) < 2:
            return exchange.send_json({"records": found})
        if not found:
            failure = Failure(ResultCode.RECORD_NOT_FOUND, "/".join(path))
            return exchange.send_failure(failure)
        return exchange.send_json(found[0])

    def _list_history(
        self, exchange: Exchange, kind_name: str, name: str
    ) -> Iterable[bytes]:
        read = _parse_kind(kind_name).bind(
            lambda kind: self._writer.read_history(kind, name)
        )
        if isinstance(read, Err):
            return exchange.send_failure(read.failure())
        return exchange.send_json({"records": read.unwrap()})

    def _change_record(
        self, exchange: Exchange, kind_name: str, name: str
    ) -> Iterable[bytes]:
        parsed = _parse_kind(kind_name)
        if isinstance(parsed, Err):
            return exchange.send_failure(parsed.failure())
        body = exchange.read_body(MAX_RECORD_BYTES)
        changed: Result[Record, ChangeRefused]
        if exchange.method == "DELETE":
            deletion = body.bind(_decode_deletion).alt(ChangeRefused)
            changed = deletion.bind(
                lambda each: self._writer.delete(parsed.unwrap(), name, each)
            )
        else:
            change = body.bind(_decode_change).alt(ChangeRefused)
            changed = change.bind(
                lambda each: self._writer.write(parsed.unwrap(), name, each)
            )
        if isinstance(changed, Err):
            refused = changed.failure()
            return exchange.send_failure(refused.failure, winner=refused.winner)
        return exchange.send_json({"revision": changed.unwrap().revision})


def _parse_kind(kind_name: str) -> Result[RecordKind, Failure]:
    if kind_name in {kind.value for kind in RecordKind}:
        return Success(RecordKind(kind_name))
    return Err(Failure(ResultCode.RECORD_INVALID, f"unknown record kind {kind_name}"))


def _decode_change(raw: bytes) -> Result[RecordChange, Failure]:
    return _decode(raw, RecordChange)


def _decode_deletion(raw: bytes) -> Result[RecordDeletion, Failure]:
    if not raw:
        return Success(RecordDeletion(str(uuid6.uuid7())))
    return _decode(raw, RecordDeletion)


def _decode(raw: bytes, type_: type[T]) -> Result[T, Failure]:
    try:
        return Success(msgspec.json.decode(raw, type=type_))
    except msgspec.ValidationError as error:
        return Err(Failure(ResultCode.INVALID_FIELD, str(error)))
    except msgspec.DecodeError as error:
        return Err(Failure(ResultCode.MALFORMED_BODY, str(error)))


__all__ = ("OperatorApi",)
