"""A crowd neither holds up a stop nor keeps a router from its start or from serving."""

from __future__ import annotations

import asyncio
import signal

import pytest
from tests.crowds.crowd import Crowd
from tests.crowds.scripts import BUILD_BY_CROWD, mix_scripts
from tests.crowds.small_vm import DESCRIPTORS, MEMORY_MB, run_small_vm
from tests.router.rig import run

from persimmonlink_stand_ins.link import Cut

CLIENTS = 200
BUILD_BY_NAME = {
    "slow heads": BUILD_BY_CROWD["slow heads"],
    "tiny chunks": BUILD_BY_CROWD["tiny chunks"],
    "slow readers": BUILD_BY_CROWD["slow readers"],
    "mixed": mix_scripts(),
}


@pytest.mark.timeout(400)
@pytest.mark.parametrize("name", BUILD_BY_NAME)
def test_a_router_stops_in_order_beside_a_crowd(name, tmp_path):
    async def scenario():
        async with run_small_vm(tmp_path) as vm:
            crowd = Crowd(vm.listen.clients, BUILD_BY_NAME[name], CLIENTS)
            await crowd.come()
            process = vm.process
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait) == 0
            await crowd.leave()
            assert vm.peak_memory_mb <= MEMORY_MB
            assert vm.peak_descriptors <= DESCRIPTORS

    run(scenario())


@pytest.mark.timeout(400)
@pytest.mark.parametrize("name", BUILD_BY_NAME)
def test_a_router_that_starts_beside_a_crowd_serves(name, tmp_path):
    async def scenario():
        async with run_small_vm(tmp_path, is_started=False) as vm:
            crowd = Crowd(vm.listen.clients, BUILD_BY_NAME[name], CLIENTS)
            await crowd.come()
            vm.rig.start(0, tmp_path)
            await vm.rig.wait_until_ready(0)
            is_answered = await vm.is_answered()
            await crowd.leave()
            is_answered_afterwards = await vm.is_answered()
            vm.check()
            assert is_answered
            assert is_answered_afterwards

    run(scenario())


@pytest.mark.timeout(400)
@pytest.mark.parametrize("name", BUILD_BY_NAME)
def test_a_router_without_its_store_serves_beside_a_crowd(name, tmp_path):
    async def scenario():
        async with run_small_vm(tmp_path, has_store_links=True) as vm:
            link = await vm.rig.links.find(0, vm.rig.store.address)
            link.cut(Cut.RESET)
            crowd = Crowd(vm.listen.clients, BUILD_BY_NAME[name], CLIENTS)
            await crowd.come()
            is_answered = await vm.is_answered()
            link.mend()
            await crowd.leave()
            is_answered_afterwards = await vm.is_answered()
            vm.check()
            assert is_answered
            assert is_answered_afterwards

    run(scenario())
