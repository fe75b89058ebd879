"""Versions are saved whatever ids the clients give their requests."""

from __future__ import annotations

import asyncio
import random

from tests.router.test_servers import make_server
from tests.router.test_store_calls_at_size import (
    CountingStore,
    make_members,
    make_saver,
)

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.store import StoreUnavailableError

VALUE_BYTES = 1048576  # The largest value that the store takes.
STREAM_COUNT = 2000
ID_CHARS = 1000


class StrictStore(CountingStore):
    """A store that takes no larger values."""

    async def put_with_lease(self, key: str, value: bytes, lease: int) -> int:
        if len(value) > VALUE_BYTES:
            raise StoreUnavailableError("unexpected status 413")
        return await super().put_with_lease(key, value, lease)


def test_versions_of_requests_with_long_ids_are_saved():
    async def scenario():
        _, own = make_members(1, random.Random(1))[0]
        store = StrictStore()
        saver = make_saver(own, [own], store, revision=1)
        servers = saver._cluster_view.servers
        servers.update(
            make_server(server_id="b", service="engines", software_version="v2"), 0.0
        )
        now = boot_time()
        for number in range(STREAM_COUNT):
            request_id = f"{number:x}".zfill(ID_CHARS)
            saver._versions.record(request_id, "v1", now - 10.0)
        for _ in range(20):
            saver._next_check_at = 0.0
            saver.tick()
            if saver._task is not None:
                await saver._task
        assert not saver._versions.list_unsaved(now, STREAM_COUNT)

    asyncio.run(scenario())
