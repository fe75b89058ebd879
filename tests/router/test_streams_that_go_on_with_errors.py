"""A stream that broke off, and whose next server answers with anything but its rest."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from tests.router.rig import (
    STAGED,
    STREAM,
    STREAM_SERVICE,
    connect_by_links,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_stand_ins.link import Cut
from persimmonlink_stand_ins.raw_server import reset_connection
from persimmonlink_stand_ins.routed_server import RoutedServerStandIn

EVENT_COUNT = 5
# Text that no event of the stream holds.
FOREIGN = b"foreign text"
SEALED = b"Persimmonlink-Request-Id: %s\r\nPersimmonlink-Response-Seal: seal\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
JSON = b"Content-Type: application/json\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclass(frozen=True)
class Answer:
    """What a server sends in place of the rest of a stream.

    Parameters
    ----------
    head : bytes
        Status line and headers, with a place for the request's id.
    body : bytes or callable
        Bytes after the head, or returns them for the id of the next event.
    is_reset : bool
        Whether the connection is reset then, or closed in order.
    """

    head: bytes
    body: bytes | Callable[[int], bytes] = b""
    is_reset: bool = False

    def encode(self, request_id: bytes, next_id: int) -> bytes:
        """Return the bytes of the response."""
        head = self.head.replace(b"%s", request_id)
        body = self.body if isinstance(self.body, bytes) else self.body(next_id)
        return (head + b"\r\n" if head else b"") + body


def status(line: bytes, *headers: bytes, body: bytes = FOREIGN) -> Answer:
    """Return a whole answer with a length."""
    length = b"Content-Length: %d\r\n" % len(body)
    return Answer(b"HTTP/1.1 " + line + b"\r\n" + b"".join(headers) + length, body)


def ok(
    *headers: bytes, body: bytes | Callable[[int], bytes] = b"", is_reset: bool = False
) -> Answer:
    return Answer(b"HTTP/1.1 200 OK\r\n" + b"".join(headers), body, is_reset)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


def event(number: int) -> bytes:
    return b"id: %d\ndata: v1 %d\n\n" % (number, number)


TEXT = FOREIGN + b"\n\nmore " + FOREIGN + b"\n\n"
NOT_EXECUTED = b"Persimmonlink-Not-Executed: 1\r\n"


# Responses that name no request.
ERROR = b"HTTP/1.1 500 Failed\r\nContent-Length: 12\r\n\r\n" + FOREIGN
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: " + FOREIGN + b"\r\n\r\n"


def encode_rest(next_id: int) -> bytes:
    """Return the chunks of the events from an id on."""
    ids = range(next_id, EVENT_COUNT + 1)
    return b"".join(chunk(event(number)) for number in ids) + b"0\r\n\r\n"


ANSWERS = {
    "400": status(b"400 Bad", SEALED),
    "404": status(b"404 No", SEALED),
    "429": status(b"429 Later", SEALED),
    "429-rejection": status(b"429 Later", SEALED, NOT_EXECUTED),
    "421": status(b"421 Other", SEALED),
    "500": status(b"500 Failed", SEALED),
    "503": status(b"503 Full", SEALED),
    "503-rejection": status(b"503 Full", SEALED, NOT_EXECUTED),
    "500-with-events": status(b"500 Failed", SEALED, EVENTS, body=event(3)),
    "500-without-length": Answer(
        b"HTTP/1.1 500 Failed\r\n" + SEALED, FOREIGN + b"\n\n"
    ),
    "500-chunked": Answer(
        b"HTTP/1.1 500 Failed\r\n" + SEALED + CHUNKED, chunk(TEXT) + b"0\r\n\r\n"
    ),
    "200-without-seal": ok(
        b"Persimmonlink-Request-Id: %s\r\n", EVENTS, CHUNKED, body=encode_rest
    ),
    "200-encoded": ok(
        SEALED, EVENTS, CHUNKED, b"Content-Encoding: gzip\r\n", body=encode_rest
    ),
    "200-json": ok(SEALED, JSON, CHUNKED, body=chunk(TEXT) + b"0\r\n\r\n"),
    "200-json-events": ok(SEALED, JSON, CHUNKED, body=encode_rest),
    "200-text-as-events": ok(SEALED, EVENTS, CHUNKED, body=chunk(TEXT) + b"0\r\n\r\n"),
    "200-text-without-length": ok(SEALED, EVENTS, body=TEXT),
    "200-text-after-events": ok(
        SEALED, EVENTS, CHUNKED, body=lambda n: chunk(event(n) + TEXT) + b"0\r\n\r\n"
    ),
    "200-error-event": ok(
        SEALED,
        EVENTS,
        CHUNKED,
        body=chunk(b"event: error\ndata: " + FOREIGN + b"\n\n") + b"0\r\n\r\n",
    ),
    "200-repeats-events": ok(
        SEALED, EVENTS, CHUNKED, body=lambda n: chunk(event(n - 1)) + encode_rest(n)
    ),
    "200-empty-without-length": ok(SEALED, EVENTS),
    "200-empty-reset": ok(SEALED, EVENTS, CHUNKED, is_reset=True),
    "200-closed-early": ok(SEALED, EVENTS, CHUNKED, body=lambda n: chunk(event(n))),
    "302": status(b"302 Found", SEALED, b"Location: /claim/1\r\n"),
    "204": Answer(b"HTTP/1.1 204 None\r\n" + SEALED + EVENTS),
    "500-twice": Answer(b"", ERROR + ERROR),
    "500-after-interim": Answer(b"", INTERIM + ERROR),
    "500-truncated": Answer(
        b"HTTP/1.1 500 Failed\r\n" + SEALED + b"Content-Length: 500\r\n", TEXT
    ),
    "500-after-rest": ok(
        SEALED, EVENTS, CHUNKED, body=lambda n: encode_rest(n) + ERROR
    ),
    "500-in-rest": ok(SEALED, EVENTS, CHUNKED, body=lambda n: chunk(event(n)) + ERROR),
    "500-as-chunk": ok(
        SEALED, EVENTS, CHUNKED, body=lambda n: chunk(event(n)) + chunk(ERROR)
    ),
    "500-without-chunks": ok(SEALED, EVENTS, body=lambda n: event(n) + ERROR),
    "200-truncated": ok(
        SEALED, EVENTS, b"Content-Length: 500\r\n", body=lambda n: event(n)
    ),
    "no-head": Answer(b""),
    "no-head-reset": Answer(b"", is_reset=True),
    "half-a-head": Answer(b"", b"HTTP/1.1 500 " + FOREIGN),
    "no-http": Answer(b"", TEXT + TEXT),
}


class OddServer(RoutedServerStandIn):
    """Server that answers requests which go on with a stream oddly."""

    answer = Answer(b"")

    async def _stream(self, request, headers, writer):
        if "last-event-id" not in request.headers:
            return await super()._stream(request, headers, writer)
        request_id = request.headers["persimmonlink-request-id"].encode()
        next_id = int(request.headers["last-event-id"]) + 1
        writer.write(self.answer.encode(request_id, next_id))
        await writer.drain()
        await asyncio.sleep(0.02)
        if self.answer.is_reset:
            reset_connection(writer)
        return False


async def use_odd_servers(rig, answer: Answer, cuts_after: int = 2) -> None:
    """Replace the servers of streams by ones that break off and answer oddly."""
    for index in (0, 1):
        server_id = f"{STREAM_SERVICE}-{index}"
        await rig.server_by_id.pop(server_id).stop()
        server = OddServer(server_id, EVENT_COUNT)
        server.answer = answer
        server.faults.cuts_streams_after = cuts_after
        server.event_interval_s = 0.05
        await server.start()
        rig.server_by_id[server_id] = server
        entry = server.build_entry(STREAM_SERVICE, seq=2, born=1_700_000_000_001)
        rig.store.put(f"servers/{server_id}", entry)
    addresses = {
        rig.server_by_id[f"{STREAM_SERVICE}-{index}"].address for index in (0, 1)
    }
    for router in rig.routers:
        servers = router.cluster_view.servers
        await wait_until(
            lambda servers=servers: (
                {s.address for s in servers.list_usable(STREAM_SERVICE)} == addresses
            )
        )


def list_ids(body: bytes) -> list[int]:
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


def assert_sound(response, first_id: int = 1) -> None:
    """Check that a client has whole events only, and no short stream as complete."""
    assert FOREIGN not in response.body
    assert b"HTTP/" not in response.body
    ids = list_ids(response.body)
    assert ids == list(range(first_id, first_id + len(ids)))
    assert response.body == b"".join(event(number) for number in ids)
    if response.is_complete:
        assert ids[-1:] == [EVENT_COUNT]


@pytest.mark.parametrize("name", sorted(ANSWERS))
@pytest.mark.parametrize(
    ("path", "headers"), [("/list/1", STREAM), ("/long/1", STAGED)]
)
def test_a_stream_that_broke_off_gets_nothing_of_an_answer_that_is_not_its_rest(
    path, headers, name
):
    async def scenario():
        async with make_rig() as rig:
            await use_odd_servers(rig, ANSWERS[name])
            response = await rig.send_request(path, deadline_ms=1500, **headers)
            assert response.status == 200
            assert_sound(response)
            assert len(list_ids(response.body)) >= 2

    run(scenario())


@pytest.mark.parametrize("name", sorted(ANSWERS))
def test_a_stream_by_way_of_a_peer_gets_nothing_of_an_answer_that_is_not_its_rest(
    name,
):
    async def scenario():
        async with make_rig(routers=2) as rig:
            connect_by_links(rig, 0)
            await use_odd_servers(rig, ANSWERS[name])
            membership = rig.routers[0].membership
            await wait_until(lambda: len(membership.list_serving_members()) == 2)
            await rig.links.cut([0], Cut.REFUSE_NEW)
            response = await rig.send_request("/list/1", deadline_ms=1500, **STREAM)
            assert response.status == 200
            assert_sound(response)
            assert len(list_ids(response.body)) >= 2

    run(scenario())


@pytest.mark.parametrize("name", sorted(ANSWERS))
def test_a_stream_that_goes_on_at_a_peer_gets_nothing_of_an_answer_that_is_not_its_rest(
    name,
):
    async def scenario():
        async with make_rig(routers=2) as rig:
            connect_by_links(rig, 0)
            await use_odd_servers(rig, ANSWERS[name], cuts_after=0)
            membership = rig.routers[0].membership
            await wait_until(lambda: len(membership.list_serving_members()) == 2)
            sending = rig.send_request("/list/1", request_id="s0", **STREAM)
            task = asyncio.ensure_future(sending)
            await wait_until(lambda: rig.count_runs("s0") == 1)
            await asyncio.sleep(0.12)
            await rig.links.cut([0], Cut.RESET)
            response = await task
            assert response.status == 200
            assert_sound(response)

    run(scenario())


# A redirection that a server signs is its answer to the client, and no success.
@pytest.mark.parametrize("name", sorted(ANSWERS.keys() - {"302"}))
def test_a_client_that_takes_its_stream_up_gets_no_answer_that_is_not_its_rest_as_such(
    name,
):
    async def scenario():
        async with make_rig() as rig:
            await use_odd_servers(rig, ANSWERS[name])
            response = await rig.send_request(
                "/list/1",
                deadline_ms=1500,
                Last_Event_Id="2",
                Resumes="never-seen",
                **STREAM,
            )
            if response.status == 200:
                assert_sound(response, 3)
            else:
                assert response.status >= 400

    run(scenario())
