"""What a server sends once more on a kept connection belongs to no later request."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    make_rig,
    run,
    wait_until,
)

# Requests that may run once at most, with the service that runs them.
CASES = [
    ("/book/1", PLAIN_SERVICE, {}),
    ("/claim/1", STREAM_SERVICE, STREAM),
]


async def reject_once(rig, server, path: str, headers, *, names_no_request: bool):
    """Have a server reject a request and keep the connection."""
    server.faults.rejects_requests = True
    server.faults.names_no_request = names_no_request
    refused = await rig.send_request(path, request_id="first", **headers)
    assert refused.status == 503
    server.faults.rejects_requests = False
    server.faults.repeats_earlier_responses = True


@pytest.mark.parametrize("names_no_request", [False, True])
@pytest.mark.parametrize(("path", "service", "headers"), CASES)
def test_a_rejection_sent_once_more_rejects_no_later_request(
    path, service, headers, names_no_request
):
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id[f"{service}-0"]
            await reject_once(
                rig, server, path, headers, names_no_request=names_no_request
            )
            kept_connections = server.accepted_connections
            second = await rig.send_request(path, request_id="second", **headers)
            assert server.accepted_connections == kept_connections
            await wait_until(lambda: rig.count_runs("second") == 1)
            assert second.status != 503
            if not names_no_request:
                assert second.status == 200
            await asyncio.sleep(0.1)
            assert rig.count_runs("second") == 1

    run(scenario())


@pytest.mark.parametrize("names_no_request", [False, True])
@pytest.mark.parametrize(("path", "service", "headers"), CASES)
def test_a_request_after_a_repeated_rejection_runs_at_no_second_server(
    path, service, headers, names_no_request
):
    async def scenario():
        async with make_rig(servers=2) as rig:
            servers = [rig.server_by_id[f"{service}-{index}"] for index in (0, 1)]
            for server in servers:
                server.faults.rejects_requests = True
                server.faults.names_no_request = names_no_request
            await rig.send_request(path, request_id="first", **headers)
            for server in servers:
                server.faults.rejects_requests = False
                server.faults.repeats_earlier_responses = True
                server.work_s = 0.05
            for index in range(4):
                name = f"later-{index}"
                await rig.send_request(path, request_id=name, **headers)
                await asyncio.sleep(0.1)
                assert rig.count_runs(name) == 1

    run(scenario())


def test_a_first_rejection_without_a_request_id_is_believed():
    async def scenario():
        async with make_rig(servers=2) as rig:
            rejecting = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            rejecting.faults.rejects_requests = True
            rejecting.faults.names_no_request = True
            for _ in range(2):
                assert (await rig.send_request("/book/1")).status == 200

    run(scenario())


def test_a_rejection_is_not_believed_twice_for_the_same_request():
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            await reject_once(rig, server, "/book/1", {}, names_no_request=False)
            again = await rig.send_request("/book/1", request_id="first")
            await wait_until(lambda: rig.count_runs("first") == 1)
            assert again.status != 503

    run(scenario())


def list_misplaced_inputs(rig) -> list[tuple[str, str]]:
    """Return the results that went to another request, or stage, than made for."""
    given = []
    for server in rig.server_by_id.values():
        for seen in server.runs:
            handles = seen.headers.get("persimmonlink-inputs", "").split(",")
            given += [(handle, f"{seen.request_id}.1.") for handle in handles]
        for _, piece in server.piece_log:
            expected = f"{piece['id']}.{piece['stage'] - 1}."
            given += [(handle, expected) for handle in piece.get("inputs") or ()]
    return [
        (handle, expected)
        for handle, expected in given
        if not handle.rpartition("/")[2].startswith(expected)
    ]


@pytest.mark.parametrize("pieces", ["1,3", "1,1", "2,2"])
@pytest.mark.parametrize("rejects_first", [False, True])
def test_results_sent_once_more_go_to_no_other_request(rejects_first, pieces):
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id[f"{STAGE_SERVICE}-0"]
            server.stage_call_s = 0.05
            server.faults.rejects_requests = rejects_first
            headers = {**STAGED, "Persimmonlink_Pieces": pieces}
            await rig.send_request("/chain/1", request_id="first", **headers)
            server.faults.rejects_requests = False
            server.faults.repeats_earlier_responses = True
            statuses = []
            for index in range(6):
                name = f"later-{index}"
                response = await rig.send_request(
                    "/chain/1", request_id=name, **headers
                )
                statuses.append(response.status)
            assert list_misplaced_inputs(rig) == []
            assert 200 in statuses

    run(scenario())


def test_an_answer_sent_once_more_reaches_no_other_caller():
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            server.faults.repeats_earlier_responses = True
            for index in range(6):
                name = f"b{index}"
                response = await rig.send_request("/book/1", request_id=name)
                assert response.body == f"answer to {name}".encode()
                assert rig.count_runs(name) == 1

    run(scenario())
