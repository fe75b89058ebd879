"""Clients that send requests of all kinds and keep what they saw."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.router.rig import send
from tests.upgrade.deployment import DOMAINS
from tests.upgrade.exchange import FATAL_BODY, HOSTNAME, KINDS, Attempt, Connection
from tests.upgrade.node import Node

if TYPE_CHECKING:
    from tests.upgrade.deployment import Deployment
    from tests.upgrade.exchange import Kind

CONNECT_TIMEOUT_S = 1.0
CLIENTS_PER_DOMAIN = 4
MAX_TAKE_UPS = 3
LATE_SHARE = 1 / 3  # Share of clients that use directory responses too long.
LATE_TTL_FACTOR = 3  # Multiple of the time to live for which these use them.
LEAVE_SHARE = 0.3  # Share of resumable streams that their clients leave and take up.
FATAL_SHARE = 0.5  # Share of requests with a fatal part or body, where there are any.


@dataclass(frozen=True)
class CutLookup:
    """A directory response that a node began and did not end."""

    node: Node
    at: float


class Client:
    """A client with its directory answer and kept connections.

    It goes on using open connections until their node closes them.
    """

    def __init__(
        self, deployment: Deployment, domain: str, rng: random.Random, name: str
    ) -> None:
        self._deployment = deployment
        self._domain = domain
        self._rng = rng
        self._name = name
        self._count = 0
        self._ttl_factor = LATE_TTL_FACTOR if rng.random() < LATE_SHARE else 1
        self._fresh_until = 0.0
        self._nodes: list[Node] = []
        self._idle: list[Connection] = []
        self.attempts: list[Attempt] = []
        self.cut_lookups: list[CutLookup] = []

    async def run(self, kind: Kind, *, is_fatal: bool = False) -> None:
        """Send a request; take its stream up elsewhere if that is allowed."""
        leaves_after = 0
        if kind.is_resumable and not is_fatal and self._rng.random() < LEAVE_SHARE:
            leaves_after = self._rng.randint(1, 8)
        first = await self._try(kind, is_fatal=is_fatal, leaves_after=leaves_after)
        last = first
        for _ in range(MAX_TAKE_UPS):
            if not kind.is_resumable or is_fatal or last.is_served:
                return
            events = [event for each in (first, last) for event in each.list_events()]
            if not events:
                return
            await asyncio.sleep(0.05)
            next_event = max(event_id for event_id, _ in events) + 1
            last = await self._try(kind, resumes=first.request_id, first=next_event)

    async def _try(
        self,
        kind: Kind,
        *,
        is_fatal: bool = False,
        leaves_after: int = 0,
        resumes: str = "",
        first: int = 1,
    ) -> Attempt:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        body = b"" if kind.method == "GET" else request_id.encode() * 20
        if is_fatal and not kind.is_stream:
            body = FATAL_BODY
        attempt = Attempt(request_id, kind, body, is_fatal=is_fatal)
        attempt.resumes, attempt.first_event = resumes, first
        self.attempts.append(attempt)
        attempt.sent_at = time.monotonic()
        connection = await self._get_connection(is_new=bool(resumes))
        if connection is None:
            attempt.end = "no connection"
            return attempt
        attempt.node = connection.node.index
        attempt.build = connection.node.build
        parts = [body] if body else []
        if len(body) > 1 and not is_fatal and self._rng.random() < 0.4:
            parts = [body[:7], body[7:]]
        await connection.exchange(attempt, parts, leaves_after)
        if connection.keep():
            self._idle.append(connection)
        else:
            connection.close()
        return attempt

    async def _get_connection(self, *, is_new: bool) -> Connection | None:
        await self._look_up()
        while self._idle and not is_new and self._rng.random() < 0.8:
            connection = self._idle.pop(0)
            if connection.is_open:
                return connection
            connection.close()
        if not self._nodes:
            return None
        node = self._rng.choice(self._nodes)
        host, _, port = node.address("front").rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return Connection(node, *await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return None

    async def _look_up(self) -> None:
        """Renew the answer of the directory, or go on with the old one."""
        if time.monotonic() < self._fresh_until:
            return
        nodes = self._rng.sample(self._deployment.nodes, len(self._deployment.nodes))
        nodes.sort(key=lambda node: node.domain != self._domain)
        path = f"/-/lookup?name={HOSTNAME}&region=midlands&zone={self._domain}"
        node_by_address = {node.address("front"): node for node in nodes}
        for node in nodes[:3]:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    response = await send(
                        node.address("directory"), "GET", path, {"Host": HOSTNAME}
                    )
            except (OSError, TimeoutError):
                continue
            if response.status != 200:
                continue
            if not response.is_complete:
                self.cut_lookups.append(CutLookup(node, time.monotonic()))
                continue
            answer = json.loads(response.body)
            ttl_s = answer["ttl-s"] * self._ttl_factor
            self._fresh_until = time.monotonic() + ttl_s
            self._nodes = [node_by_address[each] for each in answer["addrs"]]
            return


class Load:
    """Requests of all kinds at a rate, from clients in all failure domains.

    Parameters
    ----------
    deployment : Deployment
        Nodes that the clients look up.
    rng : random.Random
        Chooses clients and kinds.
    per_s : float
        Requests a second.
    """

    def __init__(
        self, deployment: Deployment, rng: random.Random, per_s: float
    ) -> None:
        self._rng = rng
        self._per_s = per_s
        self._tasks: set[asyncio.Task[None]] = set()
        # Prefixes of the requests of which some end servers.
        self.fatal_prefixes: tuple[str, ...] = ()
        self._clients = [
            Client(deployment, domain, random.Random(rng.random()), f"c{domain}{n}")
            for domain in sorted(set(DOMAINS))
            for n in range(CLIENTS_PER_DOMAIN)
        ]

    @property
    def attempts(self) -> list[Attempt]:
        """Attempts of all clients, in order of their sending."""
        attempts = [each for client in self._clients for each in client.attempts]
        return sorted(attempts, key=lambda attempt: attempt.sent_at)

    @property
    def cut_lookups(self) -> list[CutLookup]:
        """Directory responses that were cut, of all clients."""
        return [each for client in self._clients for each in client.cut_lookups]

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self._per_s))
            client = self._rng.choice(self._clients)
            kind = self._rng.choice(KINDS)
            is_fatal = False
            if kind.prefix in self.fatal_prefixes:
                is_fatal = self._rng.random() < FATAL_SHARE
            self._tasks.add(asyncio.ensure_future(client.run(kind, is_fatal=is_fatal)))

    async def finish(self) -> None:
        """Wait for the requests that were sent."""
        await asyncio.gather(*self._tasks)


__all__ = ("CutLookup", "Load")
