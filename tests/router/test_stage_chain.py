"""Order of a request's stages, and the release and transfer of their results."""

from __future__ import annotations

from dataclasses import replace

from tests.router.chains import make_chain, make_result, make_server

from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_job import StageNeed


def run_stage(chain, index: int) -> None:
    for number in range(chain.job.stages[index].pieces):
        chain.add_result(index, number, make_result(f"h{index}.{number}"))


def test_stage_is_ready_once_all_its_inputs_have_results():
    chain = make_chain(piece_counts=(2, 1))
    assert chain.pop_ready_stages() == [0]
    chain.add_result(0, 0, make_result("h"))
    assert chain.pop_ready_stages() == []
    chain.add_result(0, 1, make_result("h2"))
    assert chain.pop_ready_stages() == [1]


def test_stage_without_pieces_is_skipped():
    chain = make_chain(piece_counts=(0, 0))
    assert chain.is_done()
    assert chain.list_final_results() == ()


def test_second_result_of_a_piece_is_rejected():
    chain = make_chain()
    assert chain.add_result(0, 0, make_result("first"))
    assert not chain.add_result(0, 0, make_result("second"))
    assert [r.handle for r in chain.list_final_results()] == ["first"]


def test_inputs_are_released_once_all_pieces_that_read_them_were_sent():
    chain = make_chain(piece_counts=(1, 2))
    run_stage(chain, 0)
    chain.adjust_unsent_pieces(1, 2)
    chain.adjust_unsent_pieces(1, -1)
    chain.record_sent(1, 0.0)
    assert chain.pop_read_inputs(1) == []
    chain.adjust_unsent_pieces(1, -1)
    assert [r.handle for r in chain.pop_read_inputs(1)] == ["h0.0"]
    assert chain.pop_read_inputs(1) == []
    assert chain.has_released_inputs(1)


def test_reset_of_a_stage_resets_the_stages_after_it():
    chain = make_chain(piece_counts=(1, 1))
    chain.pop_ready_stages()
    run_stage(chain, 0)
    chain.pop_ready_stages()
    chain.add_result(1, 0, make_result("old"))
    epoch = chain.epoch(1)
    freed = chain.reset_stage(0)
    assert {r.handle for r in freed} == {"h0.0", "old"}
    assert chain.epoch(1) > epoch
    assert not chain.has_released_inputs(1)
    assert chain.pop_ready_stages() == [0]


def test_released_results_are_not_returned_again():
    chain = make_chain(piece_counts=(1, 1))
    run_stage(chain, 0)
    run_stage(chain, 1)
    assert [r.handle for r in chain.pop_consumed_results()] == ["h0.0"]
    assert [r.handle for r in chain.pop_all_results()] == ["h1.0"]


def test_next_coordinator_continues_from_transferred_results():
    chain = make_chain(piece_counts=(1, 2))
    chain.pop_ready_stages()
    run_stage(chain, 0)
    chain.pop_ready_stages()
    chain.add_result(1, 0, make_result("h1.0"))
    transferred = chain.list_transferable_results()
    assert [(m.stage, m.number, m.handle) for m in transferred] == [
        (0, 0, "h0.0"),
        (1, 0, "h1.0"),
    ]
    restored = StageChain(replace(chain.job, made=transferred), 1.0)
    for result in transferred:
        restored.restore_result(result, make_server())
    assert restored.has_started
    assert restored.pop_ready_stages() == [1]
    assert restored.has_result(1, 0)
    assert not restored.has_result(1, 1)


def test_consumed_results_are_transferred_without_handles():
    chain = make_chain(piece_counts=(1, 1, 1))
    run_stage(chain, 0)
    run_stage(chain, 1)
    chain.pop_consumed_results()
    transferred = chain.list_transferable_results()
    assert [(m.stage, m.handle) for m in transferred] == [(0, ""), (1, "h1.0")]
    restored = StageChain(replace(chain.job, made=transferred), 1.0)
    for result in transferred:
        restored.restore_result(result, make_server())
    assert restored.pop_ready_stages() == [2]
    assert [r.handle for r in restored.pop_all_results()] == ["h1.0"]


def test_partial_stage_with_released_inputs_is_not_transferred():
    chain = make_chain(piece_counts=(1, 2))
    run_stage(chain, 0)
    chain.record_sent(1, 0.0)
    chain.add_result(1, 0, make_result("h1.0"))
    chain.pop_read_inputs(1)
    assert chain.list_transferable_results() == ()


def test_reset_of_inputs_reaches_back_to_stages_with_released_results():
    chain = make_chain(piece_counts=(1, 1, 1))
    for index in range(2):
        assert chain.pop_ready_stages() == [index]
        chain.record_sent(index, 0.0)
        run_stage(chain, index)
    assert chain.pop_ready_stages() == [2]
    chain.record_sent(2, 0.0)
    chain.pop_read_inputs(1)
    chain.pop_read_inputs(2)
    assert chain.reset_inputs(2) == []
    assert chain.pop_ready_stages() == [0]
    run_stage(chain, 0)
    assert chain.pop_ready_stages() == [1]
    assert chain.has_inputs(1)


def test_reset_of_inputs_keeps_results_that_were_not_released():
    chain = make_chain(piece_counts=(1, 1, 1))
    for index in range(2):
        chain.pop_ready_stages()
        chain.record_sent(index, 0.0)
        run_stage(chain, index)
    chain.pop_ready_stages()
    assert {r.handle for r in chain.reset_inputs(2)} == {"h1.0"}
    assert chain.pop_ready_stages() == [1]
    assert chain.has_inputs(1)


def test_stage_with_large_results_waits_for_longer_critical_paths():
    side = StageNeed("stage", (), 800000, 2)
    first = StageNeed("stage", (), 8000, 1)
    second = StageNeed("stage", (1,), 60000, 1)
    job = replace(make_chain().job, stages=(side, first, second))
    chain = StageChain(job, 0.0, [0.4, 0.9, 0.4])
    assert chain.pop_ready_stages() == [1]
    chain.record_sent(1, 0.1)
    run_stage(chain, 1)
    assert chain.pop_ready_stages() == [0, 2]


def test_stage_with_large_results_starts_at_once_without_other_stages():
    job = replace(make_chain().job, stages=(StageNeed("stage", (), 800000, 2),))
    assert StageChain(job, 0.0, [0.4]).pop_ready_stages() == [0]
