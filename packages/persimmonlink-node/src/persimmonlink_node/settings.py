"""Settings of the daemon, read from a JSON file with comments."""

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
    """Addresses and ports that the daemon listens on.

    Parameters
    ----------
    address : str
        IP address of this entry VM.
    http_port : int
        TCP port for callers and operators.
    peer_port : int
        TCP port for peers.
    advertised_peer_port : int or None
        Port that is advertised to peers, if it differs from `peer_port`.
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
        `IP:PORT` of each instance of the service; only the first is used.
    """

    addresses: Annotated[tuple[Address, ...], Meta(min_length=1)]


@dataclass(frozen=True)
class VmListSettings:
    """The platform's VM list.

    Parameters
    ----------
    address : str
        `IP:PORT` of the service that returns the list.
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
        Requests that are served concurrently; more are refused immediately.
    max_body_bytes : int
        Largest request body in bytes.
    kept_result_bytes : int
        Maximum bytes of results that are kept for retries.
    retry_horizon_s : float
        Age in seconds up to which a request id may be retried.
    clock_skew_s : float
        Seconds that a caller's clock may differ from the node's.
    chunk_coalesce_ms : int
        Minimum time between two writes of streamed text, in milliseconds.
    retry_budget : float
        Retries that each successful call to a backend server adds to the node's
        retry budget.
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
    """Entry answers, which list the entry VMs that callers may use.

    Parameters
    ----------
    ttl_s : float
        Seconds for which callers may cache an answer.
    """

    ttl_s: PositiveFloat = 5.0


@dataclass(frozen=True)
class MembershipSettings:
    """Heartbeats between nodes.

    Parameters
    ----------
    fan_out : int
        Peers that a node sends heartbeats to in a cluster of at most
        `2 * fan_out + 1` nodes, where all nodes exchange heartbeats directly.
    far_fan_out : int
        Peers that a node sends heartbeats to in a larger cluster.
    interval_s : float
        Seconds between two heartbeats to a peer.
    digests_per_message : int
        Minimum number of third nodes described in a heartbeat of a larger cluster.
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
        Newest schema version that the node supports; lower it to test a schema
        rollout.
    """

    max_version: PositiveInt = CURRENT_SCHEMA_VERSION


@dataclass(frozen=True)
class ConfigurationSettings:
    """How the node receives configuration records.

    Parameters
    ----------
    watchers : int
        Nodes of the cluster that hold a watch on the key-value service.
    exchange_interval_s : float
        Seconds between two rounds of comparisons with peers.
    """

    watchers: PositiveInt = 2
    exchange_interval_s: PositiveFloat = 1.0


@dataclass(frozen=True)
class MetricsSettings:
    """The statsd server that metrics are sent to.

    Parameters
    ----------
    statsd_host : str
        IP address of the statsd server.
    statsd_port : int
        UDP port of the statsd server.
    """

    statsd_host: IpAddress = "127.0.0.1"
    statsd_port: Port = 8125


@dataclass(frozen=True)
class LogSettings:
    """Format and level of the log.

    Parameters
    ----------
    json : bool
        Whether each line is a JSON object.
    level : str
        Least severe level that is logged.
    """

    json: bool = False
    level: LogLevel = "INFO"


@dataclass(frozen=True)
class Settings:
    """All settings of a daemon."""

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
    """Read and validate settings from a file.

    Parameters
    ----------
    path : Path
        A JSON file, which may contain comments.

    Returns
    -------
    Result of Settings
        Fails with all faults found, each with its path in the file.
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
