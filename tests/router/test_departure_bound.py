"""How long a departure takes to reach all sends, from 8 to 383 nodes."""

from __future__ import annotations

import functools
import math
import random
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.heartbeat_ring import list_successors
from persimmonlink_router.cluster_membership import FAN_OUT, LARGE_CLUSTER_FAN_OUT
from persimmonlink_router.fact_exchange import SPREAD_DELAY_S
from persimmonlink_router.router import TICK_INTERVAL_S
from persimmonlink_router.store_backoff import StoreBackoff
from persimmonlink_router.store_contact import OUTAGE_EXPIRY_GRACE_S, StoreContact
from persimmonlink_router.store_intervals import (
    SMALL_CLUSTER_NODES,
    WATCH_LATENCY_S,
    WATCH_WAIT_S,
    choose_outage_interval_s,
    choose_watch_pause_s,
)

DRAIN_S = 2.0  # Time from the store's response until no send may begin.
CONTACT_S = 3.0  # Time after an outage from which a node must act on departures.
MOMENT_S = 0.001
PEER_LATENCY_S = 0.01
STORE_LATENCY_S = 0.4  # Longest call at bad times, 100 times as long as usually.

nodes = st.integers(8, 383)
small_clusters = st.integers(8, SMALL_CLUSTER_NODES)
large_clusters = st.integers(SMALL_CLUSTER_NODES + 1, 383)
seeds = st.integers(0, 2**32)


def find_effect(
    nodes: int, write_at: float, cut_at: float, latency_s: float, seed: int
) -> float:
    """Return when a node knows of a write; a watch that waits at `cut_at` is cut."""
    interval_s = choose_outage_interval_s(nodes)
    backoff = StoreBackoff(lambda: interval_s, random.Random(seed))
    now = 0.0
    wait_s = WATCH_WAIT_S
    while True:
        began_at = now + choose_watch_pause_s(nodes)
        ends_at = min(max(began_at, write_at), began_at + wait_s)
        if began_at < cut_at < ends_at:
            began_at = cut_at + backoff.next_pause_s(cut_at - began_at)
            ends_at = began_at
        now = ends_at + latency_s
        if write_at <= ends_at:
            return now


@given(
    nodes,
    st.floats(0.0, 8.0),
    st.floats(0.0, 8.0),
    st.floats(0.0, WATCH_LATENCY_S),
    seeds,
)
def test_a_departure_is_known_in_time_while_the_store_is_calm(
    nodes, write_at, cut_at, latency_s, seed
):
    effect_at = find_effect(nodes, write_at, cut_at, latency_s, seed)
    assert effect_at - write_at < DRAIN_S


@given(nodes, seeds)
def test_a_departure_right_after_a_cut_or_a_response_is_known_in_time(nodes, seed):
    soon_cut_at = choose_watch_pause_s(nodes) + MOMENT_S
    for write_at, cut_at in ((soon_cut_at + MOMENT_S, soon_cut_at), (MOMENT_S, 0.0)):
        effect_at = find_effect(nodes, write_at, cut_at, WATCH_LATENCY_S, seed)
        assert effect_at - write_at < DRAIN_S


