"""Settings that choose and tune policies, each with its baselines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from persimmonlink_model.record import PositiveFloat, PositiveInt


class GranterName(StrEnum):
    """How slots on backend servers are granted."""

    COORDINATED = "coordinated"
    STATIC = "static"
    POWER_OF_TWO = "power_of_two"
    LEAST_REPORTED_LOAD = "least_reported_load"


class QueueName(StrEnum):
    """How waiting requests are ordered."""

    FAIR = "fair"
    FIFO = "fifo"


class AdmissionName(StrEnum):
    """How long stages may wait."""

    PREDICTIVE = "predictive"
    PATIENT = "patient"


class ChooserName(StrEnum):
    """How a server is chosen among those with free slots."""

    AFFINITY = "affinity"
    MOST_FREE = "most_free"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class ClaimMode(StrEnum):
    """How request ids are claimed."""

    LOG = "log"
    KEY_PER_CLAIM = "key_per_claim"


@dataclass(frozen=True)
class PolicySettings:
    """Policies, each by name, so that baselines can be run.

    Parameters
    ----------
    granter : GranterName
        How slots are granted.
    line : QueueName
        How waiting requests are ordered.
    chooser : ChooserName
        How a server is chosen.
    admission : AdmissionName
        How long stages may wait.
    """

    granter: GranterName = GranterName.COORDINATED
    line: QueueName = QueueName.FAIR
    chooser: ChooserName = ChooserName.AFFINITY
    admission: AdmissionName = AdmissionName.PREDICTIVE


@dataclass(frozen=True)
class ClaimSettings:
    """Claims of request ids that may not be run twice.

    Parameters
    ----------
    mode : ClaimMode
        How ids are claimed.
    shards : int
        Logs that ids are spread over; must be the same at all nodes.
    appends_per_s : float
        Appends a second and shard, which bound the writes whatever the load.
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
        Life of a grant; the same at all nodes.
    ask_interval_s : float
        Time between two requests of a node that got fewer slots than it wants.
    idle_interval_s : float
        Time between two requests of a node that got enough; less than half of the
        life of a grant.
    poll_interval_s : float
        Time between two reads of a server's load report.
    report_lag_s : float
        Longest lag of load reports.
    longest_request_s : float
        Longest time that a request of a node that has gone may still run.
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
