"""What a node does between the reads of an order and of its record."""

from __future__ import annotations

import pytest

from persimmonlink_router.rollouts.rollout_book import RolloutBook
from persimmonlink_router.rollouts.rollout_phase import RolloutPhase
from persimmonlink_router.rollouts.rollout_records import RolloutOrder, RolloutRecord
from persimmonlink_router.servers import ServerDirectory


@pytest.mark.parametrize("phase", [RolloutPhase.TRIAL, RolloutPhase.SHIFT])
def test_an_unfinished_record_without_its_order_gives_the_version_nothing(phase):
    # Guards against a trial that never ends, as its order was deleted meanwhile.
    book = RolloutBook(ServerDirectory())
    shares = book._shares.share_by_service
    book.apply_record(RolloutRecord(5, "desk", "v2", phase, 1.0, "n"), 6, 0.0)
    assert shares["desk"].excluded_versions == {"v2"}
    book.apply_order("desk", RolloutOrder("desk", "v2", 10.0), 5, 0.0)
    assert not shares["desk"].excluded_versions
    assert shares["desk"].phase is phase
