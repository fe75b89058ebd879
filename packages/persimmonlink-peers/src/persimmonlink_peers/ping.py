"""Keepalive pings that detect gRPC connections that no longer respond."""

from __future__ import annotations

from grpclib.config import Configuration


def build_ping_configuration(interval_s: float, timeout_s: float) -> Configuration:
    """Return a configuration that pings a connection for its whole lifetime.

    By default grpclib sends one ping in five minutes, and none after two pings without
    calls in between, so its limits on pings are lifted here.

    Parameters
    ----------
    interval_s : float
        Time between pings, in seconds.
    timeout_s : float
        Timeout for the reply, in seconds, after which the connection is closed.
    """
    return Configuration(
        _keepalive_time=interval_s,
        _keepalive_timeout=timeout_s,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=interval_s / 2,
    )


__all__ = ("build_ping_configuration",)
