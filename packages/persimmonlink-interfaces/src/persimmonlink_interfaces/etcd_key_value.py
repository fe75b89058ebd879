"""Client of the key-value service over the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3.exceptions import HTTPError

from persimmonlink_interfaces.bounded_response import (
    MAX_BODY_BYTES,
    iterate_lines,
    read_body,
)
from persimmonlink_interfaces.connection import ConnectionPools, create_timeout
from persimmonlink_interfaces.key_value import (
    KeyRange,
    KeyValue,
    KeyWrite,
    SwapOutcome,
)
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

CALL_TIMEOUT_S = 3.0
WATCH_READ_TIMEOUT_S = 4.0
_HTTP_OK = 200


class EtcdKeyValueStore:
    """Key-value store that is accessed through an etcd v3 JSON gateway.

    Parameters
    ----------
    address : str
        `IP:PORT` of the gateway.
    timeout_s : float
        Read timeout of a call, in seconds.
    """

    def __init__(self, address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self._pools = ConnectionPools(size=4)

    def read_range(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> Result[KeyRange, Failure]:
        """Read up to `limit` keys with a prefix, from `start` on; 0 means no limit."""
        body = {
            "key": _encode_key(start or prefix),
            "range_end": _encode_key(_range_end(prefix)),
            "limit": str(limit),
        }
        return self._post("/v3/kv/range", body).bind(_parse_range)

    def read_keys(self, keys: Sequence[str]) -> Result[KeyRange, Failure]:
        """Read several keys in one transaction, all at the same revision."""
        reads = [{"request_range": {"key": _encode_key(key)}} for key in keys]
        return self._post("/v3/kv/txn", {"success": reads}).bind(_parse_reads)

    def compare_and_swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
        *,
        extra_writes: Mapping[str, bytes] | None = None,
    ) -> Result[SwapOutcome, Failure]:
        """Write a key, or delete it (None), if its revision is the expected one."""
        encoded_key = _encode_key(key)
        operation: dict[str, Any]
        if value is None:
            operation = {"request_delete_range": {"key": encoded_key}}
        else:
            operation = {"request_put": _build_put(KeyWrite(key, value, lease_id))}
        operations = [operation]
        for other_key, other_value in (extra_writes or {}).items():
            put = _build_put(KeyWrite(other_key, other_value))
            operations.append({"request_put": put})
        body = {
            "compare": [_build_comparison(key, expected_revision)],
            "success": operations,
            "failure": [{"request_range": {"key": encoded_key}}],
        }
        return self._post("/v3/kv/txn", body).bind(_parse_swap)

    def append_entry(
        self, head: KeyWrite, head_revision: int, entry: KeyWrite
    ) -> Result[SwapOutcome, Failure]:
        """Write a head and a new entry in one transaction, if the head is unchanged."""
        body = {
            "compare": [
                _build_comparison(head.key, head_revision),
                _build_comparison(entry.key, 0),
            ],
            "success": [
                {"request_put": _build_put(head)},
                {"request_put": _build_put(entry)},
            ],
            "failure": [{"request_range": {"key": _encode_key(head.key)}}],
        }
        return self._post("/v3/kv/txn", body).bind(_parse_swap)

    def grant_lease(self, ttl_s: int) -> Result[int, Failure]:
        """Create a lease and return its id."""
        answer = self._post("/v3/lease/grant", {"TTL": str(ttl_s)})
        return answer.bind(_parse_lease)

    def watch(self, prefix: str, start_revision: int) -> Iterator[KeyRange]:
        """Yield changes from a revision on, and empty ranges as progress notices."""
        request = {
            "create_request": {
                "key": _encode_key(prefix),
                "range_end": _encode_key(_range_end(prefix)),
                "start_revision": str(start_revision),
                "progress_notify": True,
            }
        }
        pool = self._pools.get(self.address)
        try:
            response = pool.urlopen(
                "POST",
                "/v3/watch",
                body=msgspec.json.encode(request),
                headers={"Content-Type": "application/json"},
                timeout=create_timeout(WATCH_READ_TIMEOUT_S),
                preload_content=False,
                redirect=False,
            )
            if response.status != _HTTP_OK:
                response.close()
                return
            yield from _read_watch(response)
        except (HTTPError, OSError, msgspec.DecodeError, ValueError, LookupError):
            return

    def _post(self, path: str, body: dict[str, Any]) -> Result[dict, Failure]:
        try:
            response = self._pools.get(self.address).urlopen(
                "POST",
                path,
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=create_timeout(self.timeout_s),
                redirect=False,
                preload_content=False,
            )
            data = read_body(response, self.timeout_s)
        except (HTTPError, OSError) as error:
            # The other pooled connections may be dead too.
            self._pools.drop(self.address)
            return Err(_unavailable_failure(f"{path}: {type(error).__name__}"))
        if response.status != _HTTP_OK:
            return Err(_unavailable_failure(f"{path}: HTTP status {response.status}"))
        try:
            return Success(msgspec.json.decode(data, type=dict))
        except msgspec.DecodeError as error:
            return Err(_unavailable_failure(f"{path}: {error}"))


def _read_watch(response: Any) -> Iterator[KeyRange]:
    try:
        for line in iterate_lines(response.stream(65536), MAX_BODY_BYTES):
            if not line.strip():
                continue
            result = msgspec.json.decode(line)["result"]
            if result.get("canceled"):
                return
            if result.get("created"):
                # Not yielded as progress: changes up to the revision in its header may
                # still follow.
                continue
            events = result.get("events", [])
            changes = tuple(_parse_event(event) for event in events)
            yield KeyRange(changes, int(result["header"]["revision"]))
    finally:
        response.close()


def _parse_event(event: dict) -> KeyValue:
    deleted = event.get("type") == "DELETE"
    return _parse_entry(event["kv"], deleted=deleted)


def _parse_entry(entry: dict, *, deleted: bool = False) -> KeyValue:
    return KeyValue(
        base64.b64decode(entry["key"]).decode(),
        base64.b64decode(entry.get("value", "")),
        int(entry.get("mod_revision", 0)),
        deleted,
    )


def _parse_range(answer: dict) -> Result[KeyRange, Failure]:
    try:
        entries = tuple(_parse_entry(entry) for entry in answer.get("kvs", []))
        return Success(KeyRange(entries, int(answer["header"]["revision"])))
    except (KeyError, TypeError, ValueError) as error:
        return Err(
            _unavailable_failure(f"malformed response to a range read: {error!r}")
        )


def _parse_reads(answer: dict) -> Result[KeyRange, Failure]:
    try:
        entries: list[KeyValue] = []
        for response in answer["responses"]:
            found = response["response_range"].get("kvs", [])
            entries.extend(_parse_entry(entry) for entry in found)
        return Success(KeyRange(tuple(entries), int(answer["header"]["revision"])))
    except (KeyError, TypeError, ValueError) as error:
        return Err(
            _unavailable_failure(f"malformed response to a transaction: {error!r}")
        )


def _parse_swap(answer: dict) -> Result[SwapOutcome, Failure]:
    try:
        revision = int(answer["header"]["revision"])
        if answer.get("succeeded"):
            return Success(SwapOutcome(True, revision))
        found = answer["responses"][0]["response_range"].get("kvs", [])
        current = _parse_entry(found[0]) if found else None
        return Success(SwapOutcome(False, revision, current))
    except (KeyError, IndexError, TypeError, ValueError) as error:
        return Err(
            _unavailable_failure(f"malformed response to a transaction: {error!r}")
        )


def _parse_lease(answer: dict) -> Result[int, Failure]:
    try:
        return Success(int(answer["ID"]))
    except (KeyError, TypeError, ValueError) as error:
        return Err(
            _unavailable_failure(f"malformed response to a lease grant: {error!r}")
        )


def _build_comparison(key: str, expected_revision: int) -> dict[str, Any]:
    compare = {"key": _encode_key(key), "result": "EQUAL"}
    if expected_revision:
        return compare | {"target": "MOD", "mod_revision": str(expected_revision)}
    return compare | {"target": "CREATE", "create_revision": "0"}


def _build_put(write: KeyWrite) -> dict[str, Any]:
    return {
        "key": _encode_key(write.key),
        "value": base64.b64encode(write.value).decode(),
        "lease": str(write.lease_id),
    }


def _encode_key(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _range_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _unavailable_failure(detail: str) -> Failure:
    return Failure(ResultCode.KEY_VALUE_UNAVAILABLE, detail, retry_after_s=1.0)


__all__ = ("EtcdKeyValueStore",)
