"""A crowd at an address that is not meant for clients does not end a router.

Any client may reach the addresses of readiness, directory, metrics and peers.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.crowds.crowd import Crowd, Script
from tests.crowds.peer_caller import call_again_and_again
from tests.crowds.scripts import build_head
from tests.crowds.small_vm import DESCRIPTORS, run_small_vm
from tests.router.rig import run

SETTLE_S = 4.0  # Time for what a crowd at the peers' address sends.
BODY_BYTES = 1_000_000
IDLE_CLIENTS = DESCRIPTORS + 100
BODY_CLIENTS = 150
GIGABYTE = 1_000_000_000
PATH_BY_ADDRESS = {
    "readiness": "/-/ready",
    "directory": "/-/lookup?name=shop.example&region=r&zone=a",
    "metrics": "/metrics",
}


def connect_only(_name: str) -> Script:
    return Script(b"")


def send_a_large_body(name: str) -> Script:
    return Script(build_head(name, length=BODY_BYTES) + bytes(BODY_BYTES - 10))


def send_a_head_slowly(name: str) -> Script:
    return Script(build_head(name)[:-2], more=b"X-More: y\r\n")


def ask_again_and_again(name: str) -> Script:
    return Script(build_head(name, "/metrics") * 500)


CROWDS = {
    "idle connections": (connect_only, IDLE_CLIENTS),
    "large bodies": (send_a_large_body, BODY_CLIENTS),
    "slow heads": (send_a_head_slowly, IDLE_CLIENTS),
    "pipelined requests": (ask_again_and_again, BODY_CLIENTS),
}


@pytest.mark.timeout(400)
@pytest.mark.parametrize("address", PATH_BY_ADDRESS)
@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_at_another_http_address_leaves_the_router_serving(
    name, address, tmp_path
):
    async def scenario():
        build, size = CROWDS[name]
        async with run_small_vm(tmp_path) as vm:
            target = getattr(vm.listen, address)
            crowd = Crowd(target, build, size)
            await crowd.come()
            is_answered = await vm.is_answered()
            answers_there = await vm.answers_at(target, PATH_BY_ADDRESS[address])
            await crowd.leave()
            is_answered_afterwards = await vm.is_answered()
            vm.check()
            assert is_answered
            assert answers_there
            assert is_answered_afterwards

    run(scenario())


PEER_CROWDS = {
    # Clients, calls of each, bytes that each call sends, length that it claims.
    "messages without end": (40, 1, 4_000_000, GIGABYTE),
    "many unfinished messages": (20, 50, 100_000, BODY_BYTES),
    "many connections": (IDLE_CLIENTS, 1, 10, 1000),
}


@pytest.mark.timeout(400)
@pytest.mark.parametrize("name", PEER_CROWDS)
def test_a_crowd_at_the_peers_address_leaves_the_router_serving(name, tmp_path):
    async def scenario():
        clients, *call = PEER_CROWDS[name]
        async with run_small_vm(tmp_path) as vm:
            tasks = [
                asyncio.create_task(call_again_and_again(vm.listen.peers, *call))
                for _ in range(clients)
            ]
            await asyncio.sleep(SETTLE_S)
            is_answered = await vm.is_answered()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            is_answered_afterwards = await vm.is_answered()
            vm.check()
            assert is_answered
            assert is_answered_afterwards

    run(scenario())
