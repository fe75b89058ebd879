"""A node that stops sends what no other node knows, or gives up in time."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from returns.result import Failure as Err
from returns.result import Success
from tests.router.rig import (
    NODE_HAS_ENDED,
    PLAIN_SERVICE,
    STREAM_SERVICE,
    make_rig,
    run,
    wait_until,
)
from tests.router.stops import collect_log

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.client_use_times import DIRECTORY_EXPIRY_WAIT_S
from persimmonlink_router.graceful_stop import HAND_OVER_WAIT_S
from persimmonlink_router.hold_records import HOLD_PREFIX
from persimmonlink_router.router import Router
from persimmonlink_router.server_ends import InterruptedRequest
from persimmonlink_router.stage_coordinator_client import CoordinatedRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.router.rig import Rig


SLOW_S = 0.25  # Time that each message to a peer, or call of the store, takes.
CAUSE = "request:1"
# Longest time of a stop without requests, but for what is handed over.
IDLE_STOP_S = DIRECTORY_EXPIRY_WAIT_S + 0.8


@dataclass
class SlowPeers:
    """Delays the messages of one node, and keeps those that peers got in time."""

    router: Router
    is_silent: bool = False
    has_ended: bool = False
    delivered: list[Any] = field(default_factory=list)

    def attach(self) -> None:
        """Use slow channels in place of the router's."""
        open_channel = self.router.membership.channel
        self.router.membership.channel = lambda address: SlowChannel(
            self, open_channel(address)
        )


@dataclass
class SlowChannel:
    """A slow channel to one peer."""

    peers: SlowPeers
    channel: Any

    async def call(self, message: Any, reply_type: type, timeout_s: float) -> Any:
        """Send a message late, or not if the node has ended before."""
        await asyncio.sleep(timeout_s if self.peers.is_silent else SLOW_S)
        if self.peers.has_ended or self.peers.is_silent:
            return Err(NODE_HAS_ENDED)
        reply = await self.channel.call(message, reply_type, timeout_s)
        if isinstance(reply, Success):
            self.peers.delivered.append(message)
        return reply


def act_at_the_end_of_the_work(router: Router, act: Callable[[], object]) -> None:
    """Call a function as the stop of a router finds no more work."""
    graceful_stop = router._graceful_stop
    is_busy = graceful_stop._is_busy
    has_acted = False

    def is_busy_then_act() -> bool:
        nonlocal has_acted
        if is_busy():
            return True
        if not has_acted:
            has_acted = True
            act()
        return False

    graceful_stop._is_busy = is_busy_then_act


def record_end(rig: Rig, router: Router) -> None:
    """Have a server end that broke a request of the router off."""
    servers = router.cluster_view.servers.server_by_id
    server = servers[f"{PLAIN_SERVICE}-0"]
    now = boot_time()
    request = InterruptedRequest("r", CAUSE, (), now, None, now)
    router._crash_guard.record_server_end(server, [request])


def record_interruption(rig: Rig, router: Router) -> None:
    """Have a server refuse connections after it broke a request off."""
    server = router.cluster_view.servers.server_by_id[f"{PLAIN_SERVICE}-0"]
    address = rig.server_by_id[f"{PLAIN_SERVICE}-0"].address
    assert server.address == address
    now = boot_time()
    request = InterruptedRequest("r", CAUSE, (), now, None, now)
    router._sender.responses._end_detector.record_interruption(server, request)


def record_version(rig: Rig, router: Router) -> None:
    """Have the router send a stream to a server."""
    server = router.cluster_view.servers.server_by_id[f"{STREAM_SERVICE}-0"]
    router._version_exchange.record_send("stream", server)


def end_place(rig: Rig, router: Router) -> None:
    """Have the router free a place that a peer granted."""
    server = router.cluster_view.servers.server_by_id[f"{PLAIN_SERVICE}-0"]
    granter = rig.routers[1].membership.own_member
    router._places.end_place(server, granter, was_rejected=False)


def release_results(rig: Rig, router: Router) -> None:
    """Have the router release results of stages that a peer coordinated."""
    client = router._coordinator_client
    node_id = rig.routers[1].membership.own_member.node_id
    client._run_by_attempt["first"] = CoordinatedRun("r", "first", node_id)
    client.release("first")


def decide(rig: Rig, router: Router) -> None:
    """Have the router pass on a decision of an operator."""
    router._crash_guard.release(frozenset([CAUSE]))


OWED = [
    (record_end, "ReportCrashes"),
    (record_interruption, "ReportCrashes"),
    (record_version, "RecordStreamVersions"),
    (end_place, "EndPlace"),
    (release_results, "ReleaseResults"),
    (decide, "ShareFacts"),
]


@pytest.mark.parametrize(("act", "message_name"), OWED)
def test_a_stop_sends_what_was_learned_as_the_work_ended(act, message_name):
    async def scenario():
        async with make_rig(routers=3) as rig:
            router = rig.routers[0]
            await wait_until(lambda: len(router.membership.list_serving_members()) == 3)
            peers = SlowPeers(router)
            peers.attach()
            if act is record_interruption:
                await rig.server_by_id[f"{PLAIN_SERVICE}-0"].stop()
            act_at_the_end_of_the_work(router, lambda: act(rig, router))
            await router.stop()
            peers.has_ended = True
            names = {type(message).__name__ for message in peers.delivered}
            assert message_name in names

    run(scenario())


def test_a_stop_writes_a_decision_to_a_slow_store():
    async def scenario():
        async with make_rig(routers=2) as rig:
            router = rig.routers[0]

            def act():
                rig.store.faults.delay_s = SLOW_S
                decide(rig, router)

            act_at_the_end_of_the_work(router, act)
            await router.stop()
            assert any(key.startswith(HOLD_PREFIX) for key in rig.store.list_keys())

    run(scenario())


def test_silent_peers_hold_a_stop_up_for_a_limited_time():
    async def scenario():
        async with make_rig(routers=3) as rig:
            router = rig.routers[0]
            await wait_until(lambda: len(router.membership.list_serving_members()) == 3)
            peers = SlowPeers(router)
            peers.attach()

            def act():
                peers.is_silent = True
                for owe, _ in OWED:
                    owe(rig, router)

            act_at_the_end_of_the_work(router, act)
            began_at = time.monotonic()
            with collect_log() as records:
                await router.stop()
            assert time.monotonic() - began_at < IDLE_STOP_S + HAND_OVER_WAIT_S
            assert "process.stopped_with_unsent" in {r["message"] for r in records}

    run(scenario())
