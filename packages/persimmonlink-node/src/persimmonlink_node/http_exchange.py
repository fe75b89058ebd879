"""One HTTP exchange over WSGI: reads the body, writes JSON, problems or streams."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.result_code import INFO_BY_CODE, Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
STREAM_TYPE = "application/x-ndjson"


@dataclass(frozen=True)
class Exchange:
    """One HTTP request and its response.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    start_response : callable
        WSGI callable that sends status and headers.
    """

    environ: dict[str, Any]
    start_response: Callable[..., Any]

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """Path of the URL, percent-decoded."""
        return self.environ["PATH_INFO"]

    def read_query(self, name: str) -> str:
        """Return a query parameter, or an empty string if it is absent."""
        values = parse_qs(self.environ.get("QUERY_STRING", "")).get(name, [""])
        return values[-1]

    def read_body(self, max_bytes: int) -> Result[bytes, Failure]:
        """Read the body, or fail with `BODY_TOO_LARGE` or `MALFORMED_BODY`."""
        declared_length = self.environ.get("CONTENT_LENGTH") or "0"
        chunked = "chunked" in self.environ.get("HTTP_TRANSFER_ENCODING", "")
        if not declared_length.isdigit():
            return Err(Failure(ResultCode.MALFORMED_BODY, "invalid Content-Length"))
        if int(declared_length) > max_bytes:
            detail = f"{declared_length} bytes; the limit is {max_bytes}"
            return Err(Failure(ResultCode.BODY_TOO_LARGE, detail))
        length = max_bytes + 1 if chunked else int(declared_length)
        try:
            body = self.environ["wsgi.input"].read(length)
        except TimeoutError:
            return Err(
                Failure(ResultCode.MALFORMED_BODY, "timed out while reading the body")
            )
        if len(body) > max_bytes:
            return Err(Failure(ResultCode.BODY_TOO_LARGE, f"over {max_bytes} bytes"))
        if not chunked and len(body) < length:
            return Err(
                Failure(
                    ResultCode.MALFORMED_BODY, "the body is shorter than Content-Length"
                )
            )
        return Success(body)

    def send_json(self, value: object, status: int = 200) -> Iterable[bytes]:
        """Send a JSON response."""
        return self._send(status, JSON_TYPE, value, [])

    def send_failure(self, failure: Failure, **extra_fields: object) -> Iterable[bytes]:
        """Send a problem response, with `Retry-After` if the failure gives a time."""
        headers = []
        if failure.retry_after_s is not None:
            seconds = max(1, math.ceil(failure.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        status = INFO_BY_CODE[failure.code].http_status
        problem = failure.to_problem() | extra_fields
        return self._send(status, PROBLEM_TYPE, problem, headers)

    def start_stream(self) -> Callable[[bytes], None]:
        """Start a streamed response and return the callable that writes its lines."""
        return self.start_response("200 OK", [("Content-Type", STREAM_TYPE)])

    def _send(
        self,
        status: int,
        content_type: str,
        value: object,
        headers: list[tuple[str, str]],
    ) -> Iterable[bytes]:
        body = msgspec.json.encode(value)
        self.start_response(
            f"{status} {HTTPStatus(status).phrase}",
            [
                ("Content-Type", content_type),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        return [body]


__all__ = ("Exchange",)
