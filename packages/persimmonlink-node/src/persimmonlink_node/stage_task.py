"""One stage of one request, and what has been tried of it."""

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
    """What a stage gave.

    Parameters
    ----------
    text : str
        Output of the stage.
    report : StageReport
        What it took.
    """

    text: str
    report: StageReport


@dataclass(frozen=True)
class StageFailure:
    """A stage that gave no result.

    Parameters
    ----------
    failure : Failure
        What the caller is told; its run state is about this stage alone.
    report : StageReport
        What it took in vain.
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
        Its input.
    on_text : callable
        Given each piece of the output as it comes.
    started_at : float
        Monotonic time at which it began, in seconds.
    attempts : int
        Calls sent so far.
    wasted_cost : float
        Cost of calls whose result was not used, in server seconds.
    waited_s : float
        Time spent waiting for slots, in seconds.
    excluded_server_ids : frozenset of str
        Servers that are not chosen again.
    slow_after_s : float
        Wait for a first byte that is worth a retry elsewhere, in seconds.
    has_reserved_retry : bool
        Whether a retry was taken from the budget and not used yet.
    may_have_run : bool
        Whether any call may have run.
    has_forwarded_text : bool
        Whether any output was handed on, so that the stage can't start again.
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
        """Whether the stage may be sent twice."""
        return self.request.is_repeatable(self.stage)

    @property
    def input(self) -> str:
        """What is sent to the server."""
        return self.stage.prompt_prefix + self.text

    def forward_text(self, piece: str) -> None:
        """Hand a piece of output on."""
        self.has_forwarded_text = True
        self.on_text(piece)

    def build_call(self, service: ServiceSpec) -> StageCall:
        """Return the next call, under an id of its own."""
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
        """Return what the stage has taken until now."""
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
