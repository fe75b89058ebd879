"""Settings of gRPC connections: pings that detect dead ones, and windows."""

from __future__ import annotations

from dataclasses import replace

from grpclib.config import Configuration

# Unread bytes of one call, and of all calls of a connection: a reply that nobody reads
# must not hold up the others.
STREAM_WINDOW_BYTES = 131072
CONNECTION_WINDOW_BYTES = 67108864
# The same for what a server receives. It reads all messages as they arrive, so that a
# message which nobody reads holds up no sound peer.
SERVER_STREAM_WINDOW_BYTES = 65536
SERVER_CONNECTION_WINDOW_BYTES = 524288


def build_server_configuration(interval_s: float, timeout_s: float) -> Configuration:
    """Return the configuration of the connections that a server accepts.

    Parameters
    ----------
    interval_s : float
        Time between pings, in seconds.
    timeout_s : float
        Timeout for the reply, in seconds, after which the connection is closed.
    """
    return replace(
        build_connection_configuration(interval_s, timeout_s),
        http2_stream_window_size=SERVER_STREAM_WINDOW_BYTES,
        http2_connection_window_size=SERVER_CONNECTION_WINDOW_BYTES,
    )


def build_connection_configuration(
    interval_s: float, timeout_s: float
) -> Configuration:
    """Return the configuration of a connection that carries many calls at once.

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
        http2_stream_window_size=STREAM_WINDOW_BYTES,
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        _keepalive_time=interval_s,
        _keepalive_timeout=timeout_s,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=interval_s / 2,
    )


__all__ = ("build_connection_configuration", "build_server_configuration")
