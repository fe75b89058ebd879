"""Stand-in for the key-value service: a subset of the etcd JSON gateway."""

from __future__ import annotations

import argparse
import time
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec

from persimmonlink_stand_ins.key_value_faults import KeyValueFaults
from persimmonlink_stand_ins.key_value_store import KeyValue, Store, StoreError
from persimmonlink_stand_ins.serving import (
    CLOSE_HEADERS,
    NOT_FOUND,
    Request,
    Response,
    RunningServer,
    serve_until_stopped,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

PROGRESS_INTERVAL_S = 1.0  # Interval of empty responses of a watch without events.
WATCH_WAIT_S = 0.2  # Interval at which a watch checks for a stop or an outage.
WORKER_THREADS = 64  # An open watch occupies one thread.
_VERSION_FIELD_BY_TARGET = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
}


def _decode(body: dict[str, Any], name: str) -> bytes:
    return b64decode(body.get(name, ""))


def _encode_kv(kv: KeyValue) -> dict[str, str]:
    encoded = {
        "key": b64encode(kv.key).decode(),
        "create_revision": str(kv.create_revision),
        "mod_revision": str(kv.mod_revision),
        "version": str(kv.version),
        "value": b64encode(kv.value).decode(),
        "lease": str(kv.lease),
    }
    # The gateway omits fields that hold the zero value of their type.
    return {name: text for name, text in encoded.items() if text not in ("", "0")}


