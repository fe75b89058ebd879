"""Settings of the daemon, read from JSON with comments."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

import jsonc
from msgspec import Meta
from returns.result import Failure as Err
from returns.result import Result

from persimmonlink_model.record import (
    CURRENT_SCHEMA_VERSION,
    PositiveFloat,
    PositiveInt,
)
from persimmonlink_model.validation import Fault, validate
from persimmonlink_node.policy_settings import (
    AdmissionName,
    ChooserName,
    ClaimMode,
    ClaimSettings,
    GranterName,
    GrantSettings,
    PolicySettings,
    QueueName,
)

if TYPE_CHECKING:
    from pathlib import Path

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
IpAddress = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
Port = Annotated[int, Meta(gt=0, lt=65536)]
NodeName = Annotated[str, Meta(min_length=1, max_length=60, pattern=r"^[a-z0-9.-]+$")]
LogLevel = Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")]


@dataclass(frozen=True)
class ListenSettings:
    """Where the daemon listens.

    Parameters
    ----------
    address : str
        IP number of this entry VM.
    http_port : int
        Port for callers and operators.
    peer_port : int
        Port for peers.
    advertised_peer_port : int or None
        Port that peers are told to use, where it differs from `peer_port`.
    """

    address: IpAddress
    http_port: Port
    peer_port: Port
    advertised_peer_port: Port | None = None


@dataclass(frozen=True)
class KeyValueSettings:
    """The platform's key-value service.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of the service; the first is used.
    """

    addresses: Annotated[tuple[Address, ...], Meta(min_length=1)]


@dataclass(frozen=True)
class VmListSettings:
    """The platform's VM list.

    Parameters
    ----------
    address : str
        Address of the list.
    interval_s : float
        Seconds between two reads.
    """

    address: Address
    interval_s: PositiveFloat = 0.5


@dataclass(frozen=True)
class LimitSettings:
    """Limits of the request path.

    Parameters
    ----------
    request_threads : int
        Requests served at once; more are refused at once.
    max_body_bytes : int
        Largest body of a request.
    kept_result_bytes : int
        Bytes of kept answers.
    retry_horizon_s : float
        Age up to which a request id may be retried, in seconds.
    clock_skew_s : float
        Seconds that a caller's clock may differ.
    chunk_coalesce_ms : int
        Streamed text is written at most this often, in milliseconds.
    retry_budget : float
        Retries per first call that a node may send.
    """

    request_threads: PositiveInt = 200
    max_body_bytes: PositiveInt = 1_048_576
    kept_result_bytes: PositiveInt = 8_000_000
    retry_horizon_s: PositiveFloat = 600.0
    clock_skew_s: PositiveFloat = 30.0
    chunk_coalesce_ms: Annotated[int, Meta(ge=0)] = 20
    retry_budget: Annotated[float, Meta(ge=0, le=1)] = 0.05


@dataclass(frozen=True)
class EntrySettings:
    """The answer that tells callers which entry VMs to use.

    Parameters
    ----------
    ttl_s : float
        Seconds for which callers may keep the answer.
    """

    ttl_s: PositiveFloat = 5.0


@dataclass(frozen=True)
class MembershipSettings:
    """Heartbeats between nodes.

    Parameters
    ----------
    fan_out : int
        Peers that a node sends heartbeats to in a fleet of at most twice as many and
        one, where all nodes hear each other directly.
    far_fan_out : int
        Peers that a node sends heartbeats to in a larger fleet.
    interval_s : float
        Seconds between two heartbeats to a peer.
    digests_per_message : int
        Other nodes that a heartbeat tells of where not all hear each other.
    """

    fan_out: PositiveInt = 4
    far_fan_out: PositiveInt = 2
    interval_s: PositiveFloat = 0.5
    digests_per_message: PositiveInt = 1


@dataclass(frozen=True)
class SchemaSettings:
    """The schema of configuration records.

    Parameters
    ----------
    max_version : int
        Newest schema that the node knows; lower it to try a roll.
    """

    max_version: PositiveInt = CURRENT_SCHEMA_VERSION


@dataclass(frozen=True)
class ConfigurationSettings:
    """How configuration records reach the node.

    Parameters
    ----------
    watchers : int
        Nodes of the cluster that hold a watch on the key-value service.
    exchange_interval_s : float
        Seconds between two comparisons with peers.
    """

    watchers: PositiveInt = 2
    exchange_interval_s: PositiveFloat = 1.0


@dataclass(frozen=True)
class MetricsSettings:
    """Where metrics are sent.

    Parameters
    ----------
    statsd_host : str
        IP number of the statsd server.
    statsd_port : int
        UDP port of the statsd server.
    """

    statsd_host: IpAddress = "127.0.0.1"
    statsd_port: Port = 8125


@dataclass(frozen=True)
class LogSettings:
    """What is logged.

    Parameters
    ----------
    json : bool
        Whether each line is a JSON object.
    level : str
        Least level.
    """

    json: bool = False
    level: LogLevel = "INFO"


@dataclass(frozen=True)
class Settings:
    """All settings of one daemon."""

    node_id: NodeName
    domain: NodeName
    listen: ListenSettings
    key_value: KeyValueSettings
    vm_list: VmListSettings
    limits: LimitSettings = field(default_factory=LimitSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    policy: PolicySettings = field(default_factory=PolicySettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    schema: SchemaSettings = field(default_factory=SchemaSettings)
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)
    grants: GrantSettings = field(default_factory=GrantSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    log: LogSettings = field(default_factory=LogSettings)


def read_settings(path: Path) -> Result[Settings, tuple[Fault, ...]]:
    """Read settings from a file.

    Parameters
    ----------
    path : Path
        A file of JSON with comments.

    Returns
    -------
    Result of Settings
        Fails with every fault found, each with its path in the file.
    """
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err((Fault("", str(error)),))
    return validate(raw, Settings)


__all__ = (
    "AdmissionName",
    "ChooserName",
    "ClaimMode",
    "ClaimSettings",
    "GrantSettings",
    "GranterName",
    "QueueName",
    "Settings",
    "read_settings",
)
