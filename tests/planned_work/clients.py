"""Clients that look nodes up, keep connections, repeat, and take up streams."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from tests.planned_work import sheet
from tests.planned_work.connection import Connection
from tests.planned_work.distant_stream import open_distant
from tests.planned_work.habits import (
    LARGE_BODY_BYTES,
    LAST_PAUSE_S,
    Sending,
    draw_head_parts,
    happens,
)
from tests.planned_work.record import Attempt, Chain, DirectoryAnswer
from tests.router.rig import send

if TYPE_CHECKING:
    import random

    from tests.planned_work.deployment import Deployment, Node

LOOKUP_PATH = f"/-/lookup?name={sheet.HOSTNAME}&region={sheet.REGION}"
CONNECT_TIMEOUT_S = 1.0
CROSSING_S = 0.003  # Time between the choice of a kept connection and its use.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
MAX_RESUMES = 3
LAZY_SHARE = 0.5
LEAVE_S = (0.02, 1.5)  # Time after which a client leaves that does so early.
NEXT_SHARE = 0.4  # Share of requests that another follows at once.


class Client:
    """A client with its directory answer and its connections."""

    def __init__(self, deployment: Deployment, domain: str, rng: random.Random) -> None:
        self._deployment = deployment
        self._domain = domain
        self._rng = rng
        self._ttl_factor = 3 if rng.random() < deployment.plan.stale_share else 1
        self._fresh_until = 0.0
        self._node_by_address: dict[str, Node] = {}
        self._known_nodes = {n.address("front"): n for n in deployment.nodes}
        self._idle: list[Connection] = []
        # Some clients ask the directory only when they need a new connection.
        self._is_lazy = rng.random() < LAZY_SHARE
        self._tenant = rng.choice(sheet.TENANTS)
        self._habits = deployment.plan.habits
        self._distance = self._habits.draw_distance(rng)

    async def run_requests(self, entry: sheet.RequestClass) -> None:
        """Send a request, and at times short ones in a row after its response."""
        await self.run_request(entry)
        while self._rng.random() < NEXT_SHARE:
            entry = self._rng.choice(sheet.FOLLOWING)
            await self.run_request(entry, follows=True)

    async def run_request(
        self, entry: sheet.RequestClass, *, follows: bool = False
    ) -> None:
        """Send a request, and again as far as that is allowed."""
        rng = self._rng
        event_count = 0
        if entry.is_stream:
            event_count = sheet.draw_count(
                rng, entry.events, entry.event_spread, entry.max_events
            )
        deadline_at = time.monotonic() + entry.deadline_s
        chain = Chain(entry, event_count, f"{rng.getrandbits(48):012x}", deadline_at)
        self._deployment.record.chains.append(chain)
        failed: set[str] = set()
        repeats = 0
        while time.monotonic() < deadline_at:
            attempt = self._build_attempt(chain)
            attempt.follows = follows and not chain.attempts
            await self._try(attempt, chain, failed)
            failed.add(attempt.node)
            if not self._may_repeat(attempt):
                return
            is_resumed = bool(attempt.list_events()) if entry.is_stream else False
            repeats += 1
            if repeats > (MAX_RESUMES if is_resumed else 1):
                return
            left_s = deadline_at - time.monotonic()
            wait_s = float(attempt.response_headers.get("retry-after", "0.03"))
            if wait_s > left_s / 3:
                return
            await asyncio.sleep(wait_s)

    def _may_repeat(self, attempt: Attempt) -> bool:
        if attempt.end in ("gave up", "") or attempt.status in FINAL_STATUSES:
            return False
        if attempt.is_complete and attempt.status in NOT_RUN_STATUSES:
            return True
        if attempt.is_complete and attempt.status < 300:
            return False
        # Without a connection nothing was read.
        return attempt.entry.is_repeatable or attempt.end == "no connection"

    async def _try(self, attempt: Attempt, chain: Chain, failed: set[str]) -> None:
        chain.attempts.append(attempt)
        self._deployment.record.attempts.append(attempt)
        left_s = chain.deadline_at - time.monotonic()
        attempt.headers["Persimmonlink-Deadline-Ms"] = str(int(left_s * 1000))
        connection = await self._get_connection(attempt, failed)
        if connection is None:
            attempt.end = "no connection"
            attempt.ended_at = time.monotonic()
            return
        entry, rng = chain.entry, self._rng
        gap_s = max(2.0, 4 * entry.slo_s) if entry.is_stream else left_s
        sending = self._choose_sending(attempt)
        patience_s = left_s + 0.3
        if rng.random() < self._deployment.plan.leaving_share:
            patience_s = rng.uniform(*LEAVE_S)
        try:
            async with asyncio.timeout(patience_s):
                await connection.exchange(attempt, sending, gap_s)
        except TimeoutError:
            attempt.end = "gave up"
            attempt.ended_at = time.monotonic()
        if connection.keep(attempt):
            self._idle.append(connection)
        else:
            connection.close()

    def _build_attempt(self, chain: Chain) -> Attempt:
        rng, entry = self._rng, chain.entry
        headers = {
            "Host": sheet.HOSTNAME,
            "Persimmonlink-Request-Id": f"{rng.getrandbits(64):016x}",
            "Authorization": f"Bearer {sheet.KEY_BY_TENANT[self._tenant]}",
        }
        if entry.is_stream:
            counts = f"{entry.shared_tokens + entry.own_tokens}"
            tokens = chain.event_count * sheet.TOKENS_PER_EVENT
            headers |= {
                "Persimmonlink-Model": "m",
                "Persimmonlink-Token-Count": f"{counts},{tokens}",
                "Persimmonlink-Prompt-Prefix": (
                    f"{rng.choice('abc') * 4}:{entry.shared_tokens},"
                    f"{chain.own_part}:{entry.own_tokens}"
                ),
                "Persimmonlink-Length-Hint": str(tokens),
                "Persimmonlink-Piece-Key": chain.own_part,
                "Persimmonlink-Pieces": ",".join(
                    str(round(s.pieces)) if rng.random() < s.share else "0"
                    for s in entry.stages
                ),
            }
        received = [a for a in chain.attempts if a.received and a.status == 200]
        events = [event for a in received for event in a.list_events()]
        if events and entry.is_resumable:
            headers["Last-Event-Id"] = str(events[-1][0])
            first = next(a for a in received if a.list_events())
            headers["Resumes"] = first.request_id
        size = entry.body_bytes
        if size and happens(rng, self._habits.large_body_share):
            size = rng.randint(*LARGE_BODY_BYTES)
        body = rng.randbytes(size) if size else b""
        path = f"/{entry.name}/{rng.choice('ab')}/{rng.getrandbits(12):x}"
        request_id = headers["Persimmonlink-Request-Id"]
        return Attempt(request_id, entry, path, "", headers, body)

    def _choose_sending(self, attempt: Attempt) -> Sending:
        """Choose how to send a request, and set the headers that say so."""
        rng, habits = self._rng, self._habits
        parts = self._cut_body(attempt)
        is_chunked = "Transfer-Encoding" in attempt.headers
        if parts and happens(rng, habits.expect_share):
            attempt.headers["Expect"] = "100-continue"
        if happens(rng, habits.closing_share):
            attempt.headers["Connection"] = "close"
        if len(parts) > 1 and happens(rng, habits.late_end_share):
            parts[-1] = (parts[-1][0], rng.uniform(*LAST_PAUSE_S))
        has_trailers = is_chunked and happens(rng, habits.trailer_share)
        head_parts = draw_head_parts(rng, habits.split_head_share)
        return Sending(head_parts, parts, has_trailers)

    def _cut_body(self, attempt: Attempt) -> list[tuple[bytes, float]]:
        """Return the parts of a body, each with the pause before it, in seconds."""
        rng, body = self._rng, attempt.body
        if not body:
            return []
        if rng.random() < 0.5:
            attempt.headers["Content-Length"] = str(len(body))
        else:
            attempt.headers["Transfer-Encoding"] = "chunked"
        if rng.random() < 0.6:
            return [(body, 0.0)]
        size = len(body) // rng.randint(2, 4) + 1
        pause_s = rng.choice(self._deployment.plan.body_pauses_s)
        starts = range(0, len(body), size)
        return [(body[start : start + size], pause_s) for start in starts]

    async def _get_connection(
        self, attempt: Attempt, failed: set[str]
    ) -> Connection | None:
        if not self._is_lazy:
            await self._look_up()
        fresh_share = self._deployment.plan.fresh_share
        is_fresh = fresh_share > 0 and self._rng.random() < fresh_share
        while self._idle and not failed and not is_fresh:
            position = -1 if attempt.follows else self._rng.choice((0, -1))
            connection = self._idle.pop(position)
            if not connection.is_usable():
                connection.close()
                continue
            attempt.node = connection.node
            await asyncio.sleep(CROSSING_S)
            return connection
        await self._look_up()
        nodes = list(self._node_by_address.values())
        others = [node for node in nodes if node.name not in failed]
        if not nodes:
            return None
        node = self._rng.choice(others or nodes)
        attempt.node = node.name
        attempt.sent_first = time.monotonic()
        host, _, port = node.address("front").rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await open_distant(host, int(port), self._distance)
        except (OSError, TimeoutError):
            return None
        return Connection(node.name, stream)

    async def _look_up(self) -> None:
        """Renew the directory's answer, or go on with the old one."""
        if time.monotonic() < self._fresh_until:
            return
        nodes = self._deployment.nodes
        own = [n for n in nodes if n.domain == self._domain]
        others = [n for n in nodes if n.domain != self._domain]
        self._rng.shuffle(own)
        self._rng.shuffle(others)
        path = (
            f"/-/lookup?name={sheet.HOSTNAME}&region={sheet.REGION}&zone={self._domain}"
        )
        for node in [*own, *others][:3]:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    response = await send(
                        node.address("directory"), "GET", path, {"Host": sheet.HOSTNAME}
                    )
            except (OSError, TimeoutError):
                continue
            if response.status != 200:
                continue
            answer = json.loads(response.body)
            ttl_s = min(5.0, answer["ttl-s"])
            self._fresh_until = time.monotonic() + self._ttl_factor * ttl_s
            self._node_by_address = {a: self._known_nodes[a] for a in answer["addrs"]}
            names = {node.name for node in self._node_by_address.values()}
            self._deployment.record.directory_answers.append(
                DirectoryAnswer(time.monotonic(), node.name, tuple(sorted(names)))
            )
            if not self._deployment.plan.keeps_connections:
                self._close_others(names)
            return

    def close(self) -> None:
        """Close all connections."""
        self._close_others(set())

    def _close_others(self, names: set[str]) -> None:
        for connection in list(self._idle):
            if connection.node not in names:
                self._idle.remove(connection)
                connection.close()
