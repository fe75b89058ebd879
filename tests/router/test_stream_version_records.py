"""Records of stream versions keep the last send, and expire."""

from __future__ import annotations

from persimmonlink_router.stream_versions import RECORD_LIFETIME_S, StreamVersions


def test_the_last_send_of_a_request_counts():
    versions = StreamVersions()
    versions.record("a", "v1", 0.0)
    versions.record("a", "v2", 1.0)
    assert versions.find("a") == "v2"
    assert versions.find("b") is None


def test_records_expire_by_their_last_send():
    versions = StreamVersions()
    versions.record("a", "v1", 0.0)
    versions.record("b", "v1", 1.0)
    versions.record("a", "v1", 5.0)
    versions.discard_expired(1.0 + RECORD_LIFETIME_S)
    assert versions.find("b") is None
    assert versions.find("a") == "v1"
    assert len(versions) == 1
