"""Semantics of the key-value stand-in that its clients rely on."""

from __future__ import annotations

import json
from base64 import b64encode
from typing import TYPE_CHECKING, Any

import pytest
import urllib3

from persimmonlink_stand_ins.key_value import KeyValueService

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL = urllib3.PoolManager(retries=False, timeout=10)


def encode(text: str) -> str:
    return b64encode(text.encode()).decode()


@pytest.fixture
def url() -> Iterator[str]:
    service = KeyValueService()
    yield service.start().url
    service.stop()


def post(url: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
    response = POOL.request("POST", f"{url}{path}", json=body)
    assert response.status == 200, response.data
    return response.json()


def create(url: str, key: str, value: str) -> dict[str, Any]:
    body = {
        "compare": [{"key": encode(key), "target": "MOD", "mod_revision": "0"}],
        "success": [{"request_put": {"key": encode(key), "value": encode(value)}}],
        "failure": [{"request_range": {"key": encode(key)}}],
    }
    return post(url, "/v3/kv/txn", body)


def test_conditional_create_succeeds_for_one_writer(url: str) -> None:
    assert create(url, "a", "first")["succeeded"]
    rejected = create(url, "a", "second")
    assert "succeeded" not in rejected
    winner = rejected["responses"][0]["response_range"]["kvs"][0]
    assert winner["value"] == encode("first")
    assert winner["mod_revision"] == winner["create_revision"] == "2"


def test_range_is_limited_and_counts_all(url: str) -> None:
    for key in ("a/1", "a/2", "b/1"):
        post(url, "/v3/kv/put", {"key": encode(key), "value": encode("x")})
    body = {"key": encode("a/"), "range_end": encode("a0"), "limit": "1"}
    found = post(url, "/v3/kv/range", body)
    assert (len(found["kvs"]), found["count"], found["more"]) == (1, "2", True)


def test_write_is_kept_when_its_reply_is_lost(url: str) -> None:
    post(url, "/fault", {"kind": "lose_reply", "count": 1, "key_prefix": "a"})
    assert create(url, "b", "other")["succeeded"]
    with pytest.raises(urllib3.exceptions.ProtocolError):
        create(url, "a", "written")
    assert "succeeded" not in create(url, "a", "again")


def test_watch_replays_events_and_reports_lease_expiry(url: str) -> None:
    lease_id = post(url, "/v3/lease/grant", {"TTL": "1"})["ID"]
    body = {"key": encode("a"), "value": encode("x"), "lease": lease_id}
    post(url, "/v3/kv/put", body)
    request = {"key": encode("a"), "start_revision": "2"}
    response = POOL.request(
        "POST",
        f"{url}/v3/watch",
        json={"create_request": request},
        preload_content=False,
    )
    event_types: list[str] = []
    for line in response.read_chunked():
        event_types.extend(
            event["type"] for event in json.loads(line)["result"]["events"]
        )
        if len(event_types) == 2:
            break
    response.close()
    assert event_types == ["PUT", "DELETE"]


@pytest.mark.parametrize("hang", [False, True])
def test_outage_refuses_or_hangs_until_cleared(url: str, hang: bool) -> None:
    post(url, "/fault", {"kind": "outage", "seconds": 60, "hang": hang})
    body = {"key": encode("a"), "value": encode("x")}
    if hang:
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            POOL.request("POST", f"{url}/v3/kv/put", json=body, timeout=0.3)
    else:
        assert POOL.request("POST", f"{url}/v3/kv/put", json=body).status == 503
    post(url, "/fault", {"kind": "clear"})
    assert post(url, "/v3/kv/put", body)["header"]["revision"] == "2"
    report = POOL.request("GET", f"{url}/ledger").json()
    assert (report["refused"], report["writes"]) == (1, 1)
