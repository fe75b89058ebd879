"""The departure of all servers at once does not stop a node of the largest size."""

from __future__ import annotations

import time

import msgspec

from persimmonlink_adapter.entries import StoreEntryReader
from persimmonlink_router.cluster_view import ClusterView
from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_intervals import WATCH_LATENCY_S
from persimmonlink_router.store_mirror import StoreMirror

SERVERS = 4400


def build_items(revision: int, **changes) -> list[StoredItem]:
    """Return an entry of each server, all written after a revision."""
    items = []
    for number in range(SERVERS):
        entry = {
            "service": f"service-{number % 17}",
            "addr": f"10.0.{number // 250}.{number % 250 + 1}:80",
            "zone": f"zone-{number % 10}",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": revision + 1,
            "born": 1,
            **changes,
        }
        value = msgspec.json.encode(entry)
        items.append(StoredItem(f"servers/{number}", value, revision + number + 1))
    return items


def test_all_servers_leave_at_once_without_a_standstill():
    view = ClusterView(StoreEntryReader(), lambda: None)
    mirror = StoreMirror(lambda item: view.apply(item, mirror.origin))
    mirror.apply(build_items(0))
    mirror.apply(build_items(SERVERS, state="draining"))
    assert len(view.servers.server_by_id) == SERVERS
    began_at = time.process_time()
    mirror.apply_listing("servers/", (), 3 * SERVERS)
    spent_s = time.process_time() - began_at
    assert not view.servers.server_by_id
    # The node's processor time, so that other processes of the machine don't count.
    assert spent_s < WATCH_LATENCY_S
