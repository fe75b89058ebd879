"""Routers, servers and a store on loopback for end-to-end tests."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import h11
from returns.result import Failure as Err

from persimmonlink_adapter.run import create_adapters
from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_peers.peer_channel import PeerStreamError
from persimmonlink_router.connection_pool import open_connection
from persimmonlink_router.router import Router
from persimmonlink_router.router_settings import (
    LimitSettings,
    ListenAddresses,
    RouterSettings,
)
from persimmonlink_stand_ins.link import Links
from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn
from persimmonlink_stand_ins.routed_server import RoutedServerStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine

    from persimmonlink_router.http_client import HttpClientConnection

HOST = "127.0.0.1"
LIMITS = LimitSettings(0.2, 10.0, 52.0, 1.5, 5.0, 8.0, 5.0)
STREAM_SERVICE = "engines"
PLAIN_SERVICE = "desk"
STAGE_SERVICE = "stage"
KEY = "key-of-acme"
NODE_HAS_ENDED = Failure(
    ResultCode.PEER_UNREACHABLE, "the node has ended", RunState.UNKNOWN
)
# Headers of a request for a stream, and of one with stages before it.
STREAM = {
    "Persimmonlink_Model": "m",
    "Persimmonlink_Token_Count": "100,50",
    "Persimmonlink_Prompt_Prefix": "aa:60,bb:40",
}
STAGED = {**STREAM, "Persimmonlink_Pieces": "1,3", "Persimmonlink_Piece_Key": "k1"}


def make_settings(store: str, index: int, seeds: tuple[str, ...]) -> RouterSettings:
    addresses = [f"{HOST}:{port}" for port in find_free_ports(5)]
    return RouterSettings(
        f"entry-{index}", "a", ListenAddresses(*addresses), store, seeds, LIMITS
    )


def make_route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    route = {
        "name": prefix.strip("/"),
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 5000,
        "slo-ms": 1000,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
    }
    return {**route, **changes}


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    engine = {"slots": 8, "kv-capacity": 100000}
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call-ms": 20,
        "item-ms": 2,
        "headroom-mb": 6,
        "handle-s": 4,
    }
    chain = [
        {"service": STAGE_SERVICE, "after": [], "bytes": 1000},
        {"service": STAGE_SERVICE, "after": [0], "bytes": 1000},
    ]
    configuration = {
        "version": version,
        "routes": [
            make_route("/book/", "mutating", PLAIN_SERVICE, attempts=1),
            make_route("/look/", "idempotent", PLAIN_SERVICE),
            make_route("/list/", "stream", STREAM_SERVICE, resumable=True),
            make_route("/claim/", "stream", STREAM_SERVICE, attempts=1),
            make_route("/chain/", "stream", STREAM_SERVICE, stages=chain),
            make_route(
                "/long/", "stream", STREAM_SERVICE, stages=chain, resumable=True
            ),
        ],
        "services": [
            {"name": STREAM_SERVICE, "engine": engine, "cold-start-s": 3.0},
            {"name": PLAIN_SERVICE},
            {"name": STAGE_SERVICE, "pieces": pieces},
        ],
        "limits": {"max-body-bytes": 100000, "idle-timeout-ms": 15000},
        "tenants": [
            {"name": "acme", "api-keys": [KEY]},
            {"name": "other", "api-keys": ["key-of-other"]},
        ],
    }
    return {**configuration, **changes}


@dataclass
class ClientResponse:
    """A response as the client received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@dataclass
