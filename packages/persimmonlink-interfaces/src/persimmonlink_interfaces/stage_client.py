"""Calls of one stage on one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from persimmonlink_interfaces.cancellation import Cancellation
    from persimmonlink_model.deadline import Deadline

NOT_RUN_HEADER = "X-Not-Run"
INCARNATION_HEADER = "X-Server-Incarnation"


@dataclass(frozen=True)
class StageCall:
    """One call of a stage.

    Parameters
    ----------
    call_id : str
        Id of this attempt, unique among all calls.
    stage : str
        Name of the stage, or of the model for an engine.
    account : str
        Client account that is charged.
    input : str
        Input of the stage.
    max_tokens : int
        Tokens that an engine may generate.
    priority : int
        Priority at the server; smaller runs first.
    repeatable : bool
        Whether the call may be sent twice without harm.
    first_byte_timeout_s : float
        Longest wait for the first byte, in seconds.
    chunk_timeout_s : float
        Longest wait between two chunks, in seconds.
    """

    call_id: str
    stage: str
    account: str
    input: str
    max_tokens: int
    priority: int
    repeatable: bool
    first_byte_timeout_s: float
    chunk_timeout_s: float


@dataclass(frozen=True)
class StageOutput:
    """The whole result of one call.

    Parameters
    ----------
    text : str
        Output of the stage.
    cost : float
        Measured cost, in server seconds.
    incarnation : str
        Incarnation that the server named, or empty.
    first_byte_s : float
        Time to the first byte, in seconds.
    cached_tokens : int
        Prompt tokens that the engine's prefix cache held.
    """

    text: str
    cost: float
    incarnation: str = ""
    first_byte_s: float = 0.0
    cached_tokens: int = 0


class CallFault(StrEnum):
    """How a call failed."""

    NOT_RUN = "not_run"
    BROKEN = "broken"
    READ_TIMEOUT = "silent"
    INVALID_RESPONSE = "wrong_answer"
    DEADLINE_PASSED = "out_of_time"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CallFailure:
    """A call that gave no whole result.

    Parameters
    ----------
    fault : CallFault
        How it failed; only `NOT_RUN` proves that nothing was run.
    detail : str
        What was seen, for people.
    cost : float
        Cost that was spent in vain as far as it is known, in server seconds.
    incarnation : str
        Incarnation that the server named, or empty.
    """

    fault: CallFault
    detail: str
    cost: float = 0.0
    incarnation: str = ""


class StageClient(Protocol):
    """Calls backend servers of one kind."""

    def run(
        self,
        address: str,
        call: StageCall,
        deadline: Deadline,
        cancelled: Cancellation,
        on_text: Callable[[str], None],
    ) -> Result[StageOutput, CallFailure]:
        """Run a call and hand on its text piece by piece as it comes."""
        ...


__all__ = (
    "INCARNATION_HEADER",
    "NOT_RUN_HEADER",
    "CallFailure",
    "CallFault",
    "StageCall",
    "StageClient",
    "StageOutput",
)
