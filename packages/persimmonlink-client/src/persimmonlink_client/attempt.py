"""Attempts at a request: their request id, entry VM and known run state."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import uuid6

from persimmonlink_client.messages import PipelineCall
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from persimmonlink_client.entry import EntryChoice

_RETRYABLE_CODES = frozenset(
    {
        ResultCode.OVERLOADED,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.NO_SERVER,
        ResultCode.NODE_STOPPING,
        ResultCode.CLAIM_UNAVAILABLE,
        ResultCode.NOT_CONFIGURED,
        ResultCode.PEER_UNREACHABLE,
    }
)


@dataclass(frozen=True)
class Attempt:
    """A request as it is sent, and whether earlier sends may have run it.

    Parameters
    ----------
    call : PipelineCall
        The caller's call.
    request_id : str
        Id under which the request is sent.
    address : str
        Entry VM to send the request to.
    pinned_address : str
        Entry VM that the id is pinned to, empty for an unpinned id.
    expires_at : float
        Monotonic time at which the caller stops waiting, in seconds.
    may_have_run : bool
        Whether an earlier send under this id may have been run.
    refusal_count : int
        Number of attempts that were refused before this one.
    """

    call: PipelineCall
    request_id: str
    address: str
    pinned_address: str
    expires_at: float
    may_have_run: bool = False
    refusal_count: int = 0

    def to_body(self, *, stream: bool) -> dict[str, Any]:
        """Return the request body, which is the same on each send under one id."""
        call = self.call
        body: dict[str, Any] = {
            "account": call.account,
            "request_id": self.request_id,
            "repeatable": call.repeatable,
            "input": call.input,
            "stream": stream,
        }
        if call.deadline_ms is not None:
            body["deadline_ms"] = call.deadline_ms
        if call.request_class:
            body["request_class"] = call.request_class
        return body

    def adjust_run_state(self, failure: Failure) -> Failure:
        """Replace the run state `NOT_RUN` by `UNKNOWN` if an earlier send may have run.

        Unless the state stays `NOT_RUN`, the detail names the request id, because
        the request may be sent again only under that id.
        """
        state = failure.run_state
        if self.may_have_run and state is RunState.NOT_RUN:
            state = RunState.UNKNOWN
        if state is RunState.NOT_RUN:
            return failure
        detail = f"{failure.detail} (request {self.request_id})"
        return replace(failure, run_state=state, detail=detail)


def is_retryable(failure: Failure) -> bool:
    """Return whether nothing was run and a retry may succeed."""
    return failure.code in _RETRYABLE_CODES and failure.run_state is RunState.NOT_RUN


def needs_lookup(failure: Failure) -> bool:
    """Return whether the outcome of the request has to be looked up."""
    if failure.code is ResultCode.STILL_RUNNING:
        return True
    is_broken = failure.code is ResultCode.PEER_UNREACHABLE
    return is_broken and failure.run_state is not RunState.NOT_RUN


def new_attempt(call: PipelineCall, choice: EntryChoice, expires_at: float) -> Attempt:
    """Return the first attempt, under the caller's id or else a new one.

    Parameters
    ----------
    call : PipelineCall
        The caller's call.
    choice : EntryChoice
        Entry VMs to choose from.
    expires_at : float
        Monotonic time at which the caller stops waiting, in seconds.

    Returns
    -------
    Attempt
        The attempt, addressed to the VM that the id is pinned to, if any.
    """
    pinned_vm = choice.pinned_address
    if call.request_id:
        has_prefix = bool(choice.id_prefix) and call.request_id.startswith(
            choice.id_prefix
        )
        address = pinned_vm if has_prefix else choice.addresses[0]
        pinned_vm = pinned_vm if has_prefix else ""
        return Attempt(call, call.request_id, address, pinned_vm, expires_at)
    request_id = str(uuid6.uuid7())
    if call.repeatable or not call.pinned or not choice.id_prefix:
        return Attempt(call, request_id, choice.addresses[0], "", expires_at)
    return Attempt(
        call, choice.id_prefix + request_id, pinned_vm, pinned_vm, expires_at
    )


def next_attempt(attempt: Attempt, choice: EntryChoice) -> Attempt:
    """Return the attempt that follows a refusal with run state `NOT_RUN`.

    Parameters
    ----------
    attempt : Attempt
        The refused attempt.
    choice : EntryChoice
        Entry VMs to choose from now.

    Returns
    -------
    Attempt
        The same id at another VM. A pinned id is replaced by a new id, unless an
        earlier send may have run or the caller gave the id: then the same id is
        sent to the VM that it is pinned to.
    """
    refusal_count = attempt.refusal_count + 1
    if not attempt.pinned_address:
        return replace(
            attempt, address=choice.addresses[0], refusal_count=refusal_count
        )
    if attempt.may_have_run or attempt.call.request_id:
        return replace(
            attempt, address=attempt.pinned_address, refusal_count=refusal_count
        )
    renewed = new_attempt(attempt.call, choice, attempt.expires_at)
    return replace(renewed, refusal_count=refusal_count)


__all__ = (
    "Attempt",
    "is_retryable",
    "needs_lookup",
    "new_attempt",
    "next_attempt",
)