class Rig:
    """A store, servers by id, and routers with their settings."""

    store: MetadataStoreStandIn
    server_by_id: dict[str, RoutedServerStandIn]
    routers: list[Router]
    settings: list[RouterSettings]
    ids: list[str] = field(default_factory=list)
    links: Links = field(default_factory=lambda: Links(lambda: find_free_ports(1)[0]))

    def count_runs(self, request_id: str) -> int:
        """Return how many runs of a request the servers have recorded."""
        return sum(
            1
            for server in self.server_by_id.values()
            for run in server.runs
            if run.request_id == request_id
        )

    async def send_request(
        self,
        path: str,
        method: str = "POST",
        *,
        node: int = 0,
        body: bytes = b"",
        deadline_ms: int = 5000,
        **headers: str,
    ) -> ClientResponse:
        """Send a request to a node and read its response."""
        request_id = headers.pop("request_id", f"id-{len(self.ids)}")
        self.ids.append(request_id)
        sent_headers = {
            "Host": "shop.example",
            "Persimmonlink-Request-Id": request_id,
            "Persimmonlink-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(len(body)),
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        return await send(
            self.settings[node].listen.clients, method, path, sent_headers, body
        )


def release_addresses(settings: list[RouterSettings]) -> None:
    """Give back the ports of routers that have stopped."""
    for entry in settings:
        addresses = asdict(entry.listen).values()
        release_ports(int(address.rpartition(":")[2]) for address in addresses)


async def send(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> ClientResponse:
    """Send a request on a new connection and read the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method=method, target=path, headers=list(headers.items()))
    writer.write(parser.send(request))
    if body:
        writer.write(parser.send(h11.Data(data=body)))
    writer.write(parser.send(h11.EndOfMessage()))
    status, response_headers, parts, is_complete = 0, {}, [], False
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                response_headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            else:
                is_complete = isinstance(event, h11.EndOfMessage)
                break
    except (h11.RemoteProtocolError, ConnectionError):
        pass
    finally:
        writer.close()
    return ClientResponse(status, response_headers, b"".join(parts), is_complete)


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Run the scenario of a test."""
    asyncio.run(scenario)


async def wait_until(condition, timeout_s: float = 5.0) -> None:
    """Wait until a condition holds; raise `TimeoutError` if it does not in time."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def make_rig(routers: int = 1, servers: int = 2) -> AsyncIterator[Rig]:
    """Run a store, servers of each service and routers connected to them."""
    store = MetadataStoreStandIn()
    await store.start()
    rig = Rig(store, {}, [], [])
    store.put("op/config", make_configuration())
    for service in (STREAM_SERVICE, PLAIN_SERVICE, STAGE_SERVICE):
        for index in range(servers):
            await add_server(rig, service, f"{service}-{index}")
    for index in range(routers):
        await add_router(rig, index)
    try:
        yield rig
    finally:
        for router in rig.routers:
            await stop_router(router)
        await rig.links.stop()
        release_ports(rig.links.list_ports())
        for server in rig.server_by_id.values():
            await server.stop()
        await store.stop()
        await asyncio.sleep(0)
        release_addresses(rig.settings)


class EndedChannel:
    """Channel of a node that has ended, which sends nothing more."""

    async def call(self, _message: Any, _reply_type: type, _timeout_s: float) -> Any:
        """Fail as a call does."""
        return Err(NODE_HAS_ENDED)

    async def stream(self, *_: Any) -> AsyncIterator[Any]:
        """Fail as a call does."""
        raise PeerStreamError(NODE_HAS_ENDED, was_sent=False)
        yield


async def stop_router(router: Router) -> None:
    """End a router at once, without a drain."""
    router._close()
    # Tasks of the router go on in this process.
    router.membership.channel = lambda _: EndedChannel()
    await router._peer_server.stop()


async def restart_router(rig: Rig, index: int) -> None:
    """Start a router anew at the addresses of one that was stopped."""
    settings = rig.settings[index]
    router = Router(settings, create_adapters(settings))
    rig.routers[index] = router
    await router.start()
    await wait_until(lambda: router.cluster_view.configuration is not None)


def connect_by_links(rig: Rig, index: int) -> None:
    """Let a router reach servers over links that tests can cut."""

    async def open_by_link(address: str, timeout_s: float) -> HttpClientConnection:
        link = await rig.links.find(index, address)
        return await open_connection(link.address, timeout_s)

    rig.routers[index]._pool.open_connection = open_by_link


async def add_server(
    rig: Rig,
    service: str,
    server_id: str,
    *,
    version: str = "v1",
    port: int = 0,
    **changes: Any,
) -> None:
    """Start a server and write its entry to the store."""
    server = RoutedServerStandIn(server_id, version=version)
    await server.start(port)
    rig.server_by_id[server_id] = server
    rig.store.put(f"servers/{server_id}", server.build_entry(service, **changes))


async def add_router(rig: Rig, index: int, timeout_s: float = 5.0) -> Router:
    """Start a router and wait until it can serve."""
    seeds = tuple(s.listen.peers for s in rig.settings[:3])
    settings = make_settings(rig.store.address, index, seeds)
    router = Router(settings, create_adapters(settings))
    rig.routers.append(router)
    rig.settings.append(settings)
    await router.start()
    await wait_until(lambda: router.cluster_view.configuration is not None)
    if not rig.store.faults.status:
        await wait_until(lambda: router._mirror.revision > 0, timeout_s)
    return router
