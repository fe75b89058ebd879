"""What clients may take fits the entry VM, and leaves room for all else."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

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
