"""A head that can't be sent on ends its request with an answer and a log line."""

from __future__ import annotations

import pytest
from tests.router.rig import STREAM, make_rig, run, wait_until
from tests.router.stops import collect_log

from persimmonlink_router.relay_messages import RelayPart
from persimmonlink_router.request_state import NoReachError

ODD_PARTS = [
    RelayPart(status=150, body=b"x", is_last=True),
    RelayPart(status=200, headers=((b"a b", b"c"),), body=b"x", is_last=True),
    RelayPart(status=200, headers=((b"a", b"b\r\nc: d"),), is_stream=True),
    RelayPart(status=150, is_stream=True),
]


async def reply_oddly(part: RelayPart):
    """Reply as a peer does, with one part."""
    yield part


def pass_requests_on(router, peer: str, part: RelayPart) -> None:
    """Let a node pass its requests on to a peer that replies with a part."""

    def refuse_all(_):
        raise NoReachError("no server can be reached", 0.3)

    router._sender.require_reach = refuse_all
    router.membership.channel(peer).stream = lambda *_: reply_oddly(part)


@pytest.mark.parametrize("part", ODD_PARTS, ids=range(len(ODD_PARTS)))
@pytest.mark.parametrize(("path", "headers"), [("/book/1", {}), ("/claim/1", STREAM)])
def test_a_request_whose_peer_replies_with_an_odd_head_is_answered(path, headers, part):
    async def scenario():
        async with make_rig(routers=2) as rig:
            router = rig.routers[0]
            await wait_until(lambda: len(router.membership.list_serving_ids()) == 2)
            pass_requests_on(router, rig.settings[1].listen.peers, part)
            with collect_log() as records:
                response = await rig.send_request(path, **headers)
            assert (response.status, response.is_complete) == (502, True)
            ended = [r for r in records if r["message"] == "request.completed"]
            assert [r["extra"]["status"] for r in ended] == [502]

    run(scenario())
