"""Scenarios and policies of the benchmark, read from JSON with comments."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import jsonc
from msgspec import Meta
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.validation import Fault, validate

SCENARIOS_PATH = Path(__file__).parents[2] / "scenarios"
POLICIES_PATH = Path(__file__).parents[2] / "policies.json"

Name = Annotated[str, Meta(min_length=1, pattern=r"^[a-z0-9][a-z0-9_.-]*$")]
PositiveInt = Annotated[int, Meta(gt=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0, le=120)]


class ArrivalPattern(StrEnum):
    """Distribution of arrivals over time."""

    POISSON = "poisson"
    BURSTS = "bursts"


class EventAction(StrEnum):
    """Change made to the system during a run."""

    DRAIN = "drain"
    RESTORE = "restore"
    KILL = "kill"
    START = "start"
    COLD = "cold"


@dataclass(frozen=True)
class Flow:
    """A stream of requests of one account for one pipeline.

    Parameters
    ----------
    account : str
        Client account.
    pipeline : str
        Pipeline that is called.
    share : float
        Weight of the flow in the scenario's request rate, relative to other flows.
    request_class : str
        Request class, by which attainment is also reported.
    deadline_ms : int
        Deadline of each request, in milliseconds after sending.
    entry : str
        Id of the node that receives all requests; if empty, each request goes to a
        random node.
    pattern : ArrivalPattern
        Poisson arrivals, or Poisson arrivals within bursts.
    burst_period_s : float
        Time from the start of one burst to the next, in seconds.
    burst_factor : float
        Rate within a burst over the mean rate; there are no arrivals between bursts.
    """

    account: Name
    pipeline: Name
    share: PositiveFloat
    request_class: str = "default"
    deadline_ms: PositiveInt = 2000
    entry: str = ""
    pattern: ArrivalPattern = ArrivalPattern.POISSON
    burst_period_s: PositiveFloat = 10.0
    burst_factor: Annotated[float, Meta(ge=1)] = 3.0


@dataclass(frozen=True)
class Event:
    """A change made to the system at a time of the run.

    Parameters
    ----------
    at_s : float
        Time of the event, in seconds after the run's start.
    action : EventAction
        The change: `drain` and `restore` apply to a failure domain, `kill` and `start`
        to a node, `cold` to a backend server.
    target : str
        Failure domain, node or backend server that is changed.
    """

    at_s: Seconds
    action: EventAction
    target: Name


@dataclass(frozen=True)
class BackendTimes:
    """Processing times and slots of the stand-in servers.

    Parameters
    ----------
    work_ms : float
        Time of one call of a plain server, in milliseconds.
    step_ms : float
        Time per token of an engine, in milliseconds.
    prefill_ms : float
        Time before an engine's first token, in milliseconds.
    plain_slots : int
        Concurrent calls of a plain server.
    engine_slots : int
        Concurrent streams of an engine.
    """

    work_ms: PositiveFloat = 60.0
    step_ms: PositiveFloat = 40.0
    prefill_ms: PositiveFloat = 80.0
    plain_slots: PositiveInt = 6
    engine_slots: PositiveInt = 6


@dataclass(frozen=True)
class Scenario:
    """A load on a complete system, and the events during it.

    Parameters
    ----------
    about : str
        Purpose of the scenario, in one line.
    user : str
        User whose example configuration is used.
    nodes : int
        Number of nodes, spread over the failure domains.
    loads : tuple of float
        Request rates to run, relative to the capacity of the bottleneck service.
    warm_up_s : float
        Time at the start whose requests are not counted, in seconds.
    duration_s : float
        Time for which requests are sent, including the warm-up, in seconds.
    flows : tuple of Flow
        Requests to send.
    backends : BackendTimes
        Processing times and slots of the stand-in servers.
    events : tuple of Event
        Events during the run.
    """

    about: str
    user: Annotated[str, Meta(pattern="^(trentside|nilemark)$")]
    loads: Annotated[tuple[PositiveFloat, ...], Meta(min_length=1)]
    flows: Annotated[tuple[Flow, ...], Meta(min_length=1)]
    nodes: Annotated[int, Meta(gt=0, le=12)] = 6
    warm_up_s: Seconds = 3.0
    duration_s: Seconds = 20.0
    backends: BackendTimes = field(default_factory=BackendTimes)
    events: tuple[Event, ...] = ()


@dataclass(frozen=True)
class Policy:
    """Settings of all nodes of a run.

    Parameters
    ----------
    name : str
        Name in reports.
    about : str
        Description in one line.
    settings : dict
        Settings that override the defaults, by section.
    """

    name: str
    about: str
    settings: dict[str, dict[str, Any]]


@dataclass(frozen=True)
class _PolicyEntry:
    about: str
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)


def read_scenario(name: str) -> Result[Scenario, tuple[Fault, ...]]:
    """Read a scenario by its name or the path of its file.

    Parameters
    ----------
    name : str
        Name of a file in `bench/scenarios` without its suffix, or a path that ends in
        `.json`.

    Returns
    -------
    Result of Scenario
        Fails with all validation errors that were found.
    """
    path = Path(name) if name.endswith(".json") else SCENARIOS_PATH / f"{name}.json"
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        known = ", ".join(sorted(p.stem for p in SCENARIOS_PATH.glob("*.json")))
        return Err((Fault("", f"unknown scenario {name}; known: {known}"),))
    except (OSError, ValueError) as error:
        return Err((Fault("", str(error)),))
    return validate(raw, Scenario)


def read_policies(
    path: Path = POLICIES_PATH,
) -> Result[dict[str, Policy], tuple[Fault, ...]]:
    """Read all policies, by name.

    Parameters
    ----------
    path : Path
        File of JSON with comments.

    Returns
    -------
    Result of dict
        Fails with all validation errors that were found.
    """
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err((Fault("", str(error)),))
    policy_by_name: dict[str, Policy] = {}
    faults: list[Fault] = []
    for name, value in raw.items():
        entry = validate(value, _PolicyEntry, name)
        if isinstance(entry, Err):
            faults += entry.failure()
            continue
        policy = entry.unwrap()
        policy_by_name[name] = Policy(name, policy.about, policy.settings)
    if faults:
        return Err(tuple(faults))
    return Success(policy_by_name)


__all__ = (
    "ArrivalPattern",
    "BackendTimes",
    "Event",
    "EventAction",
    "Flow",
    "Policy",
    "Scenario",
    "read_policies",
    "read_scenario",
)
