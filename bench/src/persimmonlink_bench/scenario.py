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
    """How arrivals are spread over time."""

    POISSON = "poisson"
    BURSTS = "bursts"


class EventAction(StrEnum):
    """What happens to the system during a run."""

    DRAIN = "drain"
    RESTORE = "restore"
    KILL = "kill"
    START = "start"
    COLD = "cold"


@dataclass(frozen=True)
class Flow:
    """Requests of one account for one pipeline.

    Parameters
    ----------
    account : str
        Client account.
    pipeline : str
        Pipeline.
    share : float
        Part of the scenario's request rate, relative to the other flows.
    request_class : str
        Class that figures are kept by.
    deadline_ms : int
        Time that the caller gives, in milliseconds.
    entry : str
        Node that all requests enter at; each node alike when empty.
    pattern : ArrivalPattern
        Poisson arrivals, or Poisson arrivals inside bursts.
    burst_period_s : float
        Seconds from one burst to the next.
    burst_factor : float
        Rate in a burst over the mean rate; there are no arrivals between bursts.
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
    """Something that happens during a run.

    Parameters
    ----------
    at_s : float
        Seconds after the run's start.
    action : EventAction
        What happens.
    target : str
        Failure domain, node or server that it happens to.
    """

    at_s: Seconds
    action: EventAction
    target: Name


@dataclass(frozen=True)
class BackendTimes:
    """How slow the stand-in servers are and how many slots each has.

    Parameters
    ----------
    work_ms : float
        Time of one call of a plain server, in milliseconds.
    step_ms : float
        Time of one token of an engine, in milliseconds.
    prefill_ms : float
        Time before an engine's first token, in milliseconds.
    plain_slots : int
        Calls that a plain server runs at once.
    engine_slots : int
        Streams that an engine runs at once.
    """

    work_ms: PositiveFloat = 60.0
    step_ms: PositiveFloat = 40.0
    prefill_ms: PositiveFloat = 80.0
    plain_slots: PositiveInt = 6
    engine_slots: PositiveInt = 6


@dataclass(frozen=True)
class Scenario:
    """A load on a whole system.

    Parameters
    ----------
    about : str
        What the scenario is for, in one line.
    user : str
        Whose example configuration is used.
    nodes : int
        Nodes, spread over the failure domains.
    loads : tuple of float
        Request rates to run, over the rate that the busiest pool can bear.
    warm_up_s : float
        First seconds whose requests are not counted.
    duration_s : float
        Seconds for which requests are sent, the warm-up included.
    flows : tuple of Flow
        The requests.
    backends : BackendTimes
        The stand-in servers.
    events : tuple of Event
        What happens during the run.
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
    """Settings that all nodes of a run are given.

    Parameters
    ----------
    name : str
        Name in reports.
    about : str
        What it stands for, in one line.
    settings : dict
        Settings by section, put over the defaults.
    """

    name: str
    about: str
    settings: dict[str, dict[str, Any]]


@dataclass(frozen=True)
class _PolicyEntry:
    about: str
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)


def read_scenario(name: str) -> Result[Scenario, tuple[Fault, ...]]:
    """Read a scenario by its name, or by the path of its file.

    Parameters
    ----------
    name : str
        Name of a file in `bench/scenarios` without its ending, or a path.

    Returns
    -------
    Result of Scenario
        Fails with every fault found.
    """
    path = Path(name) if name.endswith(".json") else SCENARIOS_PATH / f"{name}.json"
    try:
        raw = jsonc.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        known = ", ".join(sorted(p.stem for p in SCENARIOS_PATH.glob("*.json")))
        return Err((Fault("", f"no scenario {name}; there are: {known}"),))
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
        A file of JSON with comments.

    Returns
    -------
    Result of dict
        Fails with every fault found.
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
