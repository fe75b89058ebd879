"""Builders of servers, stage jobs, chains and results for tests."""

from __future__ import annotations

from persimmonlink_router.configuration import BatchSpec
from persimmonlink_router.servers import Server
from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_job import StageJob, StageNeed, StageResult

SPEC = BatchSpec(1, 5, 0.24, 0.04, 6e6)


def make_server(server_id: str = "s1", domain: str = "a", **changes) -> Server:
    values = {
        "server_id": server_id,
        "started_at_ms": 1,
        "service": "stage",
        "address": "127.0.0.1:9",
        "domain": domain,
        "slots": 1,
        "is_draining": False,
        "cold_left_s": 0.0,
    }
    return Server(**{**values, **changes})


def make_job(
    request_id: str = "r1",
    *,
    piece_counts: tuple[int, ...] = (1,),
    priority: int = 0,
    objective_s: float = 2.0,
    deadline_s: float = 12.0,
    account: str = "acme",
    result_bytes: int = 1000,
    services: tuple[str, ...] = ("stage", "stage", "stage"),
) -> StageJob:
    needs = tuple(
        StageNeed(services[i], (i - 1,) if i else (), result_bytes, count)
        for i, count in enumerate(piece_counts)
    )
    return StageJob(
        request_id, account, priority, objective_s, deadline_s, 0.1, "", "key", needs
    )


def make_chain(now: float = 0.0, **changes) -> StageChain:
    return StageChain(make_job(**changes), now)


def make_result(handle: str, server: Server | None = None) -> StageResult:
    return StageResult(handle, server or make_server(), 1000)
