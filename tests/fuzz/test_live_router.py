"""A router that is fed odd input from all sides has no stalled loop, and serves."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from hypothesis import example, given
from hypothesis import strategies as st
from loguru import logger
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_json, changed_message
from tests.fuzz.test_http_framing import (
    LONG_LINES,
    REQUEST_HEAD,
    RESPONSE_HEAD,
    messages,
)
from tests.fuzz.test_peer_messages import SOUND_MESSAGES
from tests.fuzz.test_store_answers import PAGE
from tests.fuzz.test_store_entries import (
    CONFIGURATION,
    HOLD,
    SERVER,
    SERVICES,
    STREAMS,
)
from tests.router.rig import (
    KEY,
    STAGED,
    STREAM,
    make_configuration,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_peers.peer_server import build_method_path
from persimmonlink_router.loop_lag import STALL_S
from persimmonlink_stand_ins.raw_server import RawServer, encode_response

ODD_SERVICE = "odd"
FEED_TIMEOUT_S = 0.5
FOLLOW_S = 5.0  # In which a node applies the store again after odd answers.
LONG_BYTES = 60000
CLIENT_HEAD = (
    b"POST /odd/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Persimmonlink-Request-Id: odd\r\nAuthorization: Bearer " + KEY.encode() + b"\r\n"
)
ENTRIES = {
    "servers/odd-x": SERVER,
    "persimmonlink/holds/x": HOLD,
    "persimmonlink/stream-versions/x": STREAMS,
    "persimmonlink/service-versions/x": SERVICES,
    "op/config": {**CONFIGURATION, "version": 0},
}
PEER_MESSAGES = [sound for sound in SOUND_MESSAGES if hasattr(sound, "sender")]


class RawCodec(CodecBase):
    """Sends and receives bytes as they are."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: Any) -> bytes:
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        return data


@dataclass
class OddInput:
    """What a router gets from each side.

    `entry_by_key` holds the store's entries, `pages` its answers, `responses` those of
    servers, `requests` bytes of clients, `peer_messages` paths and bytes.
    """

    entries: list[tuple[str, bytes]] = field(default_factory=list)
    pages: list[bytes] = field(default_factory=list)
    responses: list[bytes] = field(default_factory=list)
    requests: list[bytes] = field(default_factory=list)
    peer_messages: list[tuple[str, bytes]] = field(default_factory=list)


long_lines = st.sampled_from(sorted(LONG_LINES)).map(
    lambda n: LONG_LINES[n](LONG_BYTES)
)
odd_inputs = st.builds(
    OddInput,
    entries=st.lists(
        st.sampled_from(sorted(ENTRIES)).flatmap(
            lambda key: st.tuples(st.just(key), changed_json(ENTRIES[key]))
        ),
        min_size=4,
        max_size=10,
    ),
    pages=st.lists(changed_json(PAGE), min_size=1, max_size=3),
    responses=st.lists(
        messages(RESPONSE_HEAD).map(b"".join)
        | long_lines.map(lambda lines: RESPONSE_HEAD + lines),
        min_size=4,
        max_size=10,
    ),
    requests=st.lists(
        messages(CLIENT_HEAD).map(b"".join)
        | long_lines.map(lambda lines: REQUEST_HEAD + lines),
        min_size=4,
        max_size=10,
    ),
    peer_messages=st.lists(
        st.sampled_from(PEER_MESSAGES).flatmap(
            lambda sound: st.tuples(
                st.just(build_method_path(type(sound))),
                changed_message(msgspec.to_builtins(sound, builtin_types=(bytes,))),
            )
        ),
        min_size=4,
        max_size=10,
    ),
)


LONGEST_LINES = OddInput(
    responses=[RESPONSE_HEAD + make(LONG_BYTES) for make in LONG_LINES.values()],
    requests=[REQUEST_HEAD + make(LONG_BYTES) for make in LONG_LINES.values()],
)


@asynccontextmanager
async def record_stalls():
    """Collect the log lines of loops that stood still while they were busy."""
    lines: list[dict[str, Any]] = []

    def record(message) -> None:
        extra = message.record["extra"]
        if message.record["message"] != "process.stalled":
            return
        # A machine that has no processor for us is no fault of ours.
        if extra["processor_s"] >= STALL_S:
            lines.append(extra)

    sink = logger.add(record, level="WARNING")
    try:
        yield lines
    finally:
        logger.remove(sink)


