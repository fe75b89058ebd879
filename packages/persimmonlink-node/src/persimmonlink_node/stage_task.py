"""A stage of a request and the state of its attempts."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_interfaces.stage_client import StageCall
from persimmonlink_model.record import StageSpec
from persimmonlink_model.request import StageReport
from persimmonlink_model.result_code import Failure
from persimmonlink_node.pipeline_request import PipelineRequest

if TYPE_CHECKING:
    from persimmonlink_model.record import ServiceSpec


@dataclass(frozen=True)
class StageResult:
    """Result of a stage.

    Parameters
    ----------
    text : str
        Output of the stage.
    report : StageReport
        Time and cost of the stage.
    """

    text: str
    report: StageReport


@dataclass(frozen=True)
class StageFailure:
    """Failure of a stage.

    Parameters
    ----------
    failure : Failure
        Failure for the caller; its run state covers this stage alone.
    report : StageReport
        Time and cost that were spent without a result.
    """

    failure: Failure
    report: StageReport


@dataclass
class StageTask:
    """A stage that is being run.

    Parameters
    ----------
    request : PipelineRequest
        The request that the stage belongs to.
    stage : StageSpec
        The stage.
    text : str
        Input of the stage, without its prompt prefix.
    on_text : callable
        Called with each piece of the output as it arrives.
    started_at : float
        Monotonic time at which the stage began, in seconds.
    attempts : int
        Calls sent so far.
    wasted_cost : float
        Cost of calls whose result was not used, in server seconds.
    waited_s : float
        Time spent waiting for slots, in seconds.
    excluded_server_ids : frozenset of str
        Servers that the next attempt must not use.
    slow_after_s : float
        Time without a first byte after which a retry on another server is worth it,
        in seconds.
    has_reserved_retry : bool
        Whether a retry was taken from the budget and is not used yet.
    may_have_run : bool
        Whether any call may have run.
    has_forwarded_text : bool
        Whether any output was forwarded, so that the stage can't be retried.
    """

    request: PipelineRequest
    stage: StageSpec
    text: str
    on_text: Callable[[str], None]
    started_at: float
    attempts: int = 0
    wasted_cost: float = 0.0
    waited_s: float = 0.0
    excluded_server_ids: frozenset[str] = frozenset()
    slow_after_s: float = math.inf
    has_reserved_retry: bool = False
    may_have_run: bool = False
    has_forwarded_text: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether the stage may be sent to a server more than once."""
        return self.request.is_repeatable(self.stage)

    @property
    def input(self) -> str:
        """Input as it is sent to the server, with the prompt prefix."""
        return self.stage.prompt_prefix + self.text

    def forward_text(self, piece: str) -> None:
        """Forward a piece of output to the caller."""
        self.has_forwarded_text = True
        self.on_text(piece)

    def build_call(self, service: ServiceSpec) -> StageCall:
        """Return the call of the next attempt, with a call id of its own."""
        request = self.request
        return StageCall(
            f"{request.request_id.text}/{self.stage.name}/{self.attempts}",
            self.stage.name,
            request.body.account,
            self.input,
            self.stage.max_tokens,
            request.priority,
            self.is_repeatable,
            service.first_byte_timeout_ms / 1000,
            service.chunk_timeout_ms / 1000,
        )

    def build_report(self, server_id: str, cost: float, now: float) -> StageReport:
        """Return the time and cost that the stage has used until now."""
        return StageReport(
            self.stage.name,
            server_id,
            now - self.started_at,
            cost,
            self.attempts,
            self.wasted_cost,
            self.waited_s,
        )


__all__ = ("StageFailure", "StageResult", "StageTask")
