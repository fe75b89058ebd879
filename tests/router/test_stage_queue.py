"""Selection of the pieces of a batch."""

from __future__ import annotations

import copy
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from tests.router.chains import SPEC, make_chain, make_job, make_result

from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_queue import PendingPiece, StageQueue

ROOM_BYTES = 1e9


def make_pieces(chain, count: int = 1, **changes) -> list[PendingPiece]:
    return [
        PendingPiece(
            chain, 0, n, chain.epoch(0), changes.pop("queued_at", 0.0), **changes
        )
        for n in range(count)
    ]


def pop_request_ids(
    queue: StageQueue, room_bytes: float = ROOM_BYTES, now: float = 0.0
) -> list[str]:
    batch = queue.pop_batch(SPEC, room_bytes, now)
    return [piece.chain.job.request_id for piece in batch.pieces]


def test_requests_of_higher_priority_go_first():
    queue = StageQueue()
    queue.put(
        make_pieces(make_chain(request_id="low", priority=2, piece_counts=(3,)), 3)
    )
    queue.put(
        make_pieces(make_chain(request_id="high", priority=0, piece_counts=(3,)), 3)
    )
    assert pop_request_ids(queue) == ["high", "high", "high", "low", "low"]


def test_accounts_take_turns_whatever_time_their_requests_state():
    queue = StageQueue()
    hasty = make_chain(account="hasty", deadline_s=2.0, piece_counts=(9,))
    queue.put(make_pieces(hasty, 9))
    queue.put(make_pieces(make_chain(request_id="calm", account="calm"), 2))
    first = pop_request_ids(queue)
    assert first.count("calm") == 2


def test_the_request_with_the_least_time_left_goes_first():
    queue = StageQueue()
    queue.put(make_pieces(make_chain(request_id="long", deadline_s=12.0)))
    queue.put(make_pieces(make_chain(request_id="short", deadline_s=3.0)))
    assert pop_request_ids(queue) == ["short", "long"]


def test_a_missed_objective_does_not_put_a_request_behind_others():
    """It was ranked behind all that could still meet theirs, however late it got."""
    queue = StageQueue()
    missed = make_chain(request_id="missed", objective_s=0.1, deadline_s=3.0)
    queue.put(make_pieces(make_chain(request_id="new", objective_s=9.0)))
    queue.put(make_pieces(missed))
    assert pop_request_ids(queue, now=0.5) == ["missed", "new"]


def test_a_piece_is_run_before_its_inputs_expire():
    queue = StageQueue()
    urgent = make_chain(request_id="urgent", deadline_s=6.0, piece_counts=(5,))
    queue.put(make_pieces(urgent, 5))
    ending = make_chain(request_id="ending", priority=2)
    queue.put(make_pieces(ending, inputs_expire_at=1.0))
    assert "ending" in pop_request_ids(queue, now=0.9)


def test_a_request_that_has_begun_goes_first_once_it_has_no_time_to_wait():
    """Its stages have been run, and more urgent ones would make that work vain."""
    queue = StageQueue()
    begun = make_chain(request_id="begun", priority=2, deadline_s=1.0)
    begun.record_sent(0, 0.0)
    queue.put(make_pieces(make_chain(request_id="urgent", piece_counts=(5,)), 5))
    queue.put(make_pieces(begun))
    assert "begun" not in pop_request_ids(copy.deepcopy(queue), now=0.1)
    assert pop_request_ids(queue, now=0.8)[0] == "begun"


def test_batch_fits_the_memory_of_the_server():
    queue = StageQueue()
    queue.put(make_pieces(make_chain(piece_counts=(5,), result_bytes=400), 5))
    assert len(pop_request_ids(queue, 1000.0)) == 2
    assert len(queue) == 3


def test_no_piece_waits_for_a_server_in_the_domain_of_its_data():
    """Pieces waited for up to 0.45 s while servers of other domains were idle."""
    queue = StageQueue()
    queue.put(make_pieces(make_chain(), preferred_domain="b"))
    assert queue.find_preferred_domain(0.0) == "b"
    assert pop_request_ids(queue) == ["r1"]


