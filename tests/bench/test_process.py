"""Ports of child processes are reserved while the processes may use them."""

from __future__ import annotations

import socket

import pytest

from persimmonlink_bench.process import HOST, find_free_ports, release_ports


def bind_reservation(port: int) -> None:
    with socket.socket(type=socket.SOCK_DGRAM) as reservation:
        reservation.bind((HOST, port))


def test_a_port_stays_reserved_until_it_is_released():
    (port,) = find_free_ports(1)
    with pytest.raises(OSError, match="in use"):
        bind_reservation(port)
    release_ports([port])
    bind_reservation(port)
