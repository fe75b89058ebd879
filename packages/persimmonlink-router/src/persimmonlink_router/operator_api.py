"""HTTP interface of operators: metrics, held requests, reach and brittle servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

import msgspec

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.http_server import Exchange

HOLDS_PATH = "/holds"
REACH_PATH = "/reach"
BRITTLE_PATH = "/brittle"


class OperatorApi:
    """Responds to operators on the metrics address.

    Parameters
    ----------
    render_metrics : callable
        Returns the metrics as text.
    crash_guard : CrashGuard
        Knows which requests are held back.
    describe_reach : callable
        Returns which services this node and its peers do not reach.
    describe_brittle : callable
        Returns the servers that end if they reject too much.
    """

    def __init__(
        self,
        render_metrics: Callable[[], str],
        crash_guard: CrashGuard,
        describe_reach: Callable[[], object],
        describe_brittle: Callable[[], object],
    ) -> None:
        self._render_metrics = render_metrics
        self._crash_guard = crash_guard
        self._describe_by_path = {
            HOLDS_PATH: self._describe_holds,
            REACH_PATH: describe_reach,
            BRITTLE_PATH: describe_brittle,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
        request = exchange.request
        path = request.path
        describe = self._describe_by_path.get(path)
        if request.method == b"GET" and describe is not None:
            await self._respond_json(exchange, describe())
            return
        if request.method == b"DELETE" and path.startswith(f"{HOLDS_PATH}/"):
            await self._release(exchange, unquote(path.removeprefix(f"{HOLDS_PATH}/")))
            return
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, headers, self._render_metrics().encode())

    def _describe_holds(self) -> list[dict[str, object]]:
        now = boot_time()
        return [
            {
                "parts": sorted(hold.cause_ids),
                "state": "released" if hold.is_released else "held",
                "account": hold.origin.account,
                "path": hold.origin.path,
                "software": sorted(hold.software),
                "server_ends": hold.server_ends,
                "decided_by": hold.decided_by,
                "age_s": round(now - hold.decided_at, 1),
                "left_s": round(hold.ends_at - now, 1),
            }
            for hold in self._crash_guard.holds.list_all()
        ]

    async def _release(self, exchange: Exchange, text: str) -> None:
        cause_ids = frozenset(part for part in text.split(",") if part)
        known = {hold.cause_ids for hold in self._crash_guard.holds.list_all()}
        if cause_ids not in known:
            await exchange.respond(
                404, [(b"content-type", b"text/plain")], b"these parts are not held"
            )
            return
        self._crash_guard.release(cause_ids)
        await self._respond_json(exchange, self._describe_holds())

    async def _respond_json(self, exchange: Exchange, body: object) -> None:
        headers = [(b"content-type", b"application/json")]
        await exchange.respond(200, headers, msgspec.json.encode(body))


__all__ = ("OperatorApi",)