def test_pieces_of_an_earlier_epoch_are_dropped():
    queue = StageQueue()
    chain = make_chain(piece_counts=(2, 2))
    queue.put(make_pieces(chain, 2))
    chain.reset_stage(0)
    assert pop_request_ids(queue) == []


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 6), st.sampled_from("abc")),
        max_size=12,
    )
)
def test_every_piece_is_popped_once(requests):
    queue = StageQueue()
    total = 0
    for index, (priority, piece_count, account) in enumerate(requests):
        chain = make_chain(
            request_id=str(index),
            priority=priority,
            piece_counts=(piece_count,),
            account=account,
        )
        queue.put(make_pieces(chain, piece_count))
        total += piece_count
    popped = []
    while batch := queue.pop_batch(SPEC, ROOM_BYTES, 0.0).pieces:
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
    assert queue.pop_batch(SPEC, ROOM_BYTES, 0.0).has_unsent_pieces
    rest = queue.pop_batch(SPEC, ROOM_BYTES, 0.0)
    assert len(rest.pieces) == 2
    assert not rest.has_unsent_pieces
    assert len(queue) == 0


def list_hopeless_ids(queue: StageQueue, now: float = 0.0) -> list[str]:
    chains = queue.list_hopeless(SPEC, servers=1, until_free_s=0.0, now=now)
    return [chain.job.request_id for chain in chains]


def test_a_request_is_hopeless_once_it_can_not_be_started_in_time():
    """It was held until its deadline behind others that came later."""
    queue = StageQueue()
    short = StageChain(make_job("short", priority=1, deadline_s=1.5), 0.0, [0.8])
    queue.put(make_pieces(short))
    assert list_hopeless_ids(queue) == []
    urgent = make_chain(request_id="urgent", piece_counts=(20,))
    queue.put(make_pieces(urgent, 20))
    assert list_hopeless_ids(queue) == ["short"]


def test_a_hopeless_request_does_not_make_others_hopeless():
    queue = StageQueue()
    lost = StageChain(make_job("lost", piece_counts=(20,), deadline_s=0.5), 0.0, [0.8])
    queue.put(make_pieces(lost, 20))
    queue.put(make_pieces(make_chain(request_id="sound", deadline_s=1.0)))
    assert list_hopeless_ids(queue) == ["lost"]


def fill(queue: StageQueue, pieces: int, path_s: float = 1.0) -> None:
    chain = StageChain(make_job(piece_counts=(pieces,)), 0.0, [path_s])
    queue.put(make_pieces(chain, pieces))


def test_a_queue_stands_once_more_has_waited_than_calls_take_for_a_request_s_time():
    queue = StageQueue()
    fill(queue, 20)
    for tenth in range(10):
        queue.record_length(SPEC, 1, tenth / 10)
        assert not queue.has_stood(tenth / 10)
    assert queue.has_stood(1.0)


def test_the_first_pieces_of_a_queue_do_not_stand_however_many_they_are():
    queue = StageQueue()
    chain = StageChain(make_job(piece_counts=(20,)), 50.0, [1.0])
    queue.put(make_pieces(chain, 20, queued_at=50.0))
    queue.record_length(SPEC, 1, 50.0)
    assert not queue.has_stood(50.9)
    assert queue.has_stood(51.0)


def test_a_burst_that_is_worked_off_does_not_stand():
    queue = StageQueue()
    fill(queue, 20)
    queue.pop_batch(replace(SPEC, max_pieces=16), ROOM_BYTES, 0.5)
    queue.record_length(SPEC, 1, 0.5)
    assert not queue.has_stood(1.4)
    assert not queue.has_stood(9.0)


def test_a_queue_for_which_requests_are_refused_stays_bounded_as_it_empties():
    queue = StageQueue()
    fill(queue, 20)
    assert queue.has_stood(1.5)
    queue.record_refusal(1.5)
    queue.pop_batch(replace(SPEC, max_pieces=20), ROOM_BYTES, 1.6)
    queue.record_length(SPEC, 1, 1.6)
    assert queue.has_stood(2.4)
    queue.record_refusal(2.4)
    assert queue.has_stood(3.3)
    assert not queue.has_stood(3.5)
