"""Validation of callers' requests, and the validated requests."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec
import uuid6
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_interfaces.cancellation import Cancellation
from persimmonlink_model.deadline import Deadline
from persimmonlink_model.record import AccountSpec, PipelineSpec
from persimmonlink_model.request import RequestBody
from persimmonlink_model.request_id import (
    PINNED_PREFIX,
    SEPARATOR,
    RequestId,
    RetryHorizon,
    parse_request_id,
)
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.record import StageSpec
    from persimmonlink_node.node_state import NodeIdentity, NodeState


@dataclass(frozen=True)
class PipelineRequest:
    """A request that passed validation.

    Parameters
    ----------
    request_id : RequestId
        Id of the request.
    body_digest : str
        Digest of the pipeline name and of the body's account, input and
        `repeatable`; without the deadline, which differs between retries.
    body : RequestBody
        Decoded body.
    pipeline_name : str
        Name of the pipeline to run.
    pipeline : PipelineSpec
        Specification of the pipeline when the request arrived.
    account : AccountSpec
        Specification of the client account when the request arrived.
    deadline : Deadline
        Time by which the answer is due.
    cancelled : Cancellation
        Set when the caller cancels the request, or disconnects from the stream of a
        repeatable one.
    """

    request_id: RequestId
    body_digest: str
    body: RequestBody
    pipeline_name: str
    pipeline: PipelineSpec
    account: AccountSpec
    deadline: Deadline
    cancelled: Cancellation = field(default_factory=Cancellation)

    @property
    def priority(self) -> int:
        """Priority within the account; a smaller number runs first."""
        if self.body.priority is None:
            return self.pipeline.priority
        return self.body.priority

    def list_stages_after(self, stage: StageSpec) -> tuple[StageSpec, ...]:
        """Return the stages of the pipeline that follow a given one."""
        names = [each.name for each in self.pipeline.stages]
        return self.pipeline.stages[names.index(stage.name) + 1 :]

    def is_repeatable(self, stage: StageSpec) -> bool:
        """Whether a stage of this request may be sent to a server more than once.

        If the caller marks its request as non-repeatable, that applies to the stages
        that the pipeline marks as such; if it marks none, it applies to all.
        """
        if not stage.repeatable:
            return False
        if self.body.repeatable:
            return True
        return any(not other.repeatable for other in self.pipeline.stages)


class RequestValidator:
    """Validates callers' requests before anything is run.

    Parameters
    ----------
    state : NodeState
        Configured pipelines and client accounts.
    identity : NodeIdentity
        This node; its id prefix begins the ids that the node generates.
    horizon : RetryHorizon
        Maximum age of request ids.
    clock : Clock
        Source of monotonic and Unix time.
    is_registered : callable
        Returns whether this node keeps a request under an id.
    """

    def __init__(
        self,
        state: NodeState,
        identity: NodeIdentity,
        horizon: RetryHorizon,
        clock: Clock,
        is_registered: Callable[[str], bool],
    ) -> None:
        self._state = state
        self._identity = identity
        self._horizon = horizon
        self._clock = clock
        self._is_registered = is_registered

    def validate(
        self, pipeline_name: str, raw: bytes
    ) -> Result[PipelineRequest, Failure]:
        """Return the request, or the first reason to refuse it.

        The run state of the failure is unknown if an earlier attempt may have run the
        id.

        Parameters
        ----------
        pipeline_name : str
            Name of the pipeline, from the path.
        raw : bytes
            Body as received.
        """
        decoded = _decode(raw)
        if isinstance(decoded, Err):
            return decoded
        body = decoded.unwrap()
        validated = self._validate_body(pipeline_name, body)
        if isinstance(validated, Err) and self._may_have_run(body.request_id):
            return Err(replace(validated.failure(), run_state=RunState.UNKNOWN))
        return validated

    def _may_have_run(self, request_id: str) -> bool:
        """Whether an earlier attempt may have run an id, as far as this node knows."""
        if self._is_registered(request_id):
            return True
        is_pinned = request_id.startswith(PINNED_PREFIX + SEPARATOR)
        return is_pinned and not request_id.startswith(self._identity.id_prefix)

    def _validate_body(
        self, pipeline_name: str, body: RequestBody
    ) -> Result[PipelineRequest, Failure]:
        if not body.account:
            return Err(Failure(ResultCode.MISSING_ACCOUNT, "`account` is empty"))
        if not self._state.revision:
            return Err(Failure(ResultCode.NOT_CONFIGURED, "", retry_after_s=1.0))
        account = self._state.find_account(body.account)
        if account is None:
            return Err(Failure(ResultCode.UNKNOWN_ACCOUNT, body.account))
        pipeline = self._state.find_pipeline(pipeline_name)
        if pipeline is None:
            return Err(Failure(ResultCode.UNKNOWN_PIPELINE, pipeline_name))
        deadline_ms = pipeline.deadline_ms
        if body.deadline_ms is not None:
            deadline_ms = body.deadline_ms
        if deadline_ms <= 0:
            return Err(Failure(ResultCode.DEADLINE_EXPIRED, f"{deadline_ms} ms left"))
        id_text = body.request_id or self._identity.id_prefix + str(uuid6.uuid7())
        parsed = parse_request_id(id_text)
        if isinstance(parsed, Err):
            return parsed
        request_id = parsed.unwrap()
        age_failure = self._horizon.check_age(request_id, self._clock.unix_ms())
        if age_failure is not None:
            return Err(age_failure)
        return Success(
            PipelineRequest(
                request_id,
                _compute_digest(pipeline_name, body),
                body,
                pipeline_name,
                pipeline,
                account,
                Deadline.after(deadline_ms / 1000, self._clock.monotonic()),
            )
        )


def _decode(raw: bytes) -> Result[RequestBody, Failure]:
    try:
        return Success(msgspec.json.decode(raw, type=RequestBody))
    except msgspec.ValidationError as error:
        return Err(Failure(ResultCode.INVALID_FIELD, str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.MALFORMED_BODY, str(error)))


def _compute_digest(pipeline_name: str, body: RequestBody) -> str:
    content = (pipeline_name, body.account, body.input, body.repeatable)
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


__all__ = ("PipelineRequest", "RequestValidator")
