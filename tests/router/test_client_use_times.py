"""Clients cease to use a connection before the node closes it."""

from __future__ import annotations

import pytest

from persimmonlink_router.client_use_times import (
    CLIENT_DELAY_S,
    DIRECTORY_EXPIRY_WAIT_S,
    MAX_KEEP_ALIVE_S,
    ConnectionUse,
    choose_keep_alive_s,
)

HEADER_TIMEOUT_S = 3.0


@pytest.mark.parametrize(
    ("idle_timeout_s", "keep_alive_s"),
    [(15.0, MAX_KEEP_ALIVE_S), (2.0, 1), (1.5, 1), (1.4, 0), (0.2, 0)],
)
def test_the_announced_idle_time_ends_before_the_idle_timeout(
    idle_timeout_s, keep_alive_s
):
    assert choose_keep_alive_s(idle_timeout_s) == keep_alive_s


def test_connections_idle_since_a_stop_began_expire_with_the_directory_responses():
    use = ConnectionUse(opened_at=0.0, active_at=0.0)
    use.record_end(10.0)
    assert not use.is_over(10.0 + MAX_KEEP_ALIVE_S, 0, HEADER_TIMEOUT_S)
    assert use.is_over(10.01 + DIRECTORY_EXPIRY_WAIT_S, 0, HEADER_TIMEOUT_S)


def test_a_client_that_has_just_connected_may_still_send():
    use = ConnectionUse(opened_at=10.0, active_at=10.0)
    assert not use.is_over(10.0 + CLIENT_DELAY_S, 0, HEADER_TIMEOUT_S)
    assert use.is_over(10.01 + CLIENT_DELAY_S, 0, HEADER_TIMEOUT_S)


def test_unread_bytes_keep_a_connection_for_the_header_timeout():
    use = ConnectionUse(opened_at=10.0, active_at=10.0)
    assert not use.is_over(10.0 + HEADER_TIMEOUT_S, 1, HEADER_TIMEOUT_S)
    assert use.is_over(10.01 + HEADER_TIMEOUT_S, 1, HEADER_TIMEOUT_S)


@pytest.mark.parametrize(
    ("announced_s", "configured_s", "timeout_s"),
    [(0, 0.4, 0.4), (0, 15.0, 15.0), (3, 15.0, 15.0), (3, 1.0, 3.5), (1, 0.0, 1.5)],
)
def test_the_idle_timeout_is_never_shorter_than_what_was_announced(
    announced_s, configured_s, timeout_s
):
    use = ConnectionUse(0.0, 0.0)
    use.record_begin(announced_s, is_last=False)
    assert use.choose_idle_timeout_s(configured_s) == timeout_s
