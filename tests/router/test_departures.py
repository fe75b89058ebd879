"""No request reaches a server later than allowed after it has left."""

from __future__ import annotations

import random

import pytest
from tests.router.departures import Departures, play
from tests.router.process_rig import run_process_rig
from tests.router.rig import run

PLAY_S = 20.0
MIN_DEPARTURES = 6
MIN_RESPONSES = 200


@pytest.mark.parametrize("seed", [1, 2])
def test_servers_that_left_get_no_late_request_from_processes(tmp_path, seed):
    async def scenario():
        async with run_process_rig(tmp_path) as rig:
            departures = Departures(rig, random.Random(seed), tmp_path)
            await play(departures, PLAY_S)
            assert len(departures.left_at_by_id) >= MIN_DEPARTURES
            assert departures.statuses[200] >= MIN_RESPONSES
            assert list(departures.list_late()) == []

    run(scenario())
