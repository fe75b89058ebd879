"""Interface of the clients that run one stage on one backend server."""

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
        Id of this attempt, by which responses are matched to calls and generations
        are resumed and cancelled.
    stage : str
        Name of the stage; sent to an engine as the name of the model.
    account : str
        Client account to charge.
    input : str
        Input of the stage.
    max_tokens : int
        Largest number of tokens that an engine may generate.
    priority : int
        Priority at the server; smaller values run first.
    repeatable : bool
        Whether the call is idempotent, so that it may be sent twice.
    first_byte_timeout_s : float
        Timeout for the first byte, in seconds.
    chunk_timeout_s : float
        Timeout between two chunks, in seconds.
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
    """The complete result of one call.

    Parameters
    ----------
    text : str
        Output of the stage.
    cost : float
        Cost in server seconds, as reported by the server or else estimated.
    incarnation : str
        Incarnation that the server reported, or empty.
    first_byte_s : float
        Time to the first byte, in seconds.
    cached_tokens : int
        Prompt tokens that were found in the engine's prefix cache.
    """

    text: str
    cost: float
    incarnation: str = ""
    first_byte_s: float = 0.0
    cached_tokens: int = 0


class CallFault(StrEnum):
    """Why a call failed; the values appear in metric names."""

    NOT_RUN = "not_run"
    BROKEN = "broken"
    READ_TIMEOUT = "silent"
    INVALID_RESPONSE = "wrong_answer"
    DEADLINE_PASSED = "out_of_time"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CallFailure:
    """A call that gave no complete result.

    Parameters
    ----------
    fault : CallFault
        Why it failed; only `NOT_RUN` proves that nothing was run.
    detail : str
        Description for operators.
    cost : float
        Known cost of the failed call, in server seconds.
    incarnation : str
        Incarnation that the server reported, or empty.
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
        """Run a call; `on_text` receives each piece of its output as it arrives."""
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
