"""A router that can't listen on an address says so in one line, and ends."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import asdict

import pytest
from tests.router.process_rig import ProcessRig
from tests.router.rig import HOST, make_settings, release_addresses

from persimmonlink_router.run import EXIT_NOT_STARTED
from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn

ADDRESSES = ("clients", "readiness", "directory", "peers", "metrics")
END_TIMEOUT_S = 20.0


@pytest.mark.parametrize("name", ADDRESSES)
def test_an_address_in_use_is_one_error_that_names_it(tmp_path, name):
    async def scenario():
        store = MetadataStoreStandIn()
        await store.start()
        settings = make_settings(store.address, 0, ())
        port = int(asdict(settings.listen)[name].rpartition(":")[2])
        rig = ProcessRig(store, {}, [], [settings])
        with socket.create_server((HOST, port)):
            router = rig.start(0, tmp_path)
            status = await asyncio.to_thread(router.process.wait, END_TIMEOUT_S)
        assert status == EXIT_NOT_STARTED
        (line,) = (entry for entry in router.read_log() if entry["level"] == "ERROR")
        assert line["event"] == "process.not_started"
        assert line["code"] == EXIT_NOT_STARTED
        assert str(port) in line["error"]
        assert "Traceback" not in router.log_path.read_text()
        release_addresses([settings])
        await store.stop()

    asyncio.run(scenario())
