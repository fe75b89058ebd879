"""Accounting of the memory and the calls of stage servers."""

from __future__ import annotations

from dataclasses import replace

import pytest
from tests.router.chains import SPEC, make_server

from persimmonlink_router.rollouts.rollout_book import RolloutBook
from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.servers import ServerDirectory
from persimmonlink_router.stage_servers import StageServers, StageServerState
from persimmonlink_router.wire_messages import PieceFailure, PieceResult

NO_ROOM = PieceResult(failure=PieceFailure.NO_ROOM)


class NoServers:
    """Cluster view without servers."""

    def __init__(self) -> None:
        self.servers = ServerDirectory()
        self.rollouts = RolloutBook(self.servers)


def make_servers() -> StageServers:
    return StageServers(NoServers(), ServerHealth())


def test_empty_server_offers_all_its_memory():
    assert StageServerState().room_bytes(SPEC, 0.0) == SPEC.result_capacity_bytes


def test_server_with_results_offers_less_memory_as_sizes_are_approximate():
    state = StageServerState(held_bytes=3e6)
    assert state.room_bytes(SPEC, 0.0) < SPEC.result_capacity_bytes - 3e6


def test_results_without_room_reveal_untracked_memory():
    state = StageServerState(held_bytes=4e6)
    state.record_no_room(SPEC, 3e6, 10.0)
    state.free_memory(3e6)
    assert state.room_bytes(SPEC, 10.0) < 0.5e6


def test_untracked_memory_expires_with_the_life_of_results():
    state = StageServerState()
    state.record_no_room(SPEC, 0.0, 10.0)
    rooms = [state.room_bytes(SPEC, 10.0 + s) for s in (0.0, 1.0, 2.0, 3.0, 4.0)]
    assert rooms == sorted(rooms)
    assert rooms[0] <= 0
    assert rooms[-1] == SPEC.result_capacity_bytes


def test_server_without_any_room_is_blocked_for_a_while():
    servers, server = make_servers(), make_server()
    servers.record_response(server, [NO_ROOM, NO_ROOM], 0.01, 1.0)
    assert servers.state(server).blocked_until > 1.0
    assert servers.slowness(server, 1.0) == pytest.approx(1.0)


def test_server_without_room_for_some_pieces_is_not_blocked():
    servers, server = make_servers(), make_server()
    servers.record_response(server, [NO_ROOM, PieceResult("h")], 1.0, 1.0)
    assert servers.state(server).blocked_until <= 1.0


def test_untracked_memory_is_zero_if_results_are_not_kept():
    spec = replace(SPEC, result_ttl_s=0.0)
    state = StageServerState()
    state.record_no_room(spec, 0.0, 10.0)
    assert state.room_bytes(spec, 10.0) == spec.result_capacity_bytes


def test_a_call_is_given_more_time_after_calls_that_were_given_up():
    servers, server = make_servers(), make_server()
    timeouts_s = []
    for now in (0.0, 0.3, 0.8):
        timeouts_s.append(servers.compute_call_timeout_s(server, 0.02, now))
        servers.record_call_failure(server, now, is_unreachable=False)
        servers.record_call_timeout(server, timeouts_s[-1] / 0.02, now)
    assert timeouts_s[1] > 1.3 * timeouts_s[0]
    assert timeouts_s[2] > 1.3 * timeouts_s[1]


def test_a_server_whose_calls_are_given_up_is_not_preferred_to_a_slow_one():
    servers, silent, slow = make_servers(), make_server("s1"), make_server("s2")
    servers.record_response(slow, [PieceResult("h")], 14.0, 0.0)
    servers.record_call_failure(silent, 0.0, is_unreachable=False)
    servers.record_call_timeout(silent, 12.0, 0.0)
    assert servers.slowness(silent, 0.1) > servers.slowness(slow, 0.1)
