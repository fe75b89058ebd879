"""A response whose status is none of HTTP's reaches no client as an answer."""

from __future__ import annotations

import pytest
from tests.router.rig import PLAIN_SERVICE, STREAM, STREAM_SERVICE, make_rig, run

STATUSES = ["000", "099", "600", "999", "20", "2000", "-20", "2OO", "+200", "0200"]


def respond_with(status: str):
    async def respond(request, writer) -> bool:
        request_id = request.headers["persimmonlink-request-id"].encode()
        writer.write(
            b"HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n" % status.encode()
            + b"Persimmonlink-Response-Seal: seal\r\n"
            + b"Persimmonlink-Request-Id: %s\r\n\r\nok" % request_id
        )
        await writer.drain()
        return False

    return respond


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    ("path", "service", "headers"),
    [
        ("/book/1", PLAIN_SERVICE, {}),
        ("/look/1", PLAIN_SERVICE, {}),
        ("/claim/1", STREAM_SERVICE, STREAM),
    ],
)
def test_an_odd_status_becomes_a_bad_gateway(path, service, headers, status):
    async def scenario():
        async with make_rig() as rig:
            for index in range(2):
                server = rig.server_by_id[f"{service}-{index}"]
                server._server._handler = respond_with(status)
            response = await rig.send_request(path, **headers)
            assert response.status == 502
            assert response.body != b"ok"

    run(scenario())
