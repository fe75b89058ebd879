"""Open-loop load generator, run as a separate process."""

from __future__ import annotations

import argparse
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import uuid6

from persimmonlink_bench.caller import Caller, CallOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

ANSWER_TIMEOUT_MARGIN_S = 2.0
CONNECT_ERRORS = ("NewConnectionError", "ConnectTimeoutError")


@dataclass(frozen=True)
class PlannedCall:
    """One call to send.

    Parameters
    ----------
    at_s : float
        Intended time of sending, in seconds after the start.
    addresses : tuple of str
        Nodes as `IP:PORT`; the next one is tried only if connecting to the previous
        one failed.
    pipeline : str
        Pipeline to call.
    body : dict
        Request body, to which a request id is added.
    """

    at_s: float
    addresses: tuple[str, ...]
    pipeline: str
    body: dict[str, Any]


@dataclass(frozen=True)
class GeneratorPlan:
    """The calls of one generator.

    Parameters
    ----------
    start_at : float
        Start of the run on the monotonic clock, which all processes share, in seconds.
    threads : int
        Maximum number of calls in flight.
    calls : tuple of PlannedCall
        Calls, sorted by intended time.
    """

    start_at: float
    threads: int
    calls: tuple[PlannedCall, ...]


@dataclass(frozen=True)
class CallRecord:
    """The result of one call.

    Parameters
    ----------
    number : int
        Index of the call in its plan.
    request_id : str
        Request id that it was sent with.
    late_s : float
        Delay of sending after the intended time, in seconds.
    seconds : float
        Time from the intended sending to the end of the answer, in seconds.
    status : int
        HTTP status, 0 without a valid response.
    code : int
        Result code of a failure, 0 without one.
    output : str
        Output of the pipeline; empty unless the answer is complete.
    run_state : str
        `run_state` of the problem document: whether the request was executed. Empty
        without one.
    stages : tuple of dict
        Reports of the stages.
    """

    number: int
    request_id: str
    late_s: float
    seconds: float
    status: int
    code: int = 0
    output: str = ""
    run_state: str = ""
    stages: tuple[dict[str, Any], ...] = field(default_factory=tuple)


class Generator:
    """Sends the calls of a plan at their intended times, from a pool of threads.

    Parameters
    ----------
    plan : GeneratorPlan
        What to send.
    """

    def __init__(self, plan: GeneratorPlan) -> None:
        self._plan = plan
        self._caller = Caller(["127.0.0.1:1"])
        self._lock = threading.Lock()
        self._next_number = 0
        self._records: list[CallRecord] = []

    def run(self) -> list[CallRecord]:
        """Send all calls and return their records in the order of the plan."""
        threads = []
        for _ in range(min(self._plan.threads, len(self._plan.calls))):
            thread = threading.Thread(target=self._send_calls, daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        return sorted(self._records, key=lambda record: record.number)

    def _send_calls(self) -> None:
        while True:
            with self._lock:
                number = self._next_number
                self._next_number += 1
            if number >= len(self._plan.calls):
                return
            record = self._send(number, self._plan.calls[number])
            with self._lock:
                self._records.append(record)

    def _send(self, number: int, call: PlannedCall) -> CallRecord:
        intended_at = self._plan.start_at + call.at_s
        time.sleep(max(0.0, intended_at - time.monotonic()))
        late_s = time.monotonic() - intended_at
        request_id = str(uuid6.uuid7())
        body = {**call.body, "request_id": request_id}
        timeout_s = body["deadline_ms"] / 1000 + ANSWER_TIMEOUT_MARGIN_S
        for address in call.addresses:
            outcome = self._caller.call(call.pipeline, body, address, timeout_s)
            if not _failed_to_connect(outcome):
                break
        problem = outcome.problem or {}
        return CallRecord(
            number,
            request_id,
            late_s,
            time.monotonic() - intended_at,
            outcome.status,
            outcome.code,
            outcome.output if outcome.ok else "",
            str(problem.get("run_state", "")),
            outcome.stages,
        )


def _failed_to_connect(outcome: CallOutcome) -> bool:
    title = str((outcome.problem or {}).get("title", ""))
    return outcome.status == 0 and title.startswith(CONNECT_ERRORS)


def run(arguments: Sequence[str] | None = None) -> int:
    """Send the calls of a plan file and write their records as JSON."""
    parser = argparse.ArgumentParser(description=run.__doc__)
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--records", type=Path, required=True)
    options = parser.parse_args(arguments)
    plan = msgspec.json.decode(options.plan.read_bytes(), type=GeneratorPlan)
    records = Generator(plan).run()
    options.records.write_bytes(msgspec.json.encode(records))
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("CallRecord", "Generator", "GeneratorPlan", "PlannedCall", "run")
