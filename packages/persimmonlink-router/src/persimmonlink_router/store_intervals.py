"""Intervals of the calls to the store, each derived from the one that it rests on."""

from __future__ import annotations

# Time that a watch waits for a change. Servers write more often, so a watch that takes
# longer has a broken connection.
WATCH_WAIT_S = 2.0
WATCH_PAUSE_S = 0.3  # Pause between two watch calls, in which changes accumulate.
# Longest pause in a large cluster; the specification allows a drain 2 s or more to
# take effect.
MAX_WATCH_PAUSE_S = 1.0
SMALL_CLUSTER_NODES = 24  # Largest cluster with the shortest pause.
WATCH_LATENCY_S = (
    0.5  # Longest time of a call, and of its way to a node, at most times.
)

# Reads beside the watches that all nodes may make together: half of what a store of the
# smallest kind sustains.
MAX_EXTRA_READS_PER_S = 1000


def choose_watch_pause_s(nodes: int) -> float:
    """Return the pause between two watch calls, in seconds.

    It grows with the cluster up to `MAX_WATCH_PAUSE_S`, so that the call rate of all
    nodes together grows less than the cluster.
    """
    return min(MAX_WATCH_PAUSE_S, WATCH_PAUSE_S * max(1.0, nodes / SMALL_CLUSTER_NODES))


def choose_outage_interval_s(nodes: int) -> float:
    """Return the interval of calls while the store fails them, in seconds.

    It is that of the watches while nothing changes, so that an outage costs no more.
    """
    return WATCH_WAIT_S + choose_watch_pause_s(nodes)


def choose_extra_read_interval_s(nodes: int) -> float:
    """Return the shortest interval of a node's reads beside its watch, in seconds."""
    return nodes / MAX_EXTRA_READS_PER_S


def choose_echo_time_s(nodes: int) -> float:
    """Return the time in which all nodes have seen a write to the store, in seconds.

    The write itself may wait for the pause of its writer, too.
    """
    return 2 * choose_watch_pause_s(nodes) + WATCH_LATENCY_S


__all__ = (
    "WATCH_LATENCY_S",
    "WATCH_WAIT_S",
    "choose_echo_time_s",
    "choose_extra_read_interval_s",
    "choose_outage_interval_s",
    "choose_watch_pause_s",
)
