"""Responses of stage servers and requests of peers share room with others."""

from __future__ import annotations

import msgspec
import pytest
from tests.router.rig import STAGE_SERVICE, STAGED, make_rig, run

from persimmonlink_peers.message import Sender
from persimmonlink_router.byte_budget import SMALL_BODY_BYTES, ByteBudget
from persimmonlink_router.relay_messages import RelayRefusal, RelayRequest
from persimmonlink_stand_ins.raw_server import encode_response


def pad_results(rig, size: int) -> None:
    """Let stage servers send their results with blanks around them."""
    for index in (0, 1):
        server = rig.server_by_id[f"{STAGE_SERVICE}-{index}"]

        async def respond(request, writer, server=server) -> bool:
            items = []
            if request.target == "/-/stage-run":
                items = msgspec.json.decode(request.body)["items"]
            server.pieces += items
            results = [
                {"handle": f"{server.address}/{item['id']}.{len(server.pieces)}.{n}"}
                for n, item in enumerate(items)
            ]
            body = msgspec.json.encode({"items": results}) + b" " * size
            writer.write(encode_response(200, {}, body))
            return True

        server._server._handler = respond


@pytest.mark.parametrize(("size", "status"), [(0, 200), (SMALL_BODY_BYTES, 503)])
def test_long_results_of_stages_need_room(size, status):
    async def scenario():
        async with make_rig() as rig:
            rig.routers[0]._scheduler._calls._body_budget = ByteBudget(0)
            pad_results(rig, size)
            response = await rig.send_request("/chain/1", deadline_ms=2000, **STAGED)
            assert (response.status, response.is_complete) == (status, True)

    run(scenario())


@pytest.mark.parametrize(
    ("body", "refusals"),
    [(b"short", []), (bytes(SMALL_BODY_BYTES + 1), [RelayRefusal.BUSY])],
    ids=["short", "long"],
)
def test_a_long_request_of_a_peer_needs_room(body, refusals):
    async def scenario():
        async with make_rig() as rig:
            service = rig.routers[0]._request_service
            service._relayed_bodies = ByteBudget(0)
            headers = (
                (b"host", b"shop.example"),
                (b"persimmonlink-request-id", b"r1"),
                (b"persimmonlink-deadline-ms", b"3000"),
                (b"content-length", str(len(body)).encode()),
            )
            message = RelayRequest(
                Sender("entry-9", "1"),
                b"POST",
                b"/book/1",
                headers,
                body,
                1,
                "desk",
                "acme",
                0.0,
            )
            parts = []

            async def collect(part):
                parts.append(part)

            await service.handle_relayed(message, collect)
            assert [part.refusal for part in parts if part.refusal] == refusals
            assert rig.count_runs("r1") == (0 if refusals else 1)

    run(scenario())
