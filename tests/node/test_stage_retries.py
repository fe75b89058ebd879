"""Repeatable stages are retried on another server when a call fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from persimmonlink_bench.caller import Caller

if TYPE_CHECKING:
    from persimmonlink_bench.deployment import Deployment

MAX_REQUESTS = 200


@pytest.mark.parametrize("fault", ["die_after_read", "wrong_id"])
def test_failed_call_of_a_repeatable_stage_is_sent_elsewhere(
    trentside: Deployment, fault: str
) -> None:
    for server_id in trentside.list_servers("encoder")[:2]:
        trentside.inject_fault(server_id, fault, count=1)
    caller = Caller([n.http_address for n in trentside.node_by_id.values()])
    body = {"account": "festival-crew", "input": "x", "deadline_ms": 20_000}
    retries = 0
    for _ in range(MAX_REQUESTS):
        outcome = caller.call("kit-return", body)
        assert outcome.ok
        retries += outcome.stages[0]["attempts"] - 1
        if retries == 2:
            break
    assert retries == 2


def test_servers_that_all_failed_once_are_tried_again(trentside: Deployment) -> None:
    servers = trentside.list_servers("reranker")
    for server_id in servers:
        trentside.inject_fault(server_id, "wrong_id", count=1)
    caller = Caller([n.http_address for n in trentside.node_by_id.values()])
    body = {"account": "festival-crew", "input": "x", "deadline_ms": 20_000}
    retries = 0
    for _ in range(MAX_REQUESTS):
        outcome = caller.call("kit-return", body)
        assert outcome.ok
        retries += outcome.stages[2]["attempts"] - 1
        if retries == len(servers):
            break
    assert retries == len(servers)
