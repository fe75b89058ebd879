"""Which pieces make a batch."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from tests.router.chains import SPEC, make_chain, make_result

from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_queue import StageQueue, StageServerView, Ticket

VIEW = StageServerView("a", 1e9, ("a", "b"))


def make_tickets(chain, count: int = 1, **changes) -> list[Ticket]:
    return [
        Ticket(chain, 0, n, chain.epoch(0), changes.pop("queued_at", 0.0), **changes)
        for n in range(count)
    ]


def take_ids(queue: StageQueue, view=VIEW, now: float = 0.0) -> list[str]:
    batch = queue.take_batch(SPEC, view, now)
    return [ticket.chain.job.request_id for ticket in batch.tickets]


def test_more_urgent_requests_go_first_within_their_objective():
    queue = StageQueue()
    queue.put(make_tickets(make_chain(request_id="low", priority=2, pieces=(3,)), 3))
    queue.put(make_tickets(make_chain(request_id="high", priority=0, pieces=(3,)), 3))
    assert take_ids(queue) == ["high", "high", "high", "low", "low"]


def test_a_request_that_is_late_waits_for_those_that_can_be_on_time():
    queue = StageQueue()
    late = make_chain(request_id="late", priority=0, is_late=True, pieces=(5,))
    queue.put(make_tickets(late, 5))
    queue.put(make_tickets(make_chain(request_id="timely", priority=2)))
    assert take_ids(queue)[0] == "timely"


def test_a_late_request_whose_results_take_room_is_finished_first():
    queue = StageQueue()
    timely = make_chain(request_id="timely", priority=1)
    begun = make_chain(request_id="begun", is_late=True, priority=0)
    queue.put(make_tickets(timely) + make_tickets(begun, input_bytes=5e5))
    assert take_ids(queue) == ["begun", "timely"]


def test_a_late_piece_is_run_before_its_inputs_end():
    queue = StageQueue()
    timely = make_chain(request_id="timely", pieces=(5,))
    ending = make_chain(request_id="ending", is_late=True)
    queue.put(make_tickets(timely, 5))
    queue.put(make_tickets(ending, inputs_end_at=1.0))
    assert "ending" in take_ids(queue, now=0.9)


def test_a_batch_fits_the_servers_memory():
    queue = StageQueue()
    queue.put(make_tickets(make_chain(pieces=(5,), result_bytes=400), 5))
    assert len(take_ids(queue, replace(VIEW, room_bytes=1000))) == 2
    assert len(queue) == 3


def test_a_piece_waits_for_a_server_near_its_inputs_but_not_for_long():
    queue = StageQueue()
    queue.put(make_tickets(make_chain(), domain="b", crossing_bytes=1e6))
    assert take_ids(queue, now=0.1) == []
    assert take_ids(queue, now=0.5) == ["r1"]


def test_a_piece_does_not_wait_for_a_domain_without_servers():
    queue = StageQueue()
    queue.put(make_tickets(make_chain(), domain="c", crossing_bytes=1e6))
    assert take_ids(queue) == ["r1"]


def test_a_piece_with_little_time_left_goes_to_any_server():
    queue = StageQueue()
    chain = make_chain(objective_s=0.15)
    queue.put(make_tickets(chain, domain="b", crossing_bytes=1e6))
    assert take_ids(queue) == ["r1"]


def test_pieces_of_an_earlier_epoch_are_dropped():
    queue = StageQueue()
    chain = make_chain(pieces=(2, 2))
    queue.put(make_tickets(chain, 2))
    chain.reset_stage(0)
    assert take_ids(queue) == []


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 6), st.booleans()), max_size=12
    )
)
def test_every_piece_is_taken_once(requests):
    queue = StageQueue()
    total = 0
    for index, (priority, pieces, is_late) in enumerate(requests):
        chain = make_chain(
            request_id=str(index), priority=priority, pieces=(pieces,), is_late=is_late
        )
        queue.put(make_tickets(chain, pieces))
        total += pieces
    taken = []
    while batch := queue.take_batch(SPEC, VIEW, 0.0).tickets:
        assert len(batch) <= SPEC.size
        taken.extend((t.chain.job.request_id, t.number) for t in batch)
    assert len(taken) == len(set(taken)) == total


def test_a_piece_whose_inputs_were_taken_away_is_not_sent():
    queue = StageQueue()
    chain = make_chain(pieces=(1, 1))
    chain.put(0, 0, make_result("h"))
    queue.put([Ticket(chain, 1, 0, chain.epoch(1), 0.0)])
    chain.take_all()
    assert take_ids(queue) == []


def test_a_batch_says_whether_its_server_could_have_run_more():
    queue = StageQueue()
    queue.put(make_tickets(make_chain(pieces=(7,)), 7))
    elsewhere = make_chain(request_id="elsewhere")
    queue.put(make_tickets(elsewhere, domain="b", crossing_bytes=1e6))
    assert queue.take_batch(SPEC, VIEW, 0.0).has_left_some
    rest = queue.take_batch(SPEC, VIEW, 0.0)
    assert len(rest.tickets) == 2
    assert not rest.has_left_some
    assert len(queue) == 1


def test_a_request_that_can_no_longer_be_on_time_does_not_delay_those_that_can():
    queue = StageQueue()
    missed = make_chain(request_id="missed", pieces=(5,), objective_s=1.0)
    missed = StageChain(missed.job, 0.0, [0.8])
    timely = StageChain(make_chain(request_id="timely").job, 0.0, [0.8])
    queue.put(make_tickets(missed, 5))
    queue.put(make_tickets(timely))
    assert take_ids(queue, now=0.5)[0] == "timely"
