"""Streams of engines count only up to their last complete event."""

from __future__ import annotations

import json
import socket
import threading
import time

from persimmonlink_interfaces.cancellation import Cancellation
from persimmonlink_interfaces.engine_client import EngineClient
from persimmonlink_interfaces.stage_client import CallFault, StageCall
from persimmonlink_model.deadline import Deadline

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
CALL = StageCall("call-1", "m", "acme", "in", 8, 0, True, 2.0, 2.0)


def encode_event(index: int, finish_reason: str | None = None) -> bytes:
    choices = [{"text": f"t{index} ", "finish_reason": finish_reason}]
    chunk = {"id": "call-1", "index": index, "choices": choices}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def serve_once_each(responses: list[bytes]) -> tuple[str, list[dict]]:
    """Serve one response for each connection, closed in order at its end."""
    listener = socket.create_server(("127.0.0.1", 0))
    bodies: list[dict] = []

    def serve() -> None:
        for response in responses:
            connection, _ = listener.accept()
            with connection:
                data = b""
                while not data.endswith(b"}"):
                    data += connection.recv(65536)
                bodies.append(json.loads(data.partition(b"\r\n\r\n")[2]))
                connection.sendall(response)
        listener.close()

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    return f"{host}:{port}", bodies


def test_a_stream_closed_inside_its_last_event_is_resumed_at_that_event():
    first, last = encode_event(0), encode_event(1, "stop")
    address, bodies = serve_once_each(
        [HEAD + first + last.removesuffix(b"\n"), HEAD + last + b"data: [DONE]\n\n"]
    )
    texts: list[str] = []
    deadline = Deadline(time.monotonic() + 5.0)
    output = EngineClient().run(address, CALL, deadline, Cancellation(), texts.append)
    assert output.unwrap().text == "t0 t1 "
    assert texts == ["t0 ", "t1 "]
    assert [body["stream_offset"] for body in bodies] == [0, 1]


def test_a_stream_does_not_go_on_at_another_incarnation_of_its_engine():
    heads = [HEAD[:-2] + b"X-Server-Incarnation: %s\r\n\r\n" % i for i in (b"a", b"b")]
    done = encode_event(1, "stop") + b"data: [DONE]\n\n"
    address, bodies = serve_once_each([heads[0] + encode_event(0), heads[1] + done])
    texts: list[str] = []
    deadline = Deadline(time.monotonic() + 5.0)
    output = EngineClient().run(address, CALL, deadline, Cancellation(), texts.append)
    assert output.failure().fault is CallFault.INVALID_RESPONSE
    assert texts == ["t0 "]
    assert [body["stream_offset"] for body in bodies] == [0, 1]


def test_a_generation_whose_resume_finds_no_engine_is_not_called_not_run():
    address, _ = serve_once_each([HEAD + encode_event(0)])
    texts: list[str] = []
    deadline = Deadline(time.monotonic() + 5.0)
    output = EngineClient().run(address, CALL, deadline, Cancellation(), texts.append)
    assert texts == ["t0 "]
    assert output.failure().fault is CallFault.BROKEN
