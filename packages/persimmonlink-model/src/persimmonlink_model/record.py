"""Configuration records and their specifications."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta

CURRENT_SCHEMA_VERSION = 1

Name = Annotated[
    str, Meta(min_length=1, max_length=100, pattern=r"^[a-z0-9][a-z0-9.-]*$")
]
PositiveInt = Annotated[int, Meta(gt=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]


class RecordKind(StrEnum):
    """Kinds of configuration record."""

    ACCOUNT = "account"
    DOMAIN = "domain"
    PIPELINE = "pipeline"
    SERVICE = "service"


class ServiceKind(StrEnum):
    """Protocol of a service's servers."""

    ENGINE = "engine"
    PLAIN = "plain"


class DomainState(StrEnum):
    """Whether a failure domain accepts new work."""

    IN_SERVICE = "in_service"
    DRAINED = "drained"


@dataclass(frozen=True)
class AccountSpec:
    """Client account: its weight and limits.

    Parameters
    ----------
    weight : float
        Share of a contended pool, relative to other accounts.
    max_queued : int
        Limit of its requests that wait at one node.
    """

    weight: PositiveFloat = 1.0
    max_queued: PositiveInt = 200


@dataclass(frozen=True)
class StageSpec:
    """One stage of a pipeline.

    Parameters
    ----------
    name : str
        Name of the stage within its pipeline.
    service : str
        Service whose servers run the stage.
    repeatable : bool
        Whether calls are idempotent, so that one may be sent again.
    max_tokens : int
        Limit of the tokens that an engine generates; ignored by plain services.
    prompt_prefix : str
        Text prepended to the input of the stage, such as an engine's instructions.
    """

    name: Name
    service: Name
    repeatable: bool = True
    max_tokens: PositiveInt = 16
    prompt_prefix: str = ""


@dataclass(frozen=True)
class PipelineSpec:
    """Sequence of stages under one deadline.

    Parameters
    ----------
    stages : tuple of StageSpec
        Stages in the order in which they run.
    deadline_ms : int
        Default deadline of a request, in milliseconds.
    priority : int
        Default priority of a request; smaller values run first.
    """

    stages: Annotated[tuple[StageSpec, ...], Meta(min_length=1, max_length=8)]
    deadline_ms: PositiveInt = 2000
    priority: int = 1


@dataclass(frozen=True)
class ServiceSpec:
    """Group of equivalent backend servers.

    Parameters
    ----------
    kind : ServiceKind
        Protocol of the servers.
    warm_slots : int
        Limit of requests in flight on a warm server.
    cold_slots : int
        Limit of requests in flight on a cold server.
    warm_after : int
        Completions after which a cold server without load reports starts to ramp up.
    reports_load : bool
        Whether the servers answer `GET /load`.
    checks_fencing : bool
        Whether the servers reject orders with an outdated fencing token.
    first_byte_timeout_ms : int
        Timeout for the first byte of an answer, in milliseconds.
    chunk_timeout_ms : int
        Timeout between two chunks of an answer, in milliseconds.
    """

    kind: ServiceKind
    warm_slots: PositiveInt = 8
    cold_slots: PositiveInt = 1
    warm_after: PositiveInt = 8
    reports_load: bool = True
    checks_fencing: bool = False
    first_byte_timeout_ms: PositiveInt = 2000
    chunk_timeout_ms: PositiveInt = 1000


@dataclass(frozen=True)
class DomainSpec:
    """State of a failure domain.

    Parameters
    ----------
    state : DomainState
        Whether the domain accepts new work.
    """

    state: DomainState = DomainState.IN_SERVICE


Spec = AccountSpec | DomainSpec | PipelineSpec | ServiceSpec

SPEC_TYPE_BY_KIND: dict[RecordKind, type] = {
    RecordKind.ACCOUNT: AccountSpec,
    RecordKind.DOMAIN: DomainSpec,
    RecordKind.PIPELINE: PipelineSpec,
    RecordKind.SERVICE: ServiceSpec,
}


@dataclass(frozen=True)
class Record:
    """Configuration record as stored.

    Parameters
    ----------
    kind : RecordKind
        Kind of the configured object.
    name : str
        Name, unique within the kind.
    schema_version : int
        Schema version of the specification.
    change_id : str
        Id of the change that wrote the record.
    revision : int
        Key-value revision of the write; 0 if not written yet.
    spec : dict
        Specification as written, including unknown fields.
    deleted : bool
        Whether the record was deleted at its revision.
    """

    kind: RecordKind
    name: Name
    schema_version: int
    change_id: str
    revision: int = 0
    spec: dict[str, Any] = field(default_factory=dict)
    deleted: bool = False

    @property
    def path(self) -> str:
        """`KIND/NAME`, unique among records."""
        return f"{self.kind.value}/{self.name}"


__all__ = (
    "CURRENT_SCHEMA_VERSION",
    "SPEC_TYPE_BY_KIND",
    "AccountSpec",
    "DomainSpec",
    "DomainState",
    "PipelineSpec",
    "PositiveFloat",
    "PositiveInt",
    "Record",
    "RecordKind",
    "ServiceKind",
    "ServiceSpec",
    "Spec",
    "StageSpec",
)
