"""Lookup and cancellation of requests that were sent before."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonlink_client.messages import PipelineAnswer
from persimmonlink_client.stream import check_answer
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from persimmonlink_client.entry import EntryDirectory
    from persimmonlink_client.transport import HttpTransport, Reply

LOOKUP_TIMEOUT_S = 1.0


class RequestLookup:
    """Looks up and cancels requests by their ids.

    Parameters
    ----------
    transport : HttpTransport
        Transport for the queries.
    directory : EntryDirectory
        Directory of the entry VMs to query.
    """

    def __init__(self, transport: HttpTransport, directory: EntryDirectory) -> None:
        self._transport = transport
        self._directory = directory

    def fetch_from(
        self, address: str, request_id: str
    ) -> Result[PipelineAnswer, Failure]:
        """Fetch a kept answer from one entry VM."""
        replied = self._transport.exchange(
            "GET", address, _request_path(request_id), LOOKUP_TIMEOUT_S
        )
        return replied.bind(lambda reply: parse_answer(reply, request_id))

    def fetch(self, request_id: str) -> Result[PipelineAnswer, Failure]:
        """Fetch a kept answer, trying the entry VMs in turn."""
        replied = self._try_each("GET", request_id)
        return replied.bind(lambda reply: parse_answer(reply, request_id))

    def cancel(self, request_id: str) -> Result[None, Failure]:
        """Cancel a request, trying the entry VMs in turn."""
        replied = self._try_each("DELETE", request_id)
        if not isinstance(replied, Success):
            return Failed(replied.failure())
        reply = replied.unwrap()
        if reply.is_success:
            return Success(None)
        return Failed(reply.to_problem().to_failure())

    def _try_each(self, method: str, request_id: str) -> Result[Reply, Failure]:
        """Try the entry VMs in turn until one doesn't answer with status 404."""
        chosen = self._directory.choose()
        if not isinstance(chosen, Success):
            return Failed(chosen.failure())
        best: Result[Reply, Failure] | None = None
        for address in chosen.unwrap().addresses:
            replied = self._transport.exchange(
                method, address, _request_path(request_id), LOOKUP_TIMEOUT_S
            )
            if isinstance(replied, Success) and replied.unwrap().status != 404:
                return replied
            if best is None or isinstance(replied, Success):
                best = replied
        if best is None:
            return Failed(Failure(ResultCode.PEER_UNREACHABLE, "no entry VM is known"))
        return best


def parse_answer(reply: Reply, request_id: str) -> Result[PipelineAnswer, Failure]:
    """Return the answer in a reply if it is complete and for this request."""
    decoded = reply.decode(PipelineAnswer)
    return decoded.bind(lambda answer: check_answer(answer, request_id))


def _request_path(request_id: str) -> str:
    """Return the path of a request."""
    return f"/v1/requests/{quote(request_id, safe='')}"


__all__ = ("RequestLookup", "parse_answer")
