"""How the stages of a request advance, and what is freed when."""

from __future__ import annotations

from dataclasses import replace

from tests.router.chains import make_chain, make_result, make_server

from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_job import StageNeed


def run_stage(chain, index: int) -> None:
    for number in range(chain.job.stages[index].pieces):
        chain.put(index, number, make_result(f"h{index}.{number}"))


def test_a_stage_is_ready_once_all_its_inputs_are_there():
    chain = make_chain(pieces=(2, 1))
    assert chain.take_ready_stages() == [0]
    chain.put(0, 0, make_result("h"))
    assert chain.take_ready_stages() == []
    chain.put(0, 1, make_result("h2"))
    assert chain.take_ready_stages() == [1]


def test_a_stage_without_pieces_is_left_out():
    chain = make_chain(pieces=(0, 0))
    assert chain.is_done()
    assert chain.list_final() == ()


def test_a_result_is_taken_once():
    chain = make_chain()
    assert chain.put(0, 0, make_result("first"))
    assert not chain.put(0, 0, make_result("second"))
    assert [r.handle for r in chain.list_final()] == ["first"]


def test_inputs_are_released_once_all_pieces_that_read_them_were_sent():
    chain = make_chain(pieces=(1, 2))
    run_stage(chain, 0)
    chain.note_unsent(1, 2)
    chain.note_unsent(1, -1)
    chain.note_sent(1, 0.0)
    assert chain.take_read_inputs(1) == []
    chain.note_unsent(1, -1)
    assert [r.handle for r in chain.take_read_inputs(1)] == ["h0.0"]
    assert chain.take_read_inputs(1) == []
    assert chain.lacks_inputs(1)


def test_a_stage_that_is_run_anew_takes_those_after_it_along():
    chain = make_chain(pieces=(1, 1))
    chain.take_ready_stages()
    run_stage(chain, 0)
    chain.take_ready_stages()
    chain.put(1, 0, make_result("old"))
    epoch = chain.epoch(1)
    freed = chain.reset_stage(0)
    assert {r.handle for r in freed} == {"h0.0", "old"}
    assert chain.epoch(1) > epoch
    assert not chain.lacks_inputs(1)
    assert chain.take_ready_stages() == [0]


def test_what_was_released_is_not_freed_again():
    chain = make_chain(pieces=(1, 1))
    run_stage(chain, 0)
    run_stage(chain, 1)
    assert [r.handle for r in chain.take_consumed()] == ["h0.0"]
    assert [r.handle for r in chain.take_all()] == ["h1.0"]


def test_another_coordinator_goes_on_with_what_was_made():
    chain = make_chain(pieces=(1, 2))
    chain.take_ready_stages()
    run_stage(chain, 0)
    chain.take_ready_stages()
    chain.put(1, 0, make_result("h1.0"))
    made = chain.list_made()
    assert [(m.stage, m.number, m.handle) for m in made] == [
        (0, 0, "h0.0"),
        (1, 0, "h1.0"),
    ]
    after = StageChain(replace(chain.job, made=made), 1.0)
    for result in made:
        after.restore(result, make_server())
    assert after.has_started
    assert after.take_ready_stages() == [1]
    assert after.has_result(1, 0)
    assert not after.has_result(1, 1)


def test_results_that_were_used_up_are_passed_on_without_their_handles():
    chain = make_chain(pieces=(1, 1, 1))
    run_stage(chain, 0)
    run_stage(chain, 1)
    chain.take_consumed()
    made = chain.list_made()
    assert [(m.stage, m.handle) for m in made] == [(0, ""), (1, "h1.0")]
    after = StageChain(replace(chain.job, made=made), 1.0)
    for result in made:
        after.restore(result, make_server())
    assert after.take_ready_stages() == [2]
    assert [r.handle for r in after.take_all()] == ["h1.0"]


def test_a_stage_whose_inputs_were_freed_early_is_run_again_with_them():
    chain = make_chain(pieces=(1, 2))
    run_stage(chain, 0)
    chain.note_sent(1, 0.0)
    chain.put(1, 0, make_result("h1.0"))
    chain.take_read_inputs(1)
    assert chain.list_made() == ()


def test_a_stage_that_is_run_anew_takes_along_those_whose_results_were_freed():
    chain = make_chain(pieces=(1, 1, 1))
    for index in range(2):
        assert chain.take_ready_stages() == [index]
        chain.note_sent(index, 0.0)
        run_stage(chain, index)
    assert chain.take_ready_stages() == [2]
    chain.note_sent(2, 0.0)
    chain.take_read_inputs(1)
    chain.take_read_inputs(2)
    assert chain.reset_inputs(2) == []
    assert chain.take_ready_stages() == [0]
    run_stage(chain, 0)
    assert chain.take_ready_stages() == [1]
    assert chain.has_inputs(1)


def test_a_stage_that_is_run_anew_keeps_results_that_are_still_there():
    chain = make_chain(pieces=(1, 1, 1))
    for index in range(2):
        chain.take_ready_stages()
        chain.note_sent(index, 0.0)
        run_stage(chain, index)
    chain.take_ready_stages()
    assert {r.handle for r in chain.reset_inputs(2)} == {"h1.0"}
    assert chain.take_ready_stages() == [1]
    assert chain.has_inputs(1)


def test_large_results_are_made_when_the_other_stages_are_nearly_done():
    side = StageNeed("stage", (), 800000, 2)
    first = StageNeed("stage", (), 8000, 1)
    second = StageNeed("stage", (1,), 60000, 1)
    job = replace(make_chain().job, stages=(side, first, second))
    chain = StageChain(job, 0.0, [0.4, 0.9, 0.4])
    assert chain.take_ready_stages() == [1]
    chain.note_sent(1, 0.1)
    run_stage(chain, 1)
    assert chain.take_ready_stages() == [0, 2]


def test_large_results_that_nothing_else_delays_are_made_at_once():
    job = replace(make_chain().job, stages=(StageNeed("stage", (), 800000, 2),))
    assert StageChain(job, 0.0, [0.4]).take_ready_stages() == [0]
