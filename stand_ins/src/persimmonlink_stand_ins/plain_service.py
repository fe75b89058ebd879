"""Stand-in for the servers of a plain service."""

from __future__ import annotations

import argparse
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_stand_ins.backend import (
    BackendOptions,
    BackendServer,
    add_backend_arguments,
    serve_backends,
)
from persimmonlink_stand_ins.serving import NOT_FOUND, Request, Response
from persimmonlink_stand_ins.work import run_stage

if TYPE_CHECKING:
    from persimmonlink_stand_ins.server_state import Run


@dataclass(frozen=True)
class PlainOptions(BackendOptions):
    """Options of plain servers.

    Parameters
    ----------
    work_ms : float
        Duration of a run, in milliseconds.
    concurrency : int
        Runs at once.
    max_waiting : int
        Queue capacity; further requests are refused.
    """

    work_ms: float = 5.0
    concurrency: int = 8
    max_waiting: int = 64


class PlainServer(BackendServer):
    """A server that returns the whole output of a stage in one response."""

    options: PlainOptions

    def __init__(
        self, server_id: str, port: int = 0, options: PlainOptions | None = None
    ) -> None:
        self._running: dict[int, Run] = {}
        self._waiting = 0
        # Incremented when all runs are aborted, so that queued requests notice it.
        self._abort_count = 0
        super().__init__(server_id, port, options or PlainOptions())

    def prepare(self) -> None:
        """Create the condition on which queued requests wait."""
        self._slot_freed = threading.Condition(self.lock)

    def count_runs(self) -> tuple[int, int]:
        """Return the numbers of active and of queued runs."""
        return len(self._running), self._waiting

    def abort_runs(self) -> None:
        """Abort all active and queued runs; the caller holds the lock."""
        for run in self._running.values():
            self.ledger.finish(run, "aborted")
        self._running.clear()
        self._abort_count += 1
        self._slot_freed.notify_all()

    def handle_work(self, request: Request) -> Response:
        """Run one stage of a request."""
        if (request.method, request.path) != ("POST", "/v1/run"):
            return NOT_FOUND
        with self.lock:
            if self._waiting >= self.options.max_waiting:
                return self.refuse("full")
            run = self._start_run(request)
        work_s = self.options.work_ms / 1000 * self.slow_factor
        self._execute_run(request, run, work_s)
        if self.consume_fault("die_after_read"):
            raise request.abort()
        self.delay_response()
        request_id = request.body["request_id"]
        if self.consume_fault("wrong_id"):
            request_id = f"other-{request_id}"
        stage = request.body["stage"]
        output = run_stage(stage, request.body["input"])
        return Response(
            {
                "request_id": request_id,
                "stage": stage,
                "output": output,
                "cost": work_s,
            }
        )

    def _start_run(self, request: Request) -> Run:
        abort_count = self._abort_count
        self._waiting += 1
        while len(self._running) >= self.options.concurrency:
            self._slot_freed.wait()
            if abort_count != self._abort_count:
                break
        self._waiting -= 1
        if abort_count != self._abort_count or request.connection.is_cut:
            raise request.abort()
        body = request.body
        run = self.ledger.start(
            body["request_id"], body["stage"], body.get("account", "")
        )
        self._running[id(run)] = run
        self.record_load()
        return run

    def _execute_run(self, request: Request, run: Run, work_s: float) -> None:
        self.stopped.wait(work_s)
        with self.lock:
            if self._running.pop(id(run), None) is None:
                raise request.abort()
            self.ledger.finish(run, "completed")
            self.warm_up.count_completion()
            self.record_load()
            self._slot_freed.notify()


def main(arguments: list[str] | None = None) -> None:
    """Run plain servers until stopped."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    add_backend_arguments(parser)
    parser.add_argument("--work-ms", type=float, default=PlainOptions.work_ms)
    parser.add_argument("--concurrency", type=int, default=PlainOptions.concurrency)
    parser.add_argument("--max-waiting", type=int, default=PlainOptions.max_waiting)
    parsed = parser.parse_args(arguments)
    options = PlainOptions(
        **{name: getattr(parsed, name) for name in PlainOptions.__dataclass_fields__}
    )
    serve_backends(parsed, lambda name, port: PlainServer(name, port, options))


if __name__ == "__main__":
    main()

__all__ = ["PlainOptions", "PlainServer", "main"]
