"""Selection of the pieces of a batch."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from tests.router.chains import SPEC, make_chain, make_result

from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_queue import PendingPiece, StageQueue, StageServerView

VIEW = StageServerView("a", 1e9, ("a", "b"))


def make_pieces(chain, count: int = 1, **changes) -> list[PendingPiece]:
    return [
        PendingPiece(
            chain, 0, n, chain.epoch(0), changes.pop("queued_at", 0.0), **changes
        )
        for n in range(count)
    ]


def pop_request_ids(queue: StageQueue, view=VIEW, now: float = 0.0) -> list[str]:
    batch = queue.pop_batch(SPEC, view, now)
    return [piece.chain.job.request_id for piece in batch.pieces]


def test_requests_of_higher_priority_go_first_within_their_objective():
    queue = StageQueue()
    queue.put(
        make_pieces(make_chain(request_id="low", priority=2, piece_counts=(3,)), 3)
    )
    queue.put(
        make_pieces(make_chain(request_id="high", priority=0, piece_counts=(3,)), 3)
    )
    assert pop_request_ids(queue) == ["high", "high", "high", "low", "low"]


def test_late_request_waits_for_requests_that_can_be_on_time():
    queue = StageQueue()
    late = make_chain(request_id="late", priority=0, is_late=True, piece_counts=(5,))
    queue.put(make_pieces(late, 5))
    queue.put(make_pieces(make_chain(request_id="timely", priority=2)))
    assert pop_request_ids(queue)[0] == "timely"


def test_late_request_with_large_inputs_goes_first():
    queue = StageQueue()
    timely = make_chain(request_id="timely", priority=1)
    begun = make_chain(request_id="begun", is_late=True, priority=0)
    queue.put(make_pieces(timely) + make_pieces(begun, input_bytes=5e5))
    assert pop_request_ids(queue) == ["begun", "timely"]


def test_late_piece_is_run_before_its_inputs_expire():
    queue = StageQueue()
    timely = make_chain(request_id="timely", piece_counts=(5,))
    ending = make_chain(request_id="ending", is_late=True)
    queue.put(make_pieces(timely, 5))
    queue.put(make_pieces(ending, inputs_expire_at=1.0))
    assert "ending" in pop_request_ids(queue, now=0.9)


def test_batch_fits_the_memory_of_the_server():
    queue = StageQueue()
    queue.put(make_pieces(make_chain(piece_counts=(5,), result_bytes=400), 5))
    assert len(pop_request_ids(queue, replace(VIEW, room_bytes=1000))) == 2
    assert len(queue) == 3


def test_piece_waits_a_limited_time_for_its_preferred_domain():
    queue = StageQueue()
    queue.put(make_pieces(make_chain(), preferred_domain="b", cross_domain_bytes=1e6))
    assert pop_request_ids(queue, now=0.1) == []
    assert pop_request_ids(queue, now=0.5) == ["r1"]


def test_piece_does_not_wait_for_a_domain_without_servers():
    queue = StageQueue()
    queue.put(make_pieces(make_chain(), preferred_domain="c", cross_domain_bytes=1e6))
    assert pop_request_ids(queue) == ["r1"]


def test_piece_with_little_slack_goes_to_any_domain():
    queue = StageQueue()
    chain = make_chain(objective_s=0.15)
    queue.put(make_pieces(chain, preferred_domain="b", cross_domain_bytes=1e6))
    assert pop_request_ids(queue) == ["r1"]


def test_pieces_of_an_earlier_epoch_are_dropped():
    queue = StageQueue()
    chain = make_chain(piece_counts=(2, 2))
    queue.put(make_pieces(chain, 2))
    chain.reset_stage(0)
    assert pop_request_ids(queue) == []


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 6), st.booleans()), max_size=12
    )
)
def test_every_piece_is_popped_once(requests):
    queue = StageQueue()
    total = 0
    for index, (priority, piece_count, is_late) in enumerate(requests):
        chain = make_chain(
            request_id=str(index),
            priority=priority,
            piece_counts=(piece_count,),
            is_late=is_late,
        )
        queue.put(make_pieces(chain, piece_count))
        total += piece_count
    popped = []
    while batch := queue.pop_batch(SPEC, VIEW, 0.0).pieces:
        assert len(batch) <= SPEC.max_pieces
        popped.extend((piece.chain.job.request_id, piece.number) for piece in batch)
    assert len(popped) == len(set(popped)) == total


def test_piece_without_its_inputs_is_not_sent():
    queue = StageQueue()
    chain = make_chain(piece_counts=(1, 1))
    chain.add_result(0, 0, make_result("h"))
    queue.put([PendingPiece(chain, 1, 0, chain.epoch(1), 0.0)])
    chain.pop_all_results()
    assert pop_request_ids(queue) == []


def test_batch_states_whether_eligible_pieces_remain():
    queue = StageQueue()
    queue.put(make_pieces(make_chain(piece_counts=(7,)), 7))
    elsewhere = make_chain(request_id="elsewhere")
    queue.put(make_pieces(elsewhere, preferred_domain="b", cross_domain_bytes=1e6))
    assert queue.pop_batch(SPEC, VIEW, 0.0).has_unsent_pieces
    rest = queue.pop_batch(SPEC, VIEW, 0.0)
    assert len(rest.pieces) == 2
    assert not rest.has_unsent_pieces
    assert len(queue) == 1


def test_request_past_its_latest_start_does_not_delay_requests_that_can_be_on_time():
    queue = StageQueue()
    missed = make_chain(request_id="missed", piece_counts=(5,), objective_s=1.0)
    missed = StageChain(missed.job, 0.0, [0.8])
    timely = StageChain(make_chain(request_id="timely").job, 0.0, [0.8])
    queue.put(make_pieces(missed, 5))
    queue.put(make_pieces(timely))
    assert pop_request_ids(queue, now=0.5)[0] == "timely"
