"""A rejection that a plain service sends once more rejects no later call."""

from __future__ import annotations

import json
import socket
import threading
import time

from persimmonlink_interfaces.cancellation import Cancellation
from persimmonlink_interfaces.plain_client import PlainClient
from persimmonlink_interfaces.stage_client import CallFault, StageCall
from persimmonlink_model.deadline import Deadline

REJECTION = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\n{}"


def make_call(call_id: str) -> StageCall:
    return StageCall(call_id, "book", "acme", "in", 0, 0, True, 2.0, 2.0)


def encode_answer(body: dict) -> bytes:
    answer = {"request_id": body["request_id"], "stage": body["stage"], "output": "ok"}
    data = json.dumps(answer).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data


class RepeatingServer:
    """Rejects its first call, and sends that once more before the next answer."""

    def __init__(self) -> None:
        self.ran_ids: list[str] = []
        self.connections = 0
        self._has_rejected = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        was_rejected_here = False
        with connection:
            while body := self._read_call(connection):
                if not self._has_rejected:
                    self._has_rejected = was_rejected_here = True
                    connection.sendall(REJECTION)
                    continue
                self.ran_ids.append(body["request_id"])
                earlier = REJECTION if was_rejected_here else b""
                connection.sendall(earlier + encode_answer(body))

    def _read_call(self, connection: socket.socket) -> dict | None:
        data = b""
        while not data.endswith(b"}"):
            part = connection.recv(65536)
            if not part:
                return None
            data += part
        return json.loads(data.partition(b"\r\n\r\n")[2])


def test_a_rejection_sent_once_more_rejects_no_later_call():
    server, client = RepeatingServer(), PlainClient()

    def run(call_id: str):
        deadline = Deadline(time.monotonic() + 5.0)
        call = make_call(call_id)
        return client.run(
            server.address, call, deadline, Cancellation(), lambda _: None
        )

    assert run("first").failure().fault is CallFault.NOT_RUN
    assert run("second").unwrap().text == "ok"
    assert server.ran_ids == ["second"]
    assert run("third").unwrap().text == "ok"
    assert server.connections == 2
