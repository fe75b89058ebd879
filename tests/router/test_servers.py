"""Which servers may receive work: draining, drained, cold and expired ones."""

from __future__ import annotations

import time

from hypothesis import given
from hypothesis import strategies as st
from tests.router.chains import make_server

from persimmonlink_router.servers import VERSION_MEMORY_S, ServerDirectory


def test_draining_servers_and_drained_domains_are_not_usable():
    directory = ServerDirectory()
    ready = make_server("ready", "a")
    directory.update(ready, 0.0)
    directory.update(make_server("leaving", "a", is_draining=True), 0.0)
    directory.update(make_server("out", "b"), 0.0)
    directory.set_drained_domains({"b"}, 0.0, {})
    assert directory.list_usable("stage") == [ready]


def test_servers_of_a_restored_domain_are_cold():
    directory = ServerDirectory()
    server = make_server(domain="b")
    directory.update(server, 0.0)
    directory.set_drained_domains({"b"}, 0.0, {"stage": 3.0})
    directory.set_drained_domains(set(), 10.0, {"stage": 3.0})
    assert directory.is_cold(server, 12.9)
    assert not directory.is_cold(server, 13.1)


def test_a_new_incarnation_under_the_same_name_replaces_the_old_one():
    directory = ServerDirectory()
    old = make_server(started_at_ms=1)
    directory.update(old, 0.0)
    directory.update(make_server(started_at_ms=2, cold_left_s=3.0), 0.0)
    assert not directory.is_usable(old)
    assert directory.is_cold(make_server(started_at_ms=2), 1.0)
    assert not directory.is_cold(old, 1.0)


def test_a_server_whose_entry_is_written_again_after_its_removal_is_still_cold():
    directory = ServerDirectory()
    server = make_server(domain="b")
    directory.update(server, 0.0)
    directory.mark_cold(server, 3.0)
    directory.remove(server.server_id, 1.0)
    directory.update(server, 1.0)
    assert directory.is_cold(server, 2.9)


def test_a_server_with_an_expired_entry_is_kept_until_its_removal_time():
    directory = ServerDirectory()
    server = make_server()
    directory.update(server, 0.0)
    directory.schedule_removal("s1", 2.0)
    assert directory.is_usable(server)
    assert directory.remove_expired(1.9) == []
    assert directory.remove_expired(2.0) == ["s1"]
    assert not directory.is_usable(server)


def test_an_update_cancels_the_scheduled_removal():
    directory = ServerDirectory()
    directory.update(make_server(), 0.0)
    directory.schedule_removal("s1", 2.0)
    directory.update(make_server(), 1.0)
    assert directory.remove_expired(5.0) == []


def test_the_version_of_a_server_that_left_stays_recent_for_a_time():
    directory = ServerDirectory()
    directory.update(make_server(server_id="i-1", software_version="v1"), 0.0)
    directory.update(make_server(server_id="i-2", software_version="v2"), 0.0)
    service = make_server().service
    directory.remove("i-1", 10.0)
    assert directory.list_recent_versions(service, 11.0) == ["v1", "v2"]
    later = 10.0 + VERSION_MEMORY_S
    assert directory.list_recent_versions(service, later) == ["v2"]
    assert directory.list_recent_versions("other", 11.0) == []


def test_a_version_stays_recent_when_its_server_starts_again_with_another():
    directory = ServerDirectory()
    directory.update(make_server(software_version="v1"), 0.0)
    directory.update(make_server(software_version="v2", started_at_ms=2), 5.0)
    assert directory.list_recent_versions(make_server().service, 6.0) == ["v1", "v2"]


CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("update"), st.sampled_from("abcd"), st.booleans()),
        st.tuples(st.just("remove"), st.sampled_from("abcd")),
        st.tuples(st.just("leave"), st.sampled_from("abcd")),
        st.tuples(st.just("drain"), st.sets(st.sampled_from("xy"))),
    ),
    max_size=12,
)


@given(CHANGES)
def test_each_change_shows_in_the_usable_servers(changes):
    directory = ServerDirectory()
    for change in changes:
        match change:
            case ("update", name, is_draining):
                domain = "x" if name in "ab" else "y"
                server = make_server(name, domain, is_draining=is_draining)
                directory.update(server, 0.0)
            case ("remove", name):
                directory.remove(name, 0.0)
            case ("leave", name) if name in directory.server_by_id:
                directory.mark_leaving(directory.server_by_id[name], 0.0)
            case ("drain", domains):
                directory.set_drained_domains(domains, 0.0, {})
        known = [server for _, server in sorted(directory.server_by_id.items())]
        usable = [server for server in known if directory.is_usable(server)]
        assert directory.list_usable("stage") == usable


def measure_lists_s(other_servers: int) -> float:
    """Return the processor time of listing a small service some times."""
    directory = ServerDirectory()
    directory.update(make_server("own"), 0.0)
    for index in range(other_servers):
        directory.update(make_server(f"other-{index}", service="other"), 0.0)
    started_s = time.process_time()
    for _ in range(3000):
        directory.list_usable("stage")
    return time.process_time() - started_s


def test_a_service_is_listed_as_fast_however_many_servers_others_have():
    few_s = min(measure_lists_s(10) for _ in range(5))
    many_s = min(measure_lists_s(400) for _ in range(5))
    assert many_s <= 3 * few_s, (few_s, many_s)
