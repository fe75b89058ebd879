"""What the logs and metrics of both builds say of each other's messages."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Collection

    from tests.upgrade.node import Node

# Events of errors that no message or entry of another build may cause.
ERROR_EVENTS = (
    "store.entry_invalid",
    "task.failed",
    "connection.failed",
    "process.reload_rejected",
    "process.stop_step_failed",
    "request.internal_error",
    "store.item_failed",
    "timer.failed",
)
# A node that stood still by itself was busy for so much of the time.
MIN_BUSY_SHARE = 0.5
MIN_FREEZE_S = 0.5  # Time from which a node that was not run counts as frozen.
# Two lines of the same standstill are logged within this time, and as far apart in what
# they say of its length.
SAME_STANDSTILL_S = 0.2
# Part of the line of a message that could not be decoded, at either end.
INVALID_TEXTS = ("rejected peer message", "INVALID_ARGUMENT")
# What a build without `grpc_channel.py` raises as a peer resets a new connection.
RESET_ERROR = "AttributeError(\"'Connection' object has no attribute '_transport'\")"


def list_log_faults(
    nodes: list[Node], builds_failing_at_resets: Collection[str]
) -> list[str]:
    """Return the errors in the logs, and counts of rejected messages.

    Parameters
    ----------
    nodes : list of Node
        Nodes with the logs of all their processes.
    builds_failing_at_resets : collection of str
        Builds whose errors at a connection that a peer resets are left out.
    """
    faults = []
    for node in nodes:
        for incarnation in node.incarnations:
            name = incarnation.log_path.name
            if incarnation.invalid_messages:
                faults.append(f"{name}: {incarnation.invalid_messages} invalid")
            lines = [line for line in incarnation.read_log() if _is_error(line)]
            if incarnation.build in builds_failing_at_resets:
                lines = [line for line in lines if not failed_at_reset(line)]
            if lines:
                faults.append(f"{name}: {len(lines)} errors, first {lines[0]}")
    return faults


def failed_at_reset(line: dict[str, Any]) -> bool:
    """Whether a line tells that a call failed at a connection that a peer reset."""
    return line["event"] == "task.failed" and line["exception"] == RESET_ERROR


def was_not_run(line: dict[str, Any]) -> bool:
    """Whether a line tells of a time in which the machine did not run the node."""
    if line["event"] != "process.stalled":
        return False
    return bool(line["processor_s"] < line["lag_s"] * MIN_BUSY_SHARE)


def tells_of_machine(line: dict[str, Any], lines: list[dict[str, Any]]) -> bool:
    """Whether a line of a log only tells that the machine did not run the node."""
    if line["event"] != "process.suspended":
        return was_not_run(line)
    return any(
        was_not_run(other)
        and abs(line["boot_s"] - other["boot_s"]) < SAME_STANDSTILL_S
        and abs(line["gap_s"] - other["lag_s"]) < SAME_STANDSTILL_S
        for other in lines
    )


def was_node_not_run(node: Node, since: float) -> bool:
    """Whether the machine did not run a node for a time after a Unix time."""
    lines = node.incarnations[-1].read_log()
    return any(
        line["time"] >= since and was_not_run(line) and line["lag_s"] >= MIN_FREEZE_S
        for line in lines
    )


def _is_error(line: dict[str, Any]) -> bool:
    """Whether a line tells of a message or entry that could not be taken."""
    event = str(line["event"])
    return event in ERROR_EVENTS or any(text in event for text in INVALID_TEXTS)


def list_type_faults(nodes: list[Node], old: str, new: str) -> list[str]:
    """Return the fields of events whose JSON types differ between the builds."""
    kinds: dict[tuple[str, str, str], set[str]] = defaultdict(set)
    for node in nodes:
        for incarnation in node.incarnations:
            for line in incarnation.read_log():
                for name, value in line.items():
                    if value is not None:
                        key = (incarnation.build, str(line["event"]), name)
                        kinds[key].add(_name_kind(value))
    faults = []
    for (build, event, name), old_kinds in sorted(kinds.items()):
        if build != old:
            continue
        new_kinds = kinds.get((new, event, name))
        if new_kinds and old_kinds.isdisjoint(new_kinds):
            faults.append(f"{event}: {name}: {old_kinds} became {new_kinds}")
    return faults


def _name_kind(value: Any) -> str:
    """Return the JSON type of a value."""
    if isinstance(value, bool):
        return "boolean"
    if isinstance(value, int | float):
        return "number"
    return type(value).__name__


__all__ = (
    "failed_at_reset",
    "list_log_faults",
    "list_type_faults",
    "tells_of_machine",
    "was_node_not_run",
    "was_not_run",
)
