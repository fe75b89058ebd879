"""Client of the coordinator, the node that runs the stages of all requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.stage_messages import PrepareStages, ReleaseResults
from persimmonlink_router.stage_outcome import StageOutcome, StageState

if TYPE_CHECKING:
    from persimmonlink_router.cluster_membership import ClusterMembership
    from persimmonlink_router.reach_board import ReachBoard
    from persimmonlink_router.stage_job import StageJob
    from persimmonlink_router.stage_scheduler import StageScheduler

LIVENESS_CHECK_INTERVAL_S = 0.1  # Interval of checks that the coordinator is alive.
COORDINATOR_BACKOFF_S = 1.0  # Time without calls for a coordinator that failed one.
RELEASE_DELAY_S = 0.01  # Delay in which releases for a node join the same message.
RELEASE_TIMEOUT_S = 1.0  # Timeout of a message that releases results.
MAX_COORDINATORS_PER_REQUEST = 4  # Nodes that are tried for one request.
# Nodes of older builds add this to the rank of requests that they take for repeats; the
# ranks of all others are below it.
OLDER_REPEAT_RANK_OFFSET = 20


@dataclass(frozen=True, slots=True)
class CoordinatedRun:
    """A run of a request's stages, and the node that coordinates it.

    Parameters
    ----------
    request_id : str
        Id of the request.
    attempt : str
        Tells the run from others of the request.
    node_id : str
        The coordinator.
    """

    request_id: str
    attempt: str
    node_id: str


class StageCoordinatorClient:
    """Sends stage jobs to the coordinator, and to the next one if it fails.

    Stages may be run again. Two nodes that both act as the coordinator therefore waste
    capacity, but do no harm.

    Parameters
    ----------
    membership : ClusterMembership
        Membership and channels to the peers.
    scheduler : StageScheduler
        Scheduler of this node, used while it is the coordinator or has no peers.
    board : ReachBoard
        Which nodes don't reach which services.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        scheduler: StageScheduler,
        board: ReachBoard,
    ) -> None:
        self._board = board
        self._membership = membership
        self._scheduler = scheduler
        self._excluded_until_by_node_id: dict[str, float] = {}
        self._run_by_attempt: dict[str, CoordinatedRun] = {}
        self._releases_by_node_id: dict[str, list[CoordinatedRun]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, job: StageJob) -> StageOutcome:
        """Run the stages of a request, on other coordinators if one fails."""
        started_at = boot_time()
        for _ in range(MAX_COORDINATORS_PER_REQUEST):
            elapsed_s = boot_time() - started_at
            remaining_job = _subtract_elapsed(job, elapsed_s)
            if remaining_job.deadline_left_s <= 0:
                return StageOutcome(StageState.FAILED)
            node_id = self._choose_coordinator(job)
            self._run_by_attempt[job.attempt] = CoordinatedRun(
                job.request_id, job.attempt, node_id
            )
            outcome: StageOutcome | None
            try:
                if node_id == self._membership.own_member.node_id:
                    outcome = await self._run_here(remaining_job)
                else:
                    outcome = await self._call_coordinator(node_id, remaining_job)
            except asyncio.CancelledError:
                # The coordinator may have run the stages already, with its reply lost.
                self.release(job.attempt)
                raise
            if outcome is None or outcome.state is not StageState.DONE:
                # There are no results to release.
                self._run_by_attempt.pop(job.attempt, None)
            if outcome is not None and outcome.state is not StageState.MOVED:
                return outcome
            if outcome is not None:
                job = replace(job, made=outcome.made)
            self._excluded_until_by_node_id[node_id] = (
                boot_time() + COORDINATOR_BACKOFF_S
            )
            logger.bind(request=job.request_id, member=node_id).warning(
                "stages.coordinator_failed"
            )
        return StageOutcome(StageState.FAILED)

    @property
    def has_unsent(self) -> bool:
        """Whether results are being released at their coordinator."""
        return bool(self._tasks)

    def release(self, attempt: str) -> None:
        """Make the coordinator release the results of a run of stages, if any."""
        run = self._run_by_attempt.pop(attempt, None)
        if run is None:
            return
        node_id = run.node_id
        if node_id == self._membership.own_member.node_id:
            self._scheduler.release(run.request_id, attempt)
            return
        if node_id not in self._releases_by_node_id:
            self._releases_by_node_id[node_id] = []
            task = asyncio.get_running_loop().create_task(self._send_releases(node_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._releases_by_node_id[node_id].append(run)

    async def handle_prepare(self, message: PrepareStages) -> StageOutcome:
        """Run the stages of a peer's request, unless this node leaves."""
        if self._membership.own_member.leaving:
            return StageOutcome(StageState.MOVED, made=message.job.made)
        if not message.job.can_run:
            logger.bind(
                request=message.job.request_id, member=message.sender.node_id
            ).warning("stages.job_invalid")
            return StageOutcome(StageState.FAILED)
        return await self._scheduler.run(_ignore_repeat_rank(message.job))

    async def handle_release(self, message: ReleaseResults) -> Acknowledgement:
        """Release the results of a peer's requests."""
        attempts = message.attempts or ("",) * len(message.request_ids)
        for request_id, attempt in zip(message.request_ids, attempts, strict=False):
            self._scheduler.release(request_id, attempt)
        return Acknowledgement()

    async def _run_here(self, job: StageJob) -> StageOutcome:
        """Run stages on this node, also if it leaves: no other node coordinates."""
        if self._membership.own_member.leaving:
            self._scheduler.resume()
        return await self._scheduler.run(job)

    def _choose_coordinator(self, job: StageJob) -> str:
        """Return the coordinator, a node that reaches the stages if there is one."""
        now = boot_time()
        excluded = {
            node_id
            for node_id, until in self._excluded_until_by_node_id.items()
            if until > now
        }
        services = {need.service for need in job.stages if need.pieces}
        lacking = {
            node_id
            for node_id in self._membership.list_serving_ids()
            if services & self._board.list_lacking(node_id)
        }
        if lacking >= set(self._membership.list_serving_ids()):
            return self._membership.choose_coordinator(excluded)
        return self._membership.choose_coordinator(excluded | lacking)

    async def _call_coordinator(
        self, node_id: str, job: StageJob
    ) -> StageOutcome | None:
        """Return the outcome, or None if another coordinator has to be called.

        The coordinator failed, did not reply, or does not know a service.
        """
        member = self._membership.members.find(node_id)
        if member is None:
            return None
        message = PrepareStages(self._membership.sender, job)
        channel = self._membership.channel(member.peer_address)
        call = asyncio.ensure_future(
            channel.call(message, StageOutcome, job.deadline_left_s)
        )
        try:
            while not call.done():
                await asyncio.wait((call,), timeout=LIVENESS_CHECK_INTERVAL_S)
                if not call.done() and not self._membership.is_node_alive(node_id):
                    return None
        finally:
            call.cancel()
        reply = call.result()
        if isinstance(reply, Err):
            return None
        outcome: StageOutcome = reply.unwrap()
        return None if outcome.state is StageState.UNKNOWN_SERVICE else outcome

    async def _send_releases(self, node_id: str) -> None:
        await asyncio.sleep(RELEASE_DELAY_S)
        runs = self._releases_by_node_id.pop(node_id)
        member = self._membership.members.find(node_id)
        if member is None:
            return
        message = ReleaseResults(
            self._membership.sender,
            tuple(run.request_id for run in runs),
            tuple(run.attempt for run in runs),
        )
        channel = self._membership.channel(member.peer_address)
        reply = await channel.call(message, Acknowledgement, RELEASE_TIMEOUT_S)
        if isinstance(reply, Err):
            # The coordinator releases the results by itself after the deadlines.
            logger.bind(member=node_id, requests=len(runs)).info(
                "stages.release_failed"
            )


def _ignore_repeat_rank(job: StageJob) -> StageJob:
    """Rank a job as if its client had sent it for the first time."""
    if job.priority < OLDER_REPEAT_RANK_OFFSET:
        return job
    return replace(job, priority=job.priority - OLDER_REPEAT_RANK_OFFSET)


def _subtract_elapsed(job: StageJob, elapsed_s: float) -> StageJob:
    return replace(
        job,
        objective_left_s=job.objective_left_s - elapsed_s,
        deadline_left_s=job.deadline_left_s - elapsed_s,
    )


__all__ = ("CoordinatedRun", "StageCoordinatorClient")
