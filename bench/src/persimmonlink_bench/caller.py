"""An HTTP caller that sends each request once, without retries."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CONNECTION_POOL_SIZE = 256
DEFAULT_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class CallOutcome:
    """The result of one call.

    Parameters
    ----------
    status : int
        HTTP status, 0 if no valid response was received.
    seconds : float
        Time from sending to the last byte, in seconds.
    first_byte_s : float
        Time from sending to the first text of a stream, or to the end of an answer
        that isn't streamed, in seconds.
    output : str
        Output of the pipeline; for a stream, the concatenated text.
    complete : bool
        Whether the answer is marked complete and, for a stream, its lines are in
        sequence and concatenate to the final output.
    stages : tuple of dict
        Reports of the stages.
    problem : dict or None
        Problem document of a failed call, None without one.
    address : str
        Node that was called, as `IP:PORT`.
    """

    status: int
    seconds: float
    first_byte_s: float = 0.0
    output: str = ""
    complete: bool = False
    stages: tuple[dict[str, Any], ...] = ()
    problem: dict[str, Any] | None = field(default=None)
    address: str = ""

    @property
    def ok(self) -> bool:
        """Whether the answer is complete and has status 200."""
        return self.status == 200 and self.complete

    @property
    def code(self) -> int:
        """Result code of the problem document, 0 without one."""
        return int((self.problem or {}).get("code", 0))


class Caller:
    """Calls nodes in round-robin order.

    Parameters
    ----------
    addresses : sequence of str
        Nodes as `IP:PORT`.
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = itertools.cycle(addresses)
        self._http = urllib3.PoolManager(maxsize=CONNECTION_POOL_SIZE, retries=False)

    def call(
        self,
        pipeline: str,
        body: Mapping[str, Any],
        address: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> CallOutcome:
        """Send a request to `address`, or to the next node if it is empty.

        Connection and decoding errors give an outcome with status 0.
        """
        address = address or next(self._addresses)
        started_at = time.monotonic()
        try:
            response = self._http.request(
                "POST",
                f"http://{address}/v1/pipelines/{pipeline}/requests",
                body=msgspec.json.encode(body),
                preload_content=False,
                timeout=timeout_s,
            )
            if response.status == 200 and body.get("stream"):
                return _read_stream(response, started_at, address)
            answer = msgspec.json.decode(response.read())
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
            problem = {"title": f"{type(error).__name__}: {error}"}
            seconds = time.monotonic() - started_at
            return CallOutcome(0, seconds, problem=problem, address=address)
        seconds = time.monotonic() - started_at
        if response.status != 200:
            return CallOutcome(
                response.status, seconds, problem=answer, address=address
            )
        return CallOutcome(
            200,
            seconds,
            seconds,
            answer["output"],
            answer["complete"],
            tuple(answer["stages"]),
            address=address,
        )


def _read_stream(response: Any, started_at: float, address: str) -> CallOutcome:
    texts: list[str] = []
    first_byte_s = 0.0
    final_message: dict[str, Any] = {}
    expected_sequence = 0
    in_order = True
    for line in _iterate_lines(response):
        value = msgspec.json.decode(line)
        in_order = in_order and value["sequence"] == expected_sequence
        expected_sequence += 1
        if "text" in value:
            first_byte_s = first_byte_s or time.monotonic() - started_at
            texts.append(value["text"])
            continue
        final_message = value
    response.release_conn()
    output = "".join(texts)
    is_complete = (
        bool(final_message.get("complete"))
        and in_order
        and final_message["output"] == output
    )
    return CallOutcome(
        200,
        time.monotonic() - started_at,
        first_byte_s,
        output,
        is_complete,
        tuple(final_message.get("stages", ())),
        final_message.get("problem"),
        address,
    )


def _iterate_lines(response: Any) -> Any:
    pending = b""
    for chunk in response.stream(65536):
        *lines, pending = (pending + chunk).split(b"\n")
        yield from lines
    if pending:
        yield pending


__all__ = ("CallOutcome", "Caller")