@asynccontextmanager
async def serve_odd_responses(rig, responses: list[bytes]):
    """Run a server of a service of its own that answers with these bytes in turn."""
    left = list(responses)

    async def handle(request, writer) -> bool:
        writer.write(left.pop() if left else b"")
        await writer.drain()
        return False

    server = RawServer(handle)
    await server.start()
    route = {**make_configuration()["routes"][1], "prefix": "/odd/", "name": "odd"}
    configuration = make_configuration(2)
    configuration["routes"].append({**route, "service": ODD_SERVICE})
    configuration["services"].append({"name": ODD_SERVICE})
    rig.store.put("op/config", configuration)
    entry = {**SERVER, "service": ODD_SERVICE, "addr": server.address}
    rig.store.put(f"servers/{ODD_SERVICE}-0", entry)
    for router in rig.routers:
        view = router.cluster_view
        await wait_until(
            lambda view=view: f"{ODD_SERVICE}-0" in view.servers.server_by_id
        )
    try:
        yield
    finally:
        await server.stop()


async def send_bytes(address: str, data: bytes) -> None:
    """Send bytes as a client and wait for the end of what comes back."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(FEED_TIMEOUT_S):
            writer.write(data)
            await reader.read(-1)
    except (TimeoutError, ConnectionError):
        return
    finally:
        writer.close()


async def feed_clients(rig, requests: list[bytes]) -> None:
    listen = rig.settings[0].listen
    addresses = (listen.clients, listen.directory, listen.metrics)
    for data in requests:
        await asyncio.gather(*(send_bytes(address, data) for address in addresses))


async def feed_odd_service(rig, count: int) -> None:
    for _ in range(count):
        await rig.send_request("/odd/1", "GET", deadline_ms=500)


async def feed_peers(rig, packed: list[tuple[str, bytes]]) -> None:
    host, _, port = rig.settings[0].listen.peers.rpartition(":")
    channel = Channel(host, int(port), codec=RawCodec())
    try:
        for path, data in packed:
            method = UnaryUnaryMethod(channel, path, bytes, bytes)
            try:
                await method(data, timeout=FEED_TIMEOUT_S)
            except (GRPCError, StreamTerminatedError, TimeoutError, OSError):
                continue
    finally:
        channel.close()


async def feed_store(rig, odd: OddInput) -> None:
    for key, value in odd.entries:
        rig.store.put(key, value)
        await asyncio.sleep(0.02)
    handle = rig.store._server._handler
    left = list(odd.pages)

    async def answer_oddly(request, writer) -> bool:
        if not left or not request.target.startswith(("/-/kv-watch", "/-/kv-range")):
            return await handle(request, writer)
        writer.write(encode_response(200, {"Store-Era": "1"}, left.pop()))
        await writer.drain()
        return True

    rig.store._server._handler = answer_oddly
    rig.store.put("servers/odd-end", b"{}")
    await asyncio.sleep(0.3)
    rig.store._server._handler = handle


async def keep_serving(rig, is_over: asyncio.Event) -> list[int]:
    """Send sound requests until it is over; return their statuses."""
    statuses = []
    while not is_over.is_set():
        for path, headers in (
            ("/look/1", {}),
            ("/list/1", STREAM),
            ("/chain/1", STAGED),
        ):
            response = await rig.send_request(path, **headers)
            statuses.append(response.status if response.is_complete else 0)
    return statuses


async def feed(rig, odd: OddInput) -> list[int]:
    is_over = asyncio.Event()
    serving = asyncio.create_task(keep_serving(rig, is_over))
    await asyncio.gather(
        feed_clients(rig, odd.requests),
        feed_odd_service(rig, len(odd.responses)),
        feed_peers(rig, odd.peer_messages),
        feed_store(rig, odd),
    )
    is_over.set()
    return await serving


async def assert_follows(rig, version: int) -> None:
    rig.store.put("op/config", make_configuration(version))
    for router in rig.routers:
        view = router.cluster_view
        await wait_until(
            lambda view=view: view.configuration.version == version, FOLLOW_S
        )
    for node in range(len(rig.routers)):
        assert (await rig.send_request("/look/1", node=node)).status == 200


@pytest.mark.timeout(900)
@play(4)
@given(odd_inputs)
@example(LONGEST_LINES)
def test_a_router_fed_from_all_sides_serves_others_and_never_stalls(odd):
    async def scenario():
        async with (
            record_stalls() as stalls,
            make_rig(routers=2) as rig,
            serve_odd_responses(rig, odd.responses),
        ):
            statuses = await feed(rig, odd)
            assert set(statuses) <= {200}
            assert not stalls
            await assert_follows(rig, 10**9)
            for router in rig.routers:
                assert "loop_lag_seconds_max" in router.metrics.to_text()

    run(scenario())
