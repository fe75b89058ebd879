"""What the coordinator believes of the stage servers."""

from __future__ import annotations

from dataclasses import replace

import pytest
from tests.router.chains import SPEC, make_server

from persimmonlink_router.calls import PieceFailure, PieceResult
from persimmonlink_router.server_health import ServerHealth
from persimmonlink_router.stage_servers import StageServers, StageServerState

NO_ROOM = PieceResult(failure=PieceFailure.NO_ROOM)


class NoBeliefs:
    """Knows no servers."""


def make_servers() -> StageServers:
    return StageServers(NoBeliefs(), ServerHealth())


def test_an_empty_server_has_all_its_room():
    assert StageServerState().room_bytes(SPEC, 0.0) == SPEC.result_room_bytes


def test_results_leave_some_room_as_their_sizes_are_approximate():
    state = StageServerState(held_bytes=3e6)
    assert state.room_bytes(SPEC, 0.0) < SPEC.result_room_bytes - 3e6


def test_results_that_found_no_room_show_what_else_takes_it():
    state = StageServerState(held_bytes=4e6)
    state.note_lacking(SPEC, 3e6, 10.0)
    state.give_back(3e6)
    assert state.room_bytes(SPEC, 10.0) < 0.5e6


def test_what_else_takes_room_ends_with_the_life_of_results():
    state = StageServerState()
    state.note_lacking(SPEC, 0.0, 10.0)
    rooms = [state.room_bytes(SPEC, 10.0 + s) for s in (0.0, 1.0, 2.0, 3.0, 4.0)]
    assert rooms == sorted(rooms)
    assert rooms[0] <= 0
    assert rooms[-1] == SPEC.result_room_bytes


def test_a_server_without_any_room_gets_no_call_for_a_while():
    servers, server = make_servers(), make_server()
    servers.note_answered(server, [NO_ROOM, NO_ROOM], 0.01, 1.0)
    assert servers.state(server).blocked_until > 1.0
    assert servers.slowness(server, 1.0) == pytest.approx(1.0)


def test_a_server_that_lacks_room_for_some_pieces_goes_on():
    servers, server = make_servers(), make_server()
    servers.note_answered(server, [NO_ROOM, PieceResult("h")], 1.0, 1.0)
    assert servers.state(server).blocked_until <= 1.0


def test_results_that_are_not_kept_at_all_take_no_room():
    spec = replace(SPEC, result_life_s=0.0)
    state = StageServerState()
    state.note_lacking(spec, 0.0, 10.0)
    assert state.room_bytes(spec, 10.0) == spec.result_room_bytes
