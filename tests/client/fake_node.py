"""Fake node whose HTTP responses a test defines."""

from __future__ import annotations

import json
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from cheroot.wsgi import Server

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


@dataclass(frozen=True)
class Request:
    method: str
    path: str
    body: Any


@dataclass(frozen=True)
class Response:
    """A response; a broken one announces more bytes than it sends."""

    body: Any = None
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    lines: tuple[Any, ...] | None = None
    is_broken: bool = False


class FakeNode:
    """Serves requests by one handler and records them."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.handle: Callable[[Request], Response] = lambda _: Response({})
        self._server = Server(("127.0.0.1", 0), self._respond, numthreads=4)
        self._server.shutdown_timeout = 1
        self._server.error_log = lambda *args, **kwargs: None
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.bind_addr[1]}"

    def stop(self) -> None:
        self._server.stop()
        self._thread.join()

    def received(self, method: str) -> list[Request]:
        return [each for each in self.requests if each.method == method]

    def _respond(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        raw = environ["wsgi.input"].read(length) if length else b""
        path = environ["PATH_INFO"]
        body = json.loads(raw) if raw else None
        request = Request(environ["REQUEST_METHOD"], path, body)
        self.requests.append(request)
        response = self.handle(request)
        headers = list(response.headers.items())
        if response.lines is not None:
            start_response(f"{response.status} X", headers)
            return [json.dumps(line).encode() + b"\n" for line in response.lines]
        data = json.dumps(response.body).encode()
        length = len(data) + (10 if response.is_broken else 0)
        headers.append(("Content-Length", str(length)))
        start_response(f"{response.status} X", headers)
        return _truncate(data) if response.is_broken else [data]


def _truncate(data: bytes) -> Iterable[bytes]:
    """Yield the body, then make the server close the connection too early."""
    yield data
    raise ConnectionError("closed by the test")


def problem(code: int, run_state: str, status: int = 503, **more: Any) -> Response:
    """Return a response with a problem object; `more` adds fields to it."""
    body = {"code": code, "title": "t", "detail": "d", "run_state": run_state, **more}
    return Response(body, status)
