"""The platform's metadata store, in memory, with its faults."""

from __future__ import annotations

import asyncio
import base64
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import msgspec

from persimmonlink_stand_ins.raw_server import RawServer, make_answer

if TYPE_CHECKING:
    from persimmonlink_stand_ins.raw_server import RawRequest

WATCH_POLL_S = 0.01


@dataclass
class StoreFaults:
    """What the store does wrong from now on.

    Parameters
    ----------
    status : int
        Status of all answers, 0 for the right one.
    is_silent : bool
        Whether it answers nothing.
    loses_answers : bool
        Whether it does what it is told and closes the connection.
    """

    status: int = 0
    is_silent: bool = False
    loses_answers: bool = False


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class MetadataStoreStandIn:
    """Keys with revisions, watches, leases and conditional writes.

    Parameters
    ----------
    page_size : int
        Items on a page.
    """

    def __init__(self, page_size: int = 500) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._page_size = page_size
        self._item_by_key: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._history_start = 0
        self._revision = 1
        self._lease_by_id: dict[int, _Lease] = {}
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """`IP:PORT` of the store."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop, losing nothing."""
        await self._server.stop()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key as the operator and servers do; bytes stay as they are."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._revision += 1
        known = self._item_by_key.get(key)
        created = known.created if known is not None else self._revision
        self._item_by_key[key] = _Item(raw, self._revision, created, lease)
        self._history.append(self._show(key))
        return self._revision

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._item_by_key.pop(key, None) is None:
            return
        self._revision += 1
        self._history.append(
            {"key": key, "revision": self._revision, "tombstone": True}
        )

    def forget_history(self) -> None:
        """Drop all that watches could go on from."""
        self._history_start = self._revision
        self._history.clear()

    def list_keys(self) -> set[str]:
        """Return the keys there are."""
        self._end_leases()
        return set(self._item_by_key)

    def end_all_leases(self) -> None:
        """End the leases, as an outage may."""
        for lease in self._lease_by_id.values():
            lease.ends_at = 0.0
        self._end_leases()

    async def _handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.calls.append(parts.path)
        if self.faults.is_silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            writer.write(make_answer(self.faults.status, {}, b""))
            return True
        self._end_leases()
        status, body = await self._answer(request, parts.path, query)
        if self.faults.loses_answers:
            return False
        writer.write(make_answer(status, {}, msgspec.json.encode(body)))
        await writer.drain()
        return True

    async def _answer(
        self, request: RawRequest, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/-/kv-range":
            return self._read_range(query)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._write(body)
        if path == "/-/kv-lease":
            ttl_s = body["ttl-ms"] / 1000
            number = 1000 + len(self._lease_by_id)
            self._lease_by_id[number] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": number, "ttl-ms": body["ttl-ms"]}
        return self._change_lease(path)

    def _read_range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(query["prefix"]) and key > after
        )
        page = keys[: self._page_size]
        return 200, {
            "items": [self._show(key) for key in page],
            "more-pages": len(keys) > len(page),
            "store-revision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._history_start:
                return 410, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            if events or time.monotonic() > ends_at:
                return 200, {"events": events, "store-revision": self._revision}
            await asyncio.sleep(WATCH_POLL_S)
            self._end_leases()

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expect-rev", ()):
            known = self._item_by_key.get(row["key"])
            if (known.revision if known is not None else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body.get("put", ()):
            number = row.get("lease", 0)
            if number and number not in self._lease_by_id:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), number)
            if number:
                self._lease_by_id[number].keys.add(row["key"])
        for key in body.get("delete", ()):
            self.delete(key)
        return 200, {"revision": self._revision}

    def _change_lease(self, path: str) -> tuple[int, dict[str, Any]]:
        number = int(path.rpartition("/")[2])
        lease = self._lease_by_id.get(number)
        if lease is None:
            return 404, {}
        if "kv-keep" in path:
            lease.ends_at = time.monotonic() + lease.ttl_s
        else:
            lease.ends_at = 0.0
            self._end_leases()
        return 200, {"ttl-ms": int(lease.ttl_s * 1000)}

    def _end_leases(self) -> None:
        now = time.monotonic()
        for number, lease in list(self._lease_by_id.items()):
            if lease.ends_at > now:
                continue
            del self._lease_by_id[number]
            for key in lease.keys:
                self.delete(key)

    def _show(self, key: str) -> dict[str, Any]:
        item = self._item_by_key[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }


__all__ = ("MetadataStoreStandIn", "StoreFaults")
