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


def test_the_latest_unsaved_versions_come_first():
    versions = StreamVersions()
    for number in range(5):
        versions.record(f"s{number}", "v1", float(number))
    assert list(versions.list_unsaved(10.0, 2)) == ["s4", "s3"]
    assert list(versions.list_unsaved(1.0, 5)) == ["s1", "s0"]


def test_a_version_is_unsaved_until_the_store_has_that_one():
    versions = StreamVersions()
    versions.record("a", "v2", 0.0)
    versions.record_saved("a", "v1", 5, 0.0)
    assert versions.list_unsaved(1.0, 5) == {"a": "v2"}
    versions.record_saved("a", "v2", 6, 0.0)
    assert versions.list_unsaved(1.0, 5) == {}
    assert versions.count_saved() == 1


def test_the_latest_revision_counts_in_any_order_of_arrival():
    versions = StreamVersions()
    versions.record_saved("a", "v2", 6, 0.0)
    versions.record_saved("a", "v1", 5, 1.0)
    assert versions.find_saved("a") == "v2"
    versions.discard_expired(0.5 + RECORD_LIFETIME_S)
    assert versions.find_saved("a") is None
