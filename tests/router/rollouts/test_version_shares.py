"""What versions get adds up over all nodes, and no request changes its version."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.rollouts.rollout_phase import RolloutPhase
from persimmonlink_router.rollouts.version_shares import VersionShare, VersionShares
from persimmonlink_router.servers import Server, ServerDirectory


def make_server(server_id, version):
    return Server(server_id, 0, "engines", "10.0.0.1:80", "a", 8, False, 0.0, version)


OLD = [make_server(f"old-{index}", "v1") for index in range(3)]
NEW = [make_server(f"new-{index}", "v2") for index in range(3)]


def make_shares(phase=RolloutPhase.TRIAL, share=0.08, **changes):
    shares = VersionShares()
    shares.set_share("engines", VersionShare("v2", 7, phase, share, **changes))
    return shares


def select(shares, request_id, servers=None, pinned=None, *, is_retry=False):
    servers = OLD + NEW if servers is None else servers
    chosen = shares.select("engines", servers, request_id, pinned, is_retry=is_retry)
    return {server.software_version for server in chosen}


@pytest.mark.parametrize("nodes", [1, 8, 74, 383])
def test_the_share_of_all_nodes_together_is_that_of_the_trial(nodes):
    # Guards against shares of single nodes that add up to more, also as nodes restart.
    rng = random.Random(nodes)
    shares_by_node = [make_shares() for _ in range(nodes)]
    sent = 0
    for _ in range(6000):
        shares = rng.choice(shares_by_node)
        sent += select(shares, f"{rng.getrandbits(64):x}") == {"v2"}
    # Four standard deviations of 6,000 draws.
    assert abs(sent - 480) < 4 * 21


@given(st.text(max_size=40))
def test_all_nodes_draw_a_request_alike_and_its_retries_go_to_old_versions(request_id):
    assert select(make_shares(), request_id) == select(make_shares(), request_id)
    assert select(make_shares(share=1.0), request_id, is_retry=True) == {"v1"}


def test_a_request_in_no_trial_waits_rather_than_exceed_the_share():
    assert select(make_shares(share=0.0), "id", NEW) == set()


def test_a_drawn_request_goes_to_an_old_version_without_a_new_server():
    assert select(make_shares(share=1.0), "id", OLD) == {"v1"}


def test_a_stream_that_began_at_the_new_version_goes_on_there():
    assert select(make_shares(share=0.0), "id", NEW, "v2", is_retry=True) == {"v2"}


def test_after_the_trial_requests_go_to_the_new_version():
    shares = make_shares(RolloutPhase.SHIFT)
    assert select(shares, "id") == {"v2"}
    assert select(shares, "id", OLD) == {"v1"}


@pytest.mark.parametrize(
    ("phase", "changes", "usable"),
    [
        (RolloutPhase.REVERTED, {}, "old"),
        (RolloutPhase.TRIAL, {"is_suspended": True}, "old"),
        (RolloutPhase.SHIFT, {"is_suspended": True}, "old"),
        (RolloutPhase.COMPLETE, {"old_versions": frozenset({"v1"})}, "new"),
    ],
)
def test_versions_that_are_out_get_nothing(phase, changes, usable):
    directory = ServerDirectory()
    for server in OLD + NEW:
        directory.update(server, 0.0)
    assert len(directory.list_usable("engines")) == 6
    directory.version_shares.set_share(
        "engines", VersionShare("v2", 7, phase, 0.08, **changes)
    )
    names = {server.server_id[:3] for server in directory.list_usable("engines")}
    assert names == {usable}
    assert not directory.is_usable(NEW[0] if usable == "old" else OLD[0])


@given(st.integers(1, 400))
def test_calls_with_pieces_keep_to_the_share_at_each_moment(calls):
    shares = make_shares(share=0.1)
    new = 0
    for count in range(1, calls + 1):
        server = shares.select_for_call("engines", OLD + NEW)[0]
        shares.record_call(server)
        new += server.software_version == "v2"
        assert new <= 0.1 * count
    assert new >= 0.1 * calls - 1
