"""Which servers may get work, and what makes them unfit."""

from __future__ import annotations

from tests.router.chains import make_server

from persimmonlink_router.servers import ServerDirectory


def test_draining_servers_and_drained_domains_get_nothing():
    directory = ServerDirectory()
    ready = make_server("ready", "a")
    directory.put(ready, 0.0)
    directory.put(make_server("leaving", "a", is_draining=True), 0.0)
    directory.put(make_server("out", "b"), 0.0)
    directory.set_drained({"b"}, 0.0, {})
    assert directory.list_usable("stage") == [ready]


def test_a_domain_that_is_taken_back_is_cold():
    directory = ServerDirectory()
    server = make_server(domain="b")
    directory.put(server, 0.0)
    directory.set_drained({"b"}, 0.0, {"stage": 3.0})
    directory.set_drained(set(), 10.0, {"stage": 3.0})
    assert directory.is_cold(server, 12.9)
    assert not directory.is_cold(server, 13.1)


def test_a_new_incarnation_under_the_same_name_is_another_server():
    directory = ServerDirectory()
    old = make_server(born_ms=1)
    directory.put(old, 0.0)
    directory.put(make_server(born_ms=2, cold_left_s=3.0), 0.0)
    assert not directory.is_usable(old)
    assert directory.is_cold(make_server(born_ms=2), 1.0)
    assert not directory.is_cold(old, 1.0)


def test_a_server_whose_entry_lapsed_is_kept_until_it_should_be_back():
    directory = ServerDirectory()
    server = make_server()
    directory.put(server, 0.0)
    directory.lapse("s1", 2.0)
    assert directory.is_usable(server)
    assert directory.drop_lapsed(1.9) == []
    assert directory.drop_lapsed(2.0) == ["s1"]
    assert not directory.is_usable(server)


def test_a_lapsed_server_that_writes_again_stays():
    directory = ServerDirectory()
    directory.put(make_server(), 0.0)
    directory.lapse("s1", 2.0)
    directory.put(make_server(), 1.0)
    assert directory.drop_lapsed(5.0) == []
