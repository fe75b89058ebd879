"""What clients may take fits the entry VM, and leaves room for all else."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.byte_budget import SMALL_BODY_BYTES
from persimmonlink_router.client_pressure.memory_plan import (
    BASE_BYTES,
    BYTES_PER_MB,
    CLIENT_DESCRIPTOR_SHARE,
    CONNECTION_BYTES,
    MAX_REQUEST_BYTES,
    MAX_RESPONSE_BYTES,
    USABLE_SHARE,
    MemoryPlan,
    plan_memory,
)


@given(st.floats(70, 10_000), st.integers(256, 1 << 20))
def test_the_parts_never_exceed_the_usable_memory(memory_mb, descriptors):
    plan = plan_memory(memory_mb, descriptors)
    parts = plan.client_bytes + plan.stage_bytes + plan.connections * CONNECTION_BYTES
    usable = USABLE_SHARE * memory_mb * BYTES_PER_MB
    # The least parts, which a VM of 70 MB has, are all that may exceed it.
    assert parts + BASE_BYTES <= max(usable, BASE_BYTES + 12_000_000)
    assert plan.connections <= max(64, CLIENT_DESCRIPTOR_SHARE * descriptors)


def test_without_known_limits_the_plan_is_the_default():
    assert plan_memory(0, 0) == MemoryPlan()
    assert plan_memory(0, 0).client_bytes == MAX_REQUEST_BYTES + MAX_RESPONSE_BYTES


def test_clients_inside_the_limits_of_today_s_deployments_fit():
    # The smallest VM there has 160 MB and 1,638 descriptors; a body has 4 MB at most.
    plan = plan_memory(160, 1638)
    assert plan.request_bytes >= 2 * 4_194_304
    assert plan.connections >= 400


@given(st.floats(70, 10_000), st.integers(256, 1 << 20))
def test_all_parts_together_fit_the_memory(memory_mb, descriptors):
    plan = plan_memory(memory_mb, descriptors)
    parts = plan.client_bytes + plan.stage_bytes + plan.connections * CONNECTION_BYTES
    peers = plan.relayed_bytes + plan.message_bytes + plan.small_message_bytes
    assert parts + peers + BASE_BYTES <= max(memory_mb, 80.0) * BYTES_PER_MB


@given(st.floats(64, 10_000), st.integers(256, 1 << 20))
def test_all_connections_together_fit_the_descriptors(memory_mb, descriptors):
    plan = plan_memory(memory_mb, descriptors)
    # Each client may need a connection to a server.
    at_most = 2 * plan.connections + plan.peer_connections
    at_most += plan.lookup_connections + 2 * plan.operator_connections
    assert at_most <= descriptors


def test_the_smallest_vm_has_room_for_all_peers_at_the_target_size():
    assert plan_memory(160, 1638).peer_connections >= 383 - 1


@given(st.floats(80, 10_000))
def test_a_body_and_a_response_of_the_usual_limit_fit_a_vm_of_80_mb(memory_mb):
    plan = plan_memory(memory_mb, 256)
    excess = 4_194_304 - SMALL_BODY_BYTES
    assert min(plan.request_bytes, plan.response_bytes) >= excess
    assert min(plan.relayed_bytes, plan.message_bytes) >= excess
