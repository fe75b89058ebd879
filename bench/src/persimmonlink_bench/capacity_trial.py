"""Entry point of the capacity measurements that docs/CAPACITY.md is derived from."""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from persimmonlink_bench.capacity_control import ControlSize, measure_control
from persimmonlink_bench.capacity_memory import (
    measure_idle_memory,
    measure_kept_memory,
    measure_running_memory,
)
from persimmonlink_bench.capacity_requests import (
    derive_costs,
    measure_overhead,
    measure_requests,
)
from persimmonlink_bench.capacity_table import Table
from persimmonlink_bench.scenario import Policy, read_policies

if TYPE_CHECKING:
    from collections.abc import Sequence

WINDOW_S = 8.0
DEFAULT_POLICY = "default"
PROGRAM = "python -m persimmonlink_bench.capacity_trial"
DEFAULT_OUT = Path("docs") / "measurements" / "capacity"
EXAMPLES = f"""\
examples:
  {PROGRAM} control-nodes
  {PROGRAM} control-servers --sizes 17 100 400 --policy ours
  {PROGRAM} overhead --sizes 0 30
"""


@dataclass(frozen=True)
class Measurement:
    """One measurement that the command line offers.

    Parameters
    ----------
    about : str
        What it measures and how.
    size_column : str
        Column of the table that holds the size; empty if nothing is fitted.
    sizes : tuple of int
        Sizes that are measured unless `--sizes` gives others.
    """

    about: str
    size_column: str
    sizes: tuple[int, ...]


CONTROL = (
    "Nodes that serve no requests, with Trentside's stand-ins; means over the nodes. "
    "Processor time (percent of a core) and memory are from /proc. Bytes are those "
    "passed to and received from the kernel over TCP, both directions added, without "
    "TCP/IP headers, in a second run on nodes that count them. Key-value calls are "
    "counted by the stand-in for all nodes together; open watches are counted "
    "separately."
)
MEASUREMENT_BY_NAME = {
    "control-nodes": Measurement(CONTROL, "nodes", (2, 4, 8, 12)),
    "control-servers": Measurement(
        f"{CONTROL} Two nodes; servers beyond 17 are additional VM list entries for "
        "the same 17 stand-ins.",
        "servers",
        (17, 100, 400),
    ),
    "control-accounts": Measurement(
        f"{CONTROL} Two nodes; accounts are records in the key-value service.",
        "accounts",
        (5, 640, 6400),
    ),
    "control-pools": Measurement(
        f"{CONTROL} Four nodes; a pool is a service in a failure domain. The sizes are "
        "copies of Trentside's five services under other names, in three domains.",
        "pools",
        (1, 4, 12),
    ),
    "requests": Measurement(
        "One node, stand-ins with 5 ms per plain call and 4 ms per token; evenly "
        "spaced requests for 6 s per row. Processor time per request is the node's, "
        "minus its idle processor time.",
        "",
        (30, 90),
    ),
    "streams": Measurement("As `requests`, with streamed answers.", "", (10, 25)),
    "memory-idle": Measurement(
        "Resident memory of bare Python, of Python with the daemon imported, and of an "
        "idle node.",
        "",
        (1,),
    ),
    "memory-running": Measurement(
        "Resident memory of one node while its requests wait for a stage of 5 s.",
        "running",
        (1, 40, 80, 110),
    ),
    "memory-kept": Measurement(
        "Resident memory of one node after a number of answers to inputs of about 210 "
        "bytes; answers, traces and histograms are kept.",
        "answered",
        (100, 1000, 2000, 4000),
    ),
    "overhead": Measurement(
        "One node, three plain stages of 5 ms; requests through the node alternate "
        "with direct calls of the same stages in sequence, under a background load of "
        "further requests.",
        "background_requests_per_s",
        (0, 30),
    ),
}


def run(arguments: Sequence[str] | None = None) -> int:
    """Run one measurement and write its table; return the exit code."""
    options = _parse_arguments(arguments)
    policy = read_policies().unwrap().get(options.policy)
    if policy is None:
        print(f"unknown policy {options.policy}", file=sys.stderr)
        return 2
    measurement = MEASUREMENT_BY_NAME[options.measurement]
    sizes = list(options.sizes or measurement.sizes)
    command_words = [
        PROGRAM,
        options.measurement,
        "--policy",
        options.policy,
        "--sizes",
    ]
    command = " ".join([*command_words, *(str(size) for size in sizes)])
    name = options.measurement
    if options.policy != DEFAULT_POLICY:
        name += f"-{options.policy}"
    table = Table(name, measurement.about, measurement.size_column, command)
    _fill_table(table, options.measurement, sizes, policy)
    table.write(options.out)
    print(table.to_markdown())
    return 0


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Measure a slope for docs/CAPACITY.md.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("measurement", choices=list(MEASUREMENT_BY_NAME))
    parser.add_argument("--sizes", type=int, nargs="+", help="sizes to measure")
    parser.add_argument(
        "--policy", default=DEFAULT_POLICY, help="name in policies.json"
    )
    parser.add_argument("--out", type=Path, default=DEFAULT_OUT)
    return parser.parse_args(arguments)


def _fill_table(table: Table, name: str, sizes: list[int], policy: Policy) -> None:
    if name == "memory-idle":
        table.rows.append(measure_idle_memory())
        return
    if name == "memory-running":
        table.rows += measure_running_memory(policy, sizes)
        return
    if name == "memory-kept":
        table.rows += measure_kept_memory(policy, sizes)
        return
    for size in sizes:
        if name == "control-nodes":
            table.rows.append(measure_control(ControlSize(size), policy, WINDOW_S))
        elif name == "control-servers":
            control_size = ControlSize(servers=size)
            table.rows.append(measure_control(control_size, policy, WINDOW_S))
        elif name == "control-accounts":
            control_size = ControlSize(accounts=size)
            table.rows.append(measure_control(control_size, policy, WINDOW_S))
        elif name == "control-pools":
            control_size = ControlSize(nodes=4, service_copies=size)
            table.rows.append(measure_control(control_size, policy, WINDOW_S))
        elif name == "overhead":
            table.rows.append(measure_overhead(policy, 200, size))
        else:
            is_stream = name == "streams"
            table.rows += measure_requests(policy, size, 6.0, stream=is_stream)
            table.derived = derive_costs(table.rows)


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("run",)