@dataclass(frozen=True)
class AfterOutage:
    """A departure after an outage that ends at 0, as one node hears of it.

    Parameters
    ----------
    nodes : int
        Nodes of the cluster.
    phase : float
        Part of the node's interval of calls by which it finds the store late.
    latency_s : float
        Time of each call to the store, in seconds.
    seed : int
        Seed of the intervals of all nodes.
    write_after_s : float
        Time of the departure after the first moment that counts, in seconds.
    outage_s : float
        Length of the outage, in seconds.
    """

    nodes: int
    phase: float
    latency_s: float
    seed: int
    write_after_s: float
    outage_s: float

    def make_backoff(self, number: int) -> StoreBackoff:
        """Return the intervals of a node's calls in an outage."""
        interval_s = choose_outage_interval_s(self.nodes)
        return StoreBackoff(lambda: interval_s, random.Random(self.seed + number))

    def find_return_heard(self) -> tuple[float, float]:
        """Return when peers say that the store was back, and when the node hears it.

        Servers write all the time in a large cluster, so that its nodes make their
        calls after their pauses, at any time of these.
        """
        rng = random.Random(self.seed)
        first_at = math.inf
        for number in range(1, self.nodes):
            backoff = self.make_backoff(number)
            at = rng.uniform(0.0, choose_watch_pause_s(self.nodes)) - self.outage_s
            while at < 0:
                at += backoff.next_pause_s(0.0)
            first_at = min(first_at, at + self.latency_s)
        hops = count_hops(self.nodes)
        told_at = first_at + hops * (SPREAD_DELAY_S + PEER_LATENCY_S)
        return first_at + hops * PEER_LATENCY_S, told_at

    def find_finality_delay_s(self, *, hears_peers: bool) -> float:
        """Return the time from the departure until no send may begin, in seconds."""
        backoff = self.make_backoff(0)
        pause_s = [backoff.next_pause_s(0.0) for _ in range(3)][-1]
        found_at = self.phase * pause_s + self.latency_s
        contact = StoreContact()
        contact.record_contact(-self.outage_s - 3.0)
        contact.record_loss(-self.outage_s, "", -self.outage_s)
        failed_at = min(0.0, (self.phase - 1.0) * pause_s)
        contact.record_loss(failed_at, "", failed_at)
        returned_at, told_at = math.inf, math.inf
        if hears_peers:
            returned_at, told_at = self.find_return_heard()
        if told_at < found_at:
            contact.record_return(returned_at)
        contact.record_contact(found_at)
        write_at = CONTACT_S + self.write_after_s
        known_at = write_at + choose_watch_pause_s(self.nodes) + self.latency_s
        known_at = max(known_at, found_at)
        if found_at <= told_at < known_at:
            contact.record_return(returned_at)
        ends_at = contact.find_lapse_end(known_at)
        final_at = known_at if ends_at is None else ends_at + TICK_INTERVAL_S
        return final_at - write_at


@functools.cache
def count_hops(nodes: int) -> int:
    """Return in how many hops a fact that a node tells its successors reaches all."""
    ids = [f"node-{number}" for number in range(nodes)]
    ring = list_successors(ids[0], ids, nodes, LARGE_CLUSTER_FAN_OUT)
    targets = list_successors(ids[0], ids, FAN_OUT, LARGE_CLUSTER_FAN_OUT)
    distances = [ring.index(target) + 1 for target in targets]
    hops_by_distance = [0]
    for distance in range(1, nodes):
        before = [distance - step for step in distances if step <= distance]
        hops_by_distance.append(1 + min(hops_by_distance[i] for i in before))
    return max(hops_by_distance)


phases = st.floats(0.0, 1.0)
latencies = st.floats(0.0, STORE_LATENCY_S)
after_outage = (phases, latencies, seeds, st.floats(0.0, 4.0), st.floats(2.0, 30.0))


@given(st.builds(AfterOutage, small_clusters, *after_outage))
def test_a_departure_is_final_in_time_after_an_outage(drawn):
    assert drawn.find_finality_delay_s(hears_peers=False) < DRAIN_S


@given(st.builds(AfterOutage, large_clusters, *after_outage))
def test_a_departure_is_final_in_time_after_an_outage_in_a_large_cluster(drawn):
    assert drawn.find_finality_delay_s(hears_peers=True) < DRAIN_S


@given(st.floats(0.0, 0.6))
def test_a_call_that_is_broken_off_and_answered_by_the_retry_is_no_outage(spent_s):
    contact = StoreContact()
    contact.record_contact(0.0)
    backoff = StoreBackoff(lambda: choose_outage_interval_s(8), random.Random(1))
    lost_at = choose_watch_pause_s(8) + spent_s
    contact.record_loss(lost_at, "", lost_at)
    found_at = lost_at + backoff.next_pause_s(spent_s)
    assert contact.find_lapse_end(found_at) is None
    contact.record_contact(found_at)
    assert contact.find_lapse_end(found_at) is None


def test_a_silence_of_the_length_in_which_entries_expire_is_an_outage():
    contact = StoreContact()
    contact.record_contact(10.0)
    contact.record_loss(13.3, "", 10.3)
    assert contact.find_lapse_end(13.4) == 13.4 + OUTAGE_EXPIRY_GRACE_S
    contact.record_contact(13.8)
    assert contact.find_lapse_end(14.0) == 13.8 + OUTAGE_EXPIRY_GRACE_S
    assert contact.find_lapse_end(13.8 + OUTAGE_EXPIRY_GRACE_S) is None
