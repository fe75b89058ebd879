"""In-memory stand-in for the platform's metadata store, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import msgspec

from persimmonlink_stand_ins.raw_server import RawServer, encode_response
from persimmonlink_stand_ins.store_faults import StoreFaults, WatchCutError, WatchCuts

if TYPE_CHECKING:
    from persimmonlink_stand_ins.raw_server import RawRequest

WATCH_POLL_INTERVAL_S = 0.01
PAGE_BYTES = 1048576  # Values on a page of a listing, unless one alone is larger.


@dataclass
class _Item:
    value: bytes
    revision: int
    create_revision: int
    lease: int


@dataclass
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class _Copy:
    item_by_key: dict[str, _Item]
    revision: int
    next_lease: int


class MetadataStoreStandIn:
    """The metadata store: keys with revisions, watches, leases, conditional writes.

    Parameters
    ----------
    page_size : int
        Largest number of items on a page.
    """

    def __init__(self, page_size: int = 500) -> None:
        self.faults = StoreFaults()
        self.called_paths: list[str] = []
        self._page_size = page_size
        self._item_by_key: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._lease_by_id: dict[int, _Lease] = {}
        self._next_lease = 1000
        self._era = 1
        self._copy: _Copy | None = None
        self.watch_cuts = WatchCuts(WATCH_POLL_INTERVAL_S)
        self._silent_writers: set[asyncio.StreamWriter] = set()
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """`IP:PORT` of the store."""
        return self._server.address

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server; the stored keys are kept."""
        await self._server.stop()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key directly; encode its value as JSON unless it is bytes."""
        encoded = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._revision += 1
        existing = self._item_by_key.get(key)
        create_revision = (
            existing.create_revision if existing is not None else self._revision
        )
        self._item_by_key[key] = _Item(encoded, self._revision, create_revision, lease)
        self._history.append(self._encode_item(key))
        return self._revision

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._item_by_key.pop(key, None) is None:
            return
        self._revision += 1
        self._history.append(
            {"key": key, "revision": self._revision, "tombstone": True}
        )

    def compact_history(self) -> None:
        """Drop the event history, so that watches of earlier revisions answer 410."""
        self._compacted_revision = self._revision
        self._history.clear()

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease directly and return its id."""
        lease_id = self._next_lease
        self._next_lease += 1
        self._lease_by_id[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return lease_id

    def take_copy(self) -> None:
        """Copy the keys, the revision and the next lease id, for `restore_copy`."""
        self._copy = _Copy(dict(self._item_by_key), self._revision, self._next_lease)

    def restore_copy(self) -> None:
        """Return to the copy, without leases and their keys, in a new era."""
        if self._copy is None:
            raise RuntimeError("no copy was taken")
        self._item_by_key = {
            key: item for key, item in self._copy.item_by_key.items() if not item.lease
        }
        self._revision = self._copy.revision
        self._next_lease = self._copy.next_lease
        self._lease_by_id.clear()
        self._history.clear()
        self._compacted_revision = 0
        self._era += 1

    def read(self, key: str) -> bytes:
        """Return the value of an existing key."""
        return self._item_by_key[key].value

    def list_keys(self) -> set[str]:
        """Return the existing keys."""
        self._expire_leases()
        return set(self._item_by_key)

    def list_keys_written(self, prefix: str) -> list[str]:
        """Return the key of each write that the history has, in order."""
        return [
            event["key"]
            for event in self._history
            if event["key"].startswith(prefix) and "tombstone" not in event
        ]

    def expire_all_leases(self) -> None:
        """Expire all leases, as an outage of the store may."""
        for lease in self._lease_by_id.values():
            lease.expires_at = 0.0
        self._expire_leases()

    def cut_watches(self, *, is_silent: bool = False, most: int = 1000) -> None:
        """Break off some watches that wait now; silently to never answer them."""
        self.watch_cuts.cut(is_silent=is_silent, most=most)

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self._silent_writers |= self._server.list_writers()

    async def _handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.called_paths.append(parts.path)
        if self.faults.never_responds:
            await asyncio.sleep(3600)
        await self._hold_if_silent(writer)
        if self.faults.status:
            era = {"Store-Era": str(self._era)}
            writer.write(encode_response(self.faults.status, era, b""))
            return True
        self._expire_leases()
        try:
            status, body = await self._dispatch(request, parts.path, query)
        except WatchCutError:
            await self._hold_if_silent(writer)
            return False
        await asyncio.sleep(self.faults.delay_s)
        await self._hold_if_silent(writer)
        if self.faults.drops_responses:
            return False
        era = {"Store-Era": str(self._era)}
        writer.write(encode_response(status, era, msgspec.json.encode(body)))
        await writer.drain()
        return True

    async def _dispatch(
        self, request: RawRequest, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/-/kv-range":
            return self._read_range(query)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._transact(body)
        if path == "/-/kv-lease":
            lease_id = self.grant_lease(body["ttl-ms"] / 1000)
            return 200, {"lease": lease_id, "ttl-ms": body["ttl-ms"]}
        return self._renew_or_revoke_lease(path)

    async def _hold_if_silent(self, writer: asyncio.StreamWriter) -> None:
        """Never return if a connection is silent; its caller closes it in the end."""
        if writer in self._silent_writers:
            await asyncio.sleep(3600)

    def _read_range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(query["prefix"]) and key > after
        )
        page = self._cut_page(keys)
        return 200, {
            "items": [self._encode_item(key) for key in page],
            "more-pages": len(keys) > len(page),
            "store-revision": self._revision,
        }

    def _cut_page(self, keys: list[str]) -> list[str]:
        """Return the first keys, as many as a page holds."""
        size = 0
        for count, key in enumerate(keys[: self._page_size]):
            size += len(self._item_by_key[key].value)
            if count and size > PAGE_BYTES:
                return keys[:count]
        return keys[: self._page_size]

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._compacted_revision or after > self._revision:
                return 410, {}
            events = self._list_events(query["prefix"], after)
            if events or time.monotonic() > deadline:
                return 200, {"events": events, "store-revision": self._revision}
            await self.watch_cuts.wait()
            self._expire_leases()

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = []
        for event in reversed(self._history):
            if event["revision"] <= after:
                break
            if event["key"].startswith(prefix):
                events.append(event)
        return events[::-1]

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expect-rev", ()):
            existing = self._item_by_key.get(row["key"])
            if (existing.revision if existing is not None else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body.get("put", ()):
            lease_id = row.get("lease", 0)
            if lease_id and lease_id not in self._lease_by_id:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), lease_id)
            if lease_id:
                self._lease_by_id[lease_id].keys.add(row["key"])
        for key in body.get("delete", ()):
            self.delete(key)
        return 200, {"revision": self._revision}

    def _renew_or_revoke_lease(self, path: str) -> tuple[int, dict[str, Any]]:
        lease_id = int(path.rpartition("/")[2])
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return 404, {}
        if "kv-keep" in path:
            lease.expires_at = time.monotonic() + lease.ttl_s
        else:
            lease.expires_at = 0.0
            self._expire_leases()
        return 200, {"ttl-ms": int(lease.ttl_s * 1000)}

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease_id, lease in list(self._lease_by_id.items()):
            if lease.expires_at > now:
                continue
            del self._lease_by_id[lease_id]
            for key in lease.keys:
                self.delete(key)

    def _encode_item(self, key: str) -> dict[str, Any]:
        item = self._item_by_key[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.create_revision,
            "lease": item.lease,
        }


__all__ = ("MetadataStoreStandIn", "StoreFaults")
