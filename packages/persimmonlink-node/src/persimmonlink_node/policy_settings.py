"""Settings that select policies and configure claims and grants."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from persimmonlink_model.record import PositiveFloat, PositiveInt


class GranterName(StrEnum):
    """How slots on backend servers are granted; all but `COORDINATED` are baselines."""

    COORDINATED = "coordinated"
    STATIC = "static"
    POWER_OF_TWO = "power_of_two"
    LEAST_REPORTED_LOAD = "least_reported_load"


class QueueName(StrEnum):
    """Order in which queued requests get slots; `FIFO` is a baseline."""

    FAIR = "fair"
    FIFO = "fifo"


class AdmissionName(StrEnum):
    """How long a stage may wait for a slot; `PATIENT` is a baseline."""

    PREDICTIVE = "predictive"
    PATIENT = "patient"


class ChooserName(StrEnum):
    """How a server is chosen among those with free slots.

    `RANDOM` and `ROUND_ROBIN` are baselines.
    """

    AFFINITY = "affinity"
    MOST_FREE = "most_free"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class ClaimMode(StrEnum):
    """How request ids are claimed: in sharded logs, or with one key per claim."""

    LOG = "log"
    KEY_PER_CLAIM = "key_per_claim"


@dataclass(frozen=True)
class PolicySettings:
    """Names of the policies in use, so that benchmarks can select baselines.

    Parameters
    ----------
    granter : GranterName
        How slots are granted.
    line : QueueName
        Order in which queued requests get slots.
    chooser : ChooserName
        How a server is chosen among those with free slots.
    admission : AdmissionName
        How long a stage may wait for a slot.
    """

    granter: GranterName = GranterName.COORDINATED
    line: QueueName = QueueName.FAIR
    chooser: ChooserName = ChooserName.AFFINITY
    admission: AdmissionName = AdmissionName.PREDICTIVE


@dataclass(frozen=True)
class ClaimSettings:
    """Claims of request ids, which keep a request from running twice.

    Parameters
    ----------
    mode : ClaimMode
        How ids are claimed.
    shards : int
        Number of logs that ids are distributed over; must be the same on all nodes.
    appends_per_s : float
        Maximum appends per second and shard, which bounds the write rate at any load.
    """

    mode: ClaimMode = ClaimMode.LOG
    shards: PositiveInt = 8
    appends_per_s: PositiveFloat = 6.0


@dataclass(frozen=True)
class GrantSettings:
    """Grants of slots on backend servers; times in seconds.

    Parameters
    ----------
    ttl_s : float
        Lifetime of a grant; must be the same on all nodes.
    ask_interval_s : float
        Time between slot requests of a node that was granted fewer slots than it
        needs.
    idle_interval_s : float
        Time between slot requests of a node that was granted enough; less than half
        of the lifetime of a grant.
    poll_interval_s : float
        Time between two polls of a server's load report.
    report_lag_s : float
        Maximum lag of load reports.
    longest_request_s : float
        Maximum time that requests of a failed node may still run on the servers.
    """

    ttl_s: PositiveFloat = 1.0
    ask_interval_s: PositiveFloat = 0.3
    idle_interval_s: PositiveFloat = 0.45
    poll_interval_s: PositiveFloat = 0.25
    report_lag_s: PositiveFloat = 1.0
    longest_request_s: PositiveFloat = 5.0


__all__ = (
    "AdmissionName",
    "ChooserName",
    "ClaimMode",
    "ClaimSettings",
    "GrantSettings",
    "GranterName",
    "PolicySettings",
    "QueueName",
)
