"""Settings files are checked, and each fault is reported with its path."""

from __future__ import annotations

import json

import pytest
from returns.result import Failure, Success

from persimmonlink_router.router_settings import read_router_settings

VALID_SETTINGS = {
    "node": "entry-1",
    "domain": "a",
    "listen": {
        "clients": "10.1.0.1:8625",
        "readiness": "10.1.0.1:8621",
        "directory": "10.1.0.1:8620",
        "peers": "10.1.0.1:8628",
        "metrics": "10.1.0.1:9464",
    },
    "store": "10.200.1.7:8624",
    "seeds": ["10.1.0.1:8628"],
    "limits": {
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 52,
        "cold_burst_factor": 1.5,
        "cold_slack": 5,
        "stop_s": 8,
        "directory_ttl_s": 5,
    },
}


def read(tmp_path, text: str):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return read_router_settings(path)


def test_comments_are_allowed(tmp_path):
    result = read(tmp_path, "// ours\n" + json.dumps(VALID_SETTINGS))
    assert isinstance(result, Success)
    assert result.unwrap().limits.stop_s == 8


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"node": ""}, "node"),
        ({"store": "nowhere"}, "store"),
        ({"seeds": ["x"]}, "seeds[0]"),
        ({"surplus": 1}, "surplus"),
        ({"listen": {}}, "listen.clients"),
        ({"log_level": "LOUD"}, "log_level"),
        ({"limits": {**VALID_SETTINGS["limits"], "stop_s": 0}}, "limits.stop_s"),
    ],
)
def test_faults_are_reported_with_their_path(tmp_path, change, path):
    result = read(tmp_path, json.dumps({**VALID_SETTINGS, **change}))
    assert isinstance(result, Failure)
    assert path in {fault.path for fault in result.failure()}


def test_a_file_that_is_not_json_is_a_fault(tmp_path):
    assert isinstance(read(tmp_path, "{"), Failure)


def test_the_environment_sets_what_only_some_platforms_have(tmp_path, monkeypatch):
    monkeypatch.setenv("PERSIMMONLINK_MEMORY_MB", "160")
    monkeypatch.setenv("PERSIMMONLINK_MAX_DESCRIPTORS", "1638")
    monkeypatch.setenv("PERSIMMONLINK_CANARY_SHARE", "")
    settings = read(tmp_path, json.dumps(VALID_SETTINGS)).unwrap()
    assert (settings.memory_mb, settings.max_descriptors) == (160, 1638)
    assert settings.limits.canary_share == 0.1


@pytest.mark.parametrize(
    ("variable", "text", "path"),
    [
        ("PERSIMMONLINK_MEMORY_MB", "much", "memory_mb"),
        ("PERSIMMONLINK_MEMORY_MB", "nan", "memory_mb"),
        ("PERSIMMONLINK_MEMORY_MB", "12", "memory_mb"),
        ("PERSIMMONLINK_MAX_DESCRIPTORS", "1.5", "max_descriptors"),
        ("PERSIMMONLINK_MAX_DESCRIPTORS", "20", "max_descriptors"),
        ("PERSIMMONLINK_CANARY_SHARE", "2", "limits.canary_share"),
    ],
)
def test_a_bad_value_of_the_environment_is_one_fault(
    tmp_path, monkeypatch, variable, text, path
):
    monkeypatch.setenv(variable, text)
    result = read(tmp_path, json.dumps(VALID_SETTINGS))
    assert isinstance(result, Failure)
    assert [fault.path for fault in result.failure()] == [path]
