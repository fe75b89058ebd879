"""An unexpected error ends neither a node's loops nor the node."""

from __future__ import annotations

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGED,
    make_configuration,
    make_rig,
    run,
    wait_until,
)


class UnexpectedError(Exception):
    """An error that no part of the router expects."""


def fail_once(owner, name: str) -> list[str]:
    """Let the next call of a method fail; return the calls from that one on."""
    method = getattr(owner, name)
    calls: list[str] = []

    def call(*args, **kwargs):
        calls.append(name)
        if len(calls) == 1:
            raise UnexpectedError(name)
        return method(*args, **kwargs)

    setattr(owner, name, call)
    return calls


@pytest.mark.parametrize("name", ["apply", "advance"])
def test_a_node_follows_the_store_after_an_unexpected_error(name):
    async def scenario():
        async with make_rig() as rig:
            router = rig.routers[0]
            calls = fail_once(router._mirror, name)
            rig.store.put("op/config", make_configuration(2))
            await wait_until(lambda: calls)
            rig.store.put("op/config", make_configuration(3))
            await wait_until(lambda: router.cluster_view.configuration.version == 3)

    run(scenario())


def test_a_node_sends_heartbeats_after_an_unexpected_error():
    async def scenario():
        async with make_rig() as rig:
            calls = fail_once(rig.routers[0].membership, "_expire_stale_state")
            await wait_until(lambda: len(calls) >= 3)

    run(scenario())


def test_a_node_stays_registered_after_an_unexpected_error():
    async def scenario():
        async with make_rig() as rig:
            calls = fail_once(rig.routers[0]._registration, "_renew")
            await wait_until(lambda: len(calls) >= 3, 8.0)

    run(scenario())


@pytest.mark.parametrize("name", ["build_batch_request", "parse_batch_response"])
def test_stages_run_again_after_an_unexpected_error(name):
    async def scenario():
        async with make_rig() as rig:
            calls = fail_once(rig.routers[0]._scheduler._calls._wire, name)
            response = await rig.send_request("/chain/1", deadline_ms=3000, **STAGED)
            assert (response.status, response.is_complete) == (200, True)
            assert len(calls) > 1

    run(scenario())


def test_a_server_is_checked_again_after_an_unexpected_error():
    async def scenario():
        async with make_rig() as rig:
            detector = rig.routers[0]._sender.responses._end_detector
            fail_once(detector._pool, "check_address")
            server = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            server.faults.resets_connections = True
            rig.server_by_id[f"{PLAIN_SERVICE}-1"].faults.resets_connections = True
            assert (await rig.send_request("/book/1")).status == 502
            await wait_until(lambda: not detector.has_unsent)

    run(scenario())


def fail_always(owner, name: str) -> None:
    """Let all calls of a method fail."""

    def fail(*_args, **_kwargs):
        raise UnexpectedError(name)

    setattr(owner, name, fail)


def count_calls(owner, name: str) -> list[str]:
    """Return the calls of a method from now on."""
    method = getattr(owner, name)
    calls: list[str] = []

    def call(*args, **kwargs):
        calls.append(name)
        return method(*args, **kwargs)

    setattr(owner, name, call)
    return calls


@pytest.mark.parametrize(
    ("failing", "step", "later", "later_step"),
    [
        ("_loop_lag", "tick", "cluster_view", "tick"),
        ("_crash_guard", "tick", "stream_version_saver", "tick"),
        ("stream_version_saver", "tick", "_reach_monitor", "tick"),
        ("_pool", "close_idle", "_stream_versions", "discard_expired"),
        ("_version_exchange", "sweep", "_crash_guard", "sweep"),
        ("_crash_guard", "sweep", "_places", "retain_servers"),
    ],
)
def test_a_part_that_always_fails_keeps_no_other_from_its_turn(
    failing, step, later, later_step
):
    async def scenario():
        async with make_rig() as rig:
            router = rig.routers[0]
            fail_always(getattr(router, failing), step)
            calls = count_calls(getattr(router, later), later_step)
            await wait_until(lambda: len(calls) >= 2, 4.0)

    run(scenario())
