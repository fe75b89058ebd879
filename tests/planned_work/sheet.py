"""Services, routes, rates and bounds of the deployment that the run builds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tests.router.rig import make_configuration, make_route

if TYPE_CHECKING:
    import random

HOSTNAME = "kit.example"
REGION = "midlands"
# Failure domains of the six nodes.
DOMAINS = ("trent-a", "trent-a", "trent-a", "soar-b", "soar-b", "dove-c")
CLIENTS_BY_DOMAIN = {"trent-a": 11, "soar-b": 15, "dove-c": 13}
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
LOST_S = 0.2
CONFIG_S = 2.0
STOP_EXCUSE_S = 3.0  # Time after SIGTERM until which a request may be cut at the end.
IDLE_TIMEOUT_S = 15.0
TOKENS_PER_EVENT = 7
STEP_S = 0.00337  # Time of a token.
STEP_PER_RUN_S = 0.0000109  # Time that each other run adds to it.
PROMPT_TOKENS_PER_S = 61200.0
ENGINE_SERVICE = "kit-advisor"
PLAIN_SERVICE = "hire-desk"
TENANTS = ("ash", "birch", "cedar", "elm", "fir")
KEY_BY_TENANT = {name: f"key-of-{name}" for name in TENANTS}
# Bounds of the settings template.
SETTINGS_FIELDS: dict[str, Any] = {
    "region": REGION,
    "limits.cpu-share": 0.537,
    "limits.cores": 2,
    "bounds.retry-ratio": 0.2,
    "bounds.retry-window-s": 10,
    "bounds.retry-slack": 52,
    "bounds.cold-burst": 1.5,
    "bounds.cold-slack": 5,
    "bounds.grace-s": GRACE_S,
    "bounds.ttl_max_s": 5,
}


@dataclass(frozen=True)
class StageSpec:
    """A stage of a route: its service, what it needs, and its pieces."""

    service: str
    after: tuple[int, ...]
    pieces: float
    share: float
    result_bytes: int


@dataclass(frozen=True)
class RequestClass:
    """A kind of request; times in seconds, rates in requests a second."""

    name: str
    kind: str
    service: str
    per_s: float
    slo_s: float
    deadline_s: float
    timeout_s: float
    priority: int
    attempts: int
    body_bytes: int
    method: str = "POST"
    is_resumable: bool = False
    events: float = 0.0
    event_spread: float = 0.0
    max_events: int = 0
    shared_tokens: int = 0
    own_tokens: int = 0
    stages: tuple[StageSpec, ...] = ()
    default_factor: float = 1.0  # Of its rate, where a plan names none.

    @property
    def is_stream(self) -> bool:
        """Whether its responses are streams."""
        return self.kind == "stream"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "idempotent" or self.is_resumable


@dataclass(frozen=True)
class StageService:
    """A service of stages: places of a call, and times in seconds."""

    batch: int
    call_s: float
    item_s: float
    headroom_mb: float


LEDGER, ROTA, YARD = "member-ledger", "van-rota", "wash-yard"
STAGE_SERVICE_BY_NAME = {
    LEDGER: StageService(5, 0.24, 0.0416, 6.0),
    ROTA: StageService(15, 0.24, 0.0132, 1.58333),
    YARD: StageService(22, 0.24, 0.00933636, 0.236923),
}
SERVER_COUNT_BY_SERVICE = dict.fromkeys((PLAIN_SERVICE, LEDGER, ROTA, YARD), 3)
SERVER_COUNT_BY_SERVICE[ENGINE_SERVICE] = 5
PLAIN_SLOTS = 6
PLAIN_QUEUE = 24
PLAIN_WORK_S = 0.045
ENGINE_SLOTS = 64
ENGINE_QUEUE = 192
CLASSES = (
    RequestClass(
        "damage-claim", "stream", ENGINE_SERVICE, 2.81, 1.4, 12.0, 12.0, 1, 1, 12000,
        events=54.6, event_spread=0.44, max_events=160, shared_tokens=5382,
        own_tokens=6610, stages=(StageSpec(LEDGER, (), 2.5, 0.7, 800000),),
    ),
    RequestClass(
        "packing-list", "stream", ENGINE_SERVICE, 7.89, 1.9, 12.0, 12.0, 0, 2, 830,
        is_resumable=True, events=41.6, event_spread=0.69, max_events=136,
        shared_tokens=198, own_tokens=628, stages=(
            StageSpec(LEDGER, (), 1, 1.0, 8000),
            StageSpec(ROTA, (0,), 4, 1.0, 60000),
            StageSpec(YARD, (1,), 6, 1.0, 6000),
        ),
    ),
    RequestClass(
        "kit-tag", "stream", ENGINE_SERVICE, 4.35, 2.0, 6.0, 6.0, 2, 1, 2400,
        events=3.2, event_spread=1.0, max_events=13, shared_tokens=568,
        own_tokens=1800, stages=(
            StageSpec(LEDGER, (), 1.5, 0.4, 800000),
            StageSpec(LEDGER, (), 1, 1.0, 8000),
            StageSpec(ROTA, (1,), 4, 1.0, 60000),
            StageSpec(YARD, (2,), 6, 1.0, 6000),
        ),
    ),
    RequestClass(
        "booking-commit", "mutating", PLAIN_SERVICE, 3.77, 0.2, 2.5, 1.2, 2, 1, 600,
    ),
    RequestClass(
        "slow-booking", "mutating", PLAIN_SERVICE, 1.0, 2.0, 12.0, 12.0, 2, 1, 600,
        default_factor=0.0,
    ),
    RequestClass(
        "stock-check", "idempotent", PLAIN_SERVICE, 1.92, 0.2, 2.5, 1.2, 2, 2, 0,
        method="GET",
    ),
)  # fmt: skip
BOOKING = next(entry for entry in CLASSES if entry.name == "booking-commit")
FOLLOWING = (BOOKING, CLASSES[-1])  # Short requests that follow others on a connection.


def draw_count(rng: random.Random, mean: float, spread: float, most: int) -> int:
    """Draw a count of at least one from a log-normal distribution."""
    value = mean * math.exp(rng.gauss(0, spread) - spread * spread / 2)
    return max(1, min(most, round(value)))


def build_route(entry: RequestClass, prefix: str = "") -> dict[str, Any]:
    """Return the route of a kind of request, as the operator writes it."""
    changes: dict[str, Any] = {
        "host": HOSTNAME,
        "timeout-ms": entry.timeout_s * 1000,
        "slo-ms": entry.slo_s * 1000,
        "gap-slo-ms": 250 if entry.is_stream else 0,
        "priority": entry.priority,
        "attempts": entry.attempts,
        "resumable": entry.is_resumable,
    }
    if entry.stages:
        changes["stages"] = [
            {"service": s.service, "after": list(s.after), "bytes": s.result_bytes}
            for s in entry.stages
        ]
    return make_route(prefix or f"/{entry.name}/", entry.kind, entry.service, **changes)


def build_configuration(
    version: int,
    extra_prefixes: tuple[str, ...] = (),
    *,
    is_moved: bool = False,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
) -> dict[str, Any]:
    """Return a configuration with the sheet's routes and further prefixes.

    `is_moved` gives half of the bookings a route of their own.
    """
    routes = [build_route(entry) for entry in CLASSES]
    moved = ("/booking-commit/a/",) if is_moved else ()
    routes += [build_route(BOOKING, prefix) for prefix in (*extra_prefixes, *moved)]
    engine = {"slots": ENGINE_SLOTS, "kv-capacity": 473108}
    services: list[dict[str, Any]] = [
        {"name": PLAIN_SERVICE, "max-conns": 48},
        {"name": ENGINE_SERVICE, "engine": engine, "max-conns": 270},
    ]
    services[1] |= {"cold-start-s": 3.0, "cold-per-s": 14.0}
    for name, spec in STAGE_SERVICE_BY_NAME.items():
        pieces: dict[str, Any] = {
            "slots": 1,
            "queue": 2,
            "handle-s": 4,
            "batch": spec.batch,
        }
        pieces |= {"call-ms": spec.call_s * 1000, "item-ms": spec.item_s * 1000}
        pieces["headroom-mb"] = spec.headroom_mb
        services.append({"name": name, "pieces": pieces, "max-conns": 270})
    tenants = [{"name": n, "api-keys": [key]} for n, key in KEY_BY_TENANT.items()]
    limits = {"max-body-bytes": 4194304, "idle-timeout-ms": idle_timeout_s * 1000}
    return make_configuration(
        version, routes=routes, services=services, tenants=tenants, limits=limits
    )
