"""Counts how often a sound request is held back, for each number of ends that does so.

One request comes again and again beside other traffic, while servers end for other
reasons, some of them several at once. Responses to it are known 0.2 s after they came,
as reports between nodes take.

    python -m persimmonlink_bench.request_evidence_trial
"""

from __future__ import annotations

import argparse
import random
from dataclasses import dataclass

from persimmonlink_router import crash_evidence
from persimmonlink_router.crash_evidence import CrashEvidence, ServerEnd

SERVERS = 12
DURATION_S = 600.0
RUN_S = 0.1  # Time for which a request runs, in which an end of its server hits it.
REPORT_DELAY_S = 0.2  # Time until a response is known where ends are counted.
STEP_S = 0.01
MAX_ENDS_AT_ONCE = 4
REQUEST = "request:sound"


@dataclass(frozen=True)
class Load:
    """Rates of one run, in events a second.

    Parameters
    ----------
    requests_per_s : float
        Times that the request comes.
    ends_per_s : float
        Moments at which servers end for other reasons.
    """

    requests_per_s: float
    ends_per_s: float


def count_wrong_holds(load: Load, threshold: int, seed: int) -> int:
    """Return how often the request would have been held back in one run."""
    crash_evidence.ENDS_TO_HOLD_REQUEST = threshold
    rng = random.Random(seed)
    evidence = CrashEvidence()
    running: list[tuple[float, int, float]] = []
    served: list[float] = []
    wrong = 0
    number = 0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        if rng.random() < load.requests_per_s * STEP_S:
            running.append((now + RUN_S, rng.randrange(SERVERS), now))
        if rng.random() < load.ends_per_s * STEP_S:
            ended = rng.sample(range(SERVERS), rng.randint(1, MAX_ENDS_AT_ONCE))
            for entry in [entry for entry in running if entry[1] in ended]:
                running.remove(entry)
                number += 1
                end = ServerEnd(f"s{number}", frozenset([REQUEST]), now, entry[2])
                evidence.record_end(end, now)
                # It is repeated at once at another server.
                running.append((now + RUN_S, rng.randrange(SERVERS), now))
        done = [entry for entry in running if entry[0] <= now]
        running = [entry for entry in running if entry[0] > now]
        served += [entry[0] for entry in done]
        while served and served[0] + REPORT_DELAY_S <= now:
            evidence.record_served(REQUEST, served.pop(0))
        if evidence.has_candidates and evidence.judge(now):
            wrong += 1
            evidence.forget([REQUEST])
    return wrong


def main() -> None:
    """Print wrong holds in an hour for each load and threshold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=12)
    runs = parser.parse_args().runs
    print("| the request comes | servers end | 2 ends | 3 ends | 4 ends |")
    print("| --- | --- | --- | --- | --- |")
    for requests_per_s in (0.2, 1.0, 5.0, 20.0):
        for ends_per_s in (0.1, 1.0, 3.0):
            load = Load(requests_per_s, ends_per_s)
            cells = []
            for threshold in (2, 3, 4):
                wrong = sum(count_wrong_holds(load, threshold, s) for s in range(runs))
                cells.append(f"{wrong * 3600 / DURATION_S / runs:.2f}")
            row = " | ".join(cells)
            print(f"| {requests_per_s} a second | {ends_per_s} a second | {row} |")


if __name__ == "__main__":
    main()