class KeyValueService:
    """The JSON gateway to a `Store`, with fault injection."""

    def __init__(self) -> None:
        self.store = Store()
        self.server: RunningServer | None = None
        self._calls_by_method: Counter[str] = Counter()
        self._bytes_in = 0
        self._bytes_out = 0
        self._refused_calls = 0
        self._open_watches = 0
        self._stopped = False
        self._faults = KeyValueFaults()
        self._handler_by_path = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    def start(self, port: int = 0) -> RunningServer:
        """Start the server on a port of the loopback address."""
        self.server = RunningServer(self.handle, port, WORKER_THREADS)
        return self.server

    def stop(self) -> None:
        """Stop all watches, the expiry of leases and the server."""
        self._stopped = True
        self.store.stop()
        if self.server is not None:
            self.server.stop()

    def handle(self, request: Request) -> Response:
        """Handle a request."""
        if (request.method, request.path) == ("GET", "/ledger"):
            return Response(self._report())
        if (request.method, request.path) == ("POST", "/fault"):
            return self._inject_fault(request)
        if request.path not in self._handler_by_path and request.path != "/v3/watch":
            return NOT_FOUND
        if self._faults.has_outage():
            self._refused_calls += 1
            if self._faults.hangs:
                raise request.leave_unanswered()
            return Response({"error": "etcdserver: no leader", "code": 14}, 503)
        self._faults.wait_if_slow()
        return self._execute(request)

    def _execute(self, request: Request) -> Response:
        with self.store.changed:
            self._calls_by_method[request.path.rpartition("/")[2]] += 1
            self._bytes_in += request.size_bytes
        if request.path == "/v3/watch":
            watch_request = request.body["create_request"]
            chunks = self._watch(request, watch_request)
            return Response(chunks=chunks)
        try:
            with self.store.changed:
                result = msgspec.json.encode(
                    self._handler_by_path[request.path](request.body)
                )
                self._bytes_out += len(result)
        except StoreError as error:
            return Response({"error": str(error), "code": 5}, 404)
        except (KeyError, Base64Error, ValueError, TypeError) as error:
            return Response({"error": repr(error), "code": 3}, 400)
        if self._faults.consume_reply_loss(request.path, request.body):
            raise request.abort()
        return Response(msgspec.Raw(result))

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        kvs = self.store.read_range(_decode(body, "key"), _decode(body, "range_end"))
        limit = int(body.get("limit", 0)) or len(kvs)
        result: dict[str, Any] = {"header": self._header()}
        if kvs:
            result["kvs"] = [_encode_kv(kv) for kv in kvs[:limit]]
            result["count"] = str(len(kvs))
        if limit < len(kvs):
            result["more"] = True
        return result

    def _put(self, body: dict[str, Any], revision: int = 0) -> dict[str, Any]:
        new_revision = revision or self.store.revision + 1
        value = _decode(body, "value")
        self.store.put(
            _decode(body, "key"), value, int(body.get("lease", 0)), new_revision
        )
        if not revision:
            self.store.commit(new_revision)
        return {"header": self._header()}

    def _delete_range(self, body: dict[str, Any], revision: int = 0) -> dict[str, Any]:
        new_revision = revision or self.store.revision + 1
        deleted = self.store.delete_range(
            _decode(body, "key"), _decode(body, "range_end"), new_revision
        )
        if not revision:
            self.store.commit(new_revision)
        result: dict[str, Any] = {"header": self._header()}
        if deleted:
            result["deleted"] = str(deleted)
        return result

    def _transact(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(
            self._is_condition_met(condition) for condition in body.get("compare", [])
        )
        operations = body.get("success" if succeeded else "failure", [])
        for operation in operations:
            self.store.check_lease(
                int(operation.get("request_put", {}).get("lease", 0))
            )
        revision = self.store.revision + 1
        responses = []
        for operation in operations:
            responses.append(self._apply_operation(operation, revision))
        self.store.commit(revision)
        result: dict[str, Any] = {"header": self._header(), "responses": responses}
        if succeeded:
            result["succeeded"] = True
        return result

    def _is_condition_met(self, compare: dict[str, Any]) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise ValueError("comparison result not supported: only EQUAL is")
        name = _VERSION_FIELD_BY_TARGET[compare.get("target", "VERSION")]
        kv = self.store.read(_decode(compare, "key"))
        actual = getattr(kv, name) if kv else 0
        return bool(actual == int(compare.get(name, 0)))

    def _apply_operation(
        self, operation: dict[str, Any], revision: int
    ) -> dict[str, Any]:
        if "request_put" in operation:
            return {"response_put": self._put(operation["request_put"], revision)}
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        deleted = self._delete_range(operation["request_delete_range"], revision)
        return {"response_delete_range": deleted}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = self.store.grant(int(body["TTL"]), int(body.get("ID", 0)))
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(body["TTL"])}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = self.store.keep_alive(int(body["ID"]))
        result = {"header": self._header(), "ID": str(body["ID"])}
        if ttl_s:
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self.store.revoke(int(body["ID"]))
        return {"header": self._header()}

    def _watch(
        self, request: Request, watch_request: dict[str, Any]
    ) -> Iterator[bytes]:
        key, range_end = (
            _decode(watch_request, "key"),
            _decode(watch_request, "range_end"),
        )
        store = self.store
        outage_count = self._faults.outage_count
        with store.changed:
            self._open_watches += 1
            start = int(watch_request.get("start_revision", 0)) or store.revision + 1
            position = bisect_left(
                store.events, start, key=lambda event: event.kv.mod_revision
            )
        try:
            yield self._encode_watch_line({"created": True, "events": []})
            sent_at = time.monotonic()
            while not self._stopped and outage_count == self._faults.outage_count:
                with store.changed:
                    if position == len(store.events):
                        store.changed.wait(WATCH_WAIT_S)
                    new_events = store.events[position:]
                    position += len(new_events)
                    events = self._encode_matching_events(new_events, key, range_end)
                    line = self._encode_watch_line({"events": events})
                if events or time.monotonic() - sent_at >= PROGRESS_INTERVAL_S:
                    sent_at = time.monotonic()
                    self._bytes_out += len(line)
                    yield line
            raise request.abort()
        finally:
            with store.changed:
                self._open_watches -= 1

    def _encode_watch_line(self, result: dict[str, Any]) -> bytes:
        line = msgspec.json.encode({"result": {"header": self._header(), **result}})
        return line + b"\n"

    @staticmethod
    def _encode_matching_events(
        events: list[Any], key: bytes, range_end: bytes
    ) -> list[Any]:
        selected = []
        for event in events:
            event_key = event.kv.key
            is_in_range = key <= event_key and (
                range_end == b"\0" or event_key < range_end
            )
            if not (is_in_range if range_end else event_key == key):
                continue
            kind = "DELETE" if event.deleted else "PUT"
            selected.append({"type": kind, "kv": _encode_kv(event.kv)})
        return selected

    def _report(self) -> dict[str, Any]:
        return {
            "calls": dict(self._calls_by_method),
            "bytes_in": self._bytes_in,
            "bytes_out": self._bytes_out,
            "watches_open": self._open_watches,
            "refused": self._refused_calls,
            "writes": self.store.writes,
            "revision": self.store.revision,
        }

    def _inject_fault(self, request: Request) -> Response:
        if not self._faults.inject(request.body):
            return Response({"error": f"unknown fault {request.body['kind']}"}, 400)
        if request.body["kind"] == "outage" and self._faults.hangs and self.server:
            self.server.connections.silence(request.connection)
        return Response(headers=CLOSE_HEADERS)


def main(arguments: list[str] | None = None) -> None:
    """Run a key-value service until stopped."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args(arguments)
    service = KeyValueService()
    serve_until_stopped([service.start(options.port)], stop=service.stop)


if __name__ == "__main__":
    main()

__all__ = ["KeyValueService", "main"]
