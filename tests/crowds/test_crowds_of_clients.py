"""A crowd at the clients' address takes neither the router nor all of its room.

The checks are of life, memory, descriptors, and one ordinary request that is answered
while the crowd stays, and one after it has left; none is of time.
"""

from __future__ import annotations

import pytest
from tests.crowds.crowd import Crowd
from tests.crowds.scripts import BUILD_BY_CROWD, mix_scripts
from tests.crowds.small_vm import run_small_vm
from tests.router.rig import run

CLIENTS = 200

BUILD_BY_NAME = {**BUILD_BY_CROWD, "mixed": mix_scripts()}


# Ends a test whose router hangs.
@pytest.mark.timeout(400)
@pytest.mark.parametrize("name", BUILD_BY_NAME)
def test_a_crowd_that_returns_leaves_room_for_ordinary_callers(name, tmp_path):
    async def scenario():
        async with run_small_vm(tmp_path) as vm:
            crowd = Crowd(vm.listen.clients, BUILD_BY_NAME[name], CLIENTS)
            await crowd.come()
            is_answered_meanwhile = await vm.is_answered()
            await crowd.leave()
            is_answered_afterwards = await vm.is_answered()
            vm.check()
            assert is_answered_meanwhile
            assert is_answered_afterwards

    run(scenario())
