"""Progress and results of the stages of one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.stage_job import StageResult, TransferredResult

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_job import StageJob

BULKY_RESULT_BYTES = 1e5  # A few results of this size fill the memory of a server.
# A delayed stage with bulky results starts this long before its latest start time.
BULKY_LEAD_S = 0.1


@dataclass(slots=True)
class StageTimes:
    """Progress of a stage, in boot time.

    Parameters
    ----------
    ready_at : float
        Time at which the inputs were available, in seconds.
    sent_at : float
        Time at which the first piece was sent, in seconds.
    first_result_at : float
        Time of the first result, in seconds.
    done_at : float
        Time of the last result, in seconds.
    """

    ready_at: float = 0.0
    sent_at: float = 0.0
    first_result_at: float = 0.0
    done_at: float = 0.0


class StageChain:
    """State of the stages of a request, with the results that exist so far.

    Parameters
    ----------
    job : StageJob
        Stages that are to be run.
    now : float
        Boot time at which the job arrived, in seconds.
    critical_path_s_by_stage : sequence of float
        Time from the start of each stage to the first event, in seconds.

    Attributes
    ----------
    has_started : bool
        Whether a piece was sent or results were transferred.
    pieces_in_flight : int
        Pieces that were sent to a server and have no outcome yet.
    is_closed : bool
        Whether the results of further pieces are no longer needed.
    times : list of StageTimes
        Progress of each stage.
    """

    def __init__(
        self,
        job: StageJob,
        now: float,
        critical_path_s_by_stage: Sequence[float] = (),
    ) -> None:
        self.job = job
        self._critical_path_s_by_stage = critical_path_s_by_stage
        self._epochs = [0] * len(job.stages)
        self.arrived_at = now
        self.objective_at = now + job.objective_left_s
        self.deadline_at = now + job.deadline_left_s
        self.has_started = bool(job.made)
        self.pieces_in_flight = 0
        self.is_closed = False
        self._results: list[list[StageResult | None]] = [
            [None] * need.pieces for need in job.stages
        ]
        self._queued_stages: set[int] = set()
        self._sent_stages: set[int] = set()
        self._released_stages: set[int] = set()
        self._unsent_pieces_by_stage: dict[int, int] = {}
        self.times = [StageTimes() for _ in job.stages]

    def epoch(self, index: int) -> int:
        """Return the epoch of a stage, which increases with each reset of the stage."""
        return self._epochs[index]

    def critical_path_s(self, index: int) -> float:
        """Return the time from the start of a stage to the first event, in seconds."""
        if index < len(self._critical_path_s_by_stage):
            return self._critical_path_s_by_stage[index]
        return 0.0

    def min_remaining_s(self) -> float:
        """Return a lower bound of the time left until the first event, in seconds.

        It is the longest critical path of the stages that have not been sent.
        """
        unsent_paths_s = [
            self.critical_path_s(index)
            for index in range(len(self.job.stages))
            if not self.is_stage_sent(index) and not self.is_stage_done(index)
        ]
        return max(unsent_paths_s, default=0.0)

    def pop_ready_stages(self) -> list[int]:
        """Return the stages that have become ready, and mark them as queued."""
        ready = []
        for index, need in enumerate(self.job.stages):
            if index in self._queued_stages or self.is_stage_done(index):
                continue
            if not all(self.is_stage_done(other) for other in need.after):
                continue
            if self._should_delay_bulky_stage(index):
                continue
            self._queued_stages.add(index)
            ready.append(index)
        return ready

    def _should_delay_bulky_stage(self, index: int) -> bool:
        """Whether to delay a final stage, which shortens the life of bulky results."""
        is_bulky = self.job.stages[index].result_bytes >= BULKY_RESULT_BYTES
        if not is_bulky or not self.is_final(index):
            return False
        other_paths_s = [
            self.critical_path_s(other)
            for other in range(len(self.job.stages))
            if other != index
            and not self.is_stage_done(other)
            and not self.is_stage_sent(other)
        ]
        return (
            max(other_paths_s, default=0.0) > self.critical_path_s(index) + BULKY_LEAD_S
        )

    def is_stage_done(self, index: int) -> bool:
        """Whether all pieces of a stage have results."""
        return all(result is not None for result in self._results[index])

    def record_sent(self, index: int, now: float) -> None:
        """Record that a piece of a stage was sent to a server."""
        self.has_started = True
        if index not in self._sent_stages:
            self.times[index].sent_at = now
        self._sent_stages.add(index)

    def record_result_time(self, index: int, now: float) -> None:
        """Record the time at which a piece of a stage received its result."""
        times = self.times[index]
        times.first_result_at = times.first_result_at or now
        if self.is_stage_done(index):
            times.done_at = now

    def pop_read_inputs(self, index: int) -> list[StageResult]:
        """Mark inputs of a stage as released and return them, if all pieces were sent.

        The caller must give the servers time to read them after the last piece was
        sent. Inputs that another stage reads too are left out.
        """
        if (
            not self.is_stage_sent(index)
            or self._unsent_pieces_by_stage.get(index, 0) > 0
        ):
            return []
        read: list[StageResult] = []
        for other in self.job.stages[index].after:
            consumers = [
                consumer
                for consumer, need in enumerate(self.job.stages)
                if other in need.after
            ]
            if consumers != [index] or other in self._released_stages:
                continue
            self._released_stages.add(other)
            read.extend(r for r in self._results[other] if r is not None)
        return read

    def adjust_unsent_pieces(self, index: int, change: int) -> None:
        """Change the number of a stage's pieces that wait for a server."""
        self._unsent_pieces_by_stage[index] = (
            self._unsent_pieces_by_stage.get(index, 0) + change
        )

    def has_released_inputs(self, index: int) -> bool:
        """Whether inputs of a stage were released, so that it can't be sent again."""
        return any(
            other in self._released_stages for other in self.job.stages[index].after
        )

    def is_stage_sent(self, index: int) -> bool:
        """Whether a piece of a stage was sent to a server."""
        return index in self._sent_stages

    def is_done(self) -> bool:
        """Whether all stages have their results."""
        return all(self.is_stage_done(i) for i in range(len(self.job.stages)))

    def is_final(self, index: int) -> bool:
        """Whether no other stage needs the results of a stage."""
        return not any(index in need.after for need in self.job.stages)

    def has_result(self, stage: int, number: int) -> bool:
        """Whether a piece has its result."""
        return self._results[stage][number] is not None

    def list_transferable_results(self) -> tuple[TransferredResult, ...]:
        """Return the results from which another coordinator continues the request.

        The results of an incomplete stage whose inputs were released are left out, as
        that stage has to be run again, together with the one before it.
        """
        transferred = []
        for index, results in enumerate(self._results):
            is_released = index in self._released_stages
            if is_released and not self._is_consumed(index):
                continue
            if self.has_released_inputs(index) and not self.is_stage_done(index):
                continue
            for number, result in enumerate(results):
                if result is None:
                    continue
                handle = "" if is_released else result.handle
                server_id = result.server.server_id
                transferred.append(
                    TransferredResult(index, number, handle, server_id, result.size)
                )
        return tuple(transferred)

    def restore_result(self, transferred: TransferredResult, server: Server) -> None:
        """Add a result that the previous coordinator transferred."""
        result = StageResult(transferred.handle, server, transferred.size)
        if (
            self.add_result(transferred.stage, transferred.number, result)
            and not transferred.handle
        ):
            self._released_stages.add(transferred.stage)

    def _is_consumed(self, index: int) -> bool:
        """Whether all stages that need the results of a stage are done."""
        consumers = [
            consumer
            for consumer, need in enumerate(self.job.stages)
            if index in need.after
        ]
        return all(self.is_stage_done(consumer) for consumer in consumers)

    def add_result(self, stage: int, number: int, result: StageResult) -> bool:
        """Add a result; return False if the piece has one already."""
        results = self._results[stage]
        if number >= len(results) or results[number] is not None:
            return False
        self._results[stage][number] = result
        return True

    def list_inputs(self, stage: int) -> tuple[StageResult, ...]:
        """Return the available inputs of a stage."""
        return self._collect_results(self.job.stages[stage].after)

    def has_inputs(self, stage: int) -> bool:
        """Whether all inputs of a stage exist and none was released."""
        needed = sum(self.job.stages[i].pieces for i in self.job.stages[stage].after)
        return len(self.list_inputs(stage)) == needed and not self.has_released_inputs(
            stage
        )

    def list_final_results(self) -> tuple[StageResult, ...]:
        """Return the results that the request itself reads."""
        last = [i for i in range(len(self.job.stages)) if self.is_final(i)]
        return self._collect_results(last)

    def pop_consumed_results(self) -> list[StageResult]:
        """Mark results that no stage needs any more as released; return them."""
        consumed: list[StageResult] = []
        for index in range(len(self.job.stages)):
            consumers = [
                consumer
                for consumer, need in enumerate(self.job.stages)
                if index in need.after
            ]
            is_consumed = bool(consumers) and all(
                self.is_stage_done(consumer) for consumer in consumers
            )
            if not is_consumed or index in self._released_stages:
                continue
            self._released_stages.add(index)
            consumed.extend(r for r in self._results[index] if r is not None)
        return consumed

    def pop_all_results(self) -> list[StageResult]:
        """Remove and return all results that were not released."""
        results = [
            result
            for index, stage in enumerate(self._results)
            if index not in self._released_stages
            for result in stage
            if result is not None
        ]
        self._results = [[] for _ in self.job.stages]
        return results

    def reset_inputs(self, index: int) -> list[StageResult]:
        """Reset the stages that a stage needs, so that they are run again.

        Goes back, past stages with released inputs, to a stage whose inputs are
        available. Returns the results that were discarded, for their release.
        """
        freed = []
        for other in self.job.stages[index].after:
            freed.extend(self.reset_stage(other))
            if self.has_released_inputs(other):
                freed.extend(self.reset_inputs(other))
        return freed

    def reset_stage(self, index: int) -> list[StageResult]:
        """Discard the results of a stage and the ones after it, to run them again.

        Returns the results that were discarded, for their release.
        """
        freed = []
        if index not in self._released_stages:
            freed = [result for result in self._results[index] if result is not None]
        self._released_stages.discard(index)
        self._unsent_pieces_by_stage[index] = 0
        self._results[index] = [None] * self.job.stages[index].pieces
        self._epochs[index] += 1
        self.times[index] = StageTimes()
        self._queued_stages.discard(index)
        self._sent_stages.discard(index)
        for consumer, need in enumerate(self.job.stages):
            if index in need.after and consumer in self._queued_stages:
                freed.extend(self.reset_stage(consumer))
        return freed

    def _collect_results(
        self, stages: tuple[int, ...] | list[int]
    ) -> tuple[StageResult, ...]:
        return tuple(r for i in stages for r in self._results[i] if r is not None)


__all__ = ("StageChain", "StageTimes")
