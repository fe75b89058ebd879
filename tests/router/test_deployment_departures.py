"""No late request after a departure in a deployment with all kinds of troubles."""

from __future__ import annotations

import os
import random

import pytest
from tests.router.deployment_departures import (
    DOMAINS,
    DeploymentDepartures,
    play_deployment,
)
from tests.router.process_rig import run_process_rig
from tests.router.rig import run

NODES = 6
SERVERS = 3  # Servers of each service at the start.
PLAY_S = float(os.environ.get("DEPARTURES_SECONDS", "20"))
MIN_DEPARTURES_PER_S = 0.4
MIN_RESPONSES_PER_S = 8


def choose_seeds() -> list[int]:
    """Return the seeds that `DEPARTURES_SEEDS` names as `FIRST:END`, or one."""
    first, _, end = os.environ.get("DEPARTURES_SEEDS", "3:4").partition(":")
    return list(range(int(first), int(end)))


@pytest.mark.parametrize("seed", choose_seeds())
def test_servers_that_left_a_deployment_get_no_late_request(tmp_path, seed):
    async def scenario():
        async with run_process_rig(
            tmp_path, NODES, SERVERS, DOMAINS, has_store_links=True
        ) as rig:
            departures = DeploymentDepartures(rig, random.Random(seed), tmp_path)
            await play_deployment(departures, PLAY_S)
            assert len(departures.left_at_by_id) >= MIN_DEPARTURES_PER_S * PLAY_S
            assert departures.statuses[200] >= MIN_RESPONSES_PER_S * PLAY_S
            assert list(departures.list_late()) == []
            assert departures.list_evacuated() == []

    run(scenario())
