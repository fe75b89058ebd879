"""Base of the stand-in backend servers: faults, load report, ledger and ports."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from persimmonlink_stand_ins.server_state import LaggingReport, Ledger, WarmUpState
from persimmonlink_stand_ins.serving import (
    CLOSE_HEADERS,
    NOT_FOUND,
    Request,
    Response,
    RunningServer,
    serve_until_stopped,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable, Mapping, Sequence

WORKER_THREADS = 40  # Requests that one server handles at once.


@dataclass(frozen=True)
class BackendOptions:
    """Options that all backend servers take.

    Parameters
    ----------
    cold : bool
        Whether the server starts cold.
    cold_bearing : int
        Concurrent runs that a cold server sustains; one more crashes it.
    warm_after : int
        Completed runs after which a cold server is warm.
    fall_over_s : float
        Downtime of a server that crashed from overload, in seconds.
    load_lag_s : float
        Delay of the load report, in seconds.
    no_load_report : bool
        Whether ``/load`` answers 404.
    """

    cold: bool = False
    cold_bearing: int = 2
    warm_after: int = 8
    fall_over_s: float = 3.0
    load_lag_s: float = 0.5
    no_load_report: bool = False


class BackendServer:
    """One backend server on its own port; subclasses implement the runs.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    port : int
        Port on the loopback address; 0 selects any free port.
    options : BackendOptions
        Warm-up behaviour and load report.
    """

    run_name_field = "stage"

    def __init__(self, server_id: str, port: int, options: BackendOptions) -> None:
        self.server_id = server_id
        self.options = options
        self.lock = threading.RLock()
        self.stopped = threading.Event()
        self.warm_up = WarmUpState(
            warm=not options.cold,
            max_running_cold=options.cold_bearing,
            warm_after=options.warm_after,
        )
        self.ledger = Ledger(self.run_name_field)
        self.slow_factor = 1.0
        self._refuse_until = 0.0
        self._response_delay_s = 0.0
        self._remaining_by_fault: dict[str, int] = {}
        self._load_report = LaggingReport(options.load_lag_s, self._build_load_report())
        self.prepare()
        self.server = RunningServer(self.handle, port, WORKER_THREADS)

    def prepare(self) -> None:
        """Create the state that handlers need, before the port opens."""

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self.server.port

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return self.server.url

    def stop(self) -> None:
        """Abort all runs and stop the server threads."""
        self.stopped.set()
        with self.lock:
            self.abort_runs()
        self.server.stop()

    def count_runs(self) -> tuple[int, int]:
        """Return the numbers of active and of queued runs."""
        return 0, 0

    def abort_runs(self) -> None:
        """Abort all active and queued runs; the caller holds the lock."""
        raise NotImplementedError

    def handle_work(self, request: Request) -> Response:
        """Handle a request whose endpoint is specific to the server type."""
        raise NotImplementedError

    def record_load(self) -> None:
        """Record the concurrency; crash a cold server that is overloaded."""
        running = self.count_runs()[0]
        self.ledger.record_running(running, warm=self.warm_up.warm)
        if self.warm_up.is_overloaded(running):
            self.ledger.fall_overs += 1
            self.restart(self.options.fall_over_s)
        self._load_report.record(self._build_load_report())

    def restart(self, downtime_s: float, spared: Any = None) -> None:
        """Abort all runs, cut all connections and come back cold after `downtime_s`."""
        with self.lock:
            self.server.connections.cut_all(downtime_s, spared)
            self.abort_runs()
            self.warm_up.restart()
            self._load_report.record(self._build_load_report())

    def handle(self, request: Request) -> Response:
        """Handle a request and add the incarnation header to the response."""
        response = self._dispatch(request)
        headers = {**response.headers, "X-Server-Incarnation": self.warm_up.incarnation}
        return Response(
            response.body,
            response.status,
            headers,
            response.chunks,
            response.content_type,
        )

    def refuse(self, reason: str) -> Response:
        """Build a 503 response that marks the request as not run."""
        return Response({"error": reason}, 503, {"X-Not-Run": "1"})

    def consume_fault(self, kind: str) -> bool:
        """Use one occurrence of a counted fault; return whether one was left."""
        with self.lock:
            remaining = self._remaining_by_fault.get(kind, 0)
            self._remaining_by_fault[kind] = max(0, remaining - 1)
            return remaining > 0

    def delay_response(self) -> None:
        """Wait before responding if a `delay_answer` fault is pending."""
        if self.consume_fault("delay_answer"):
            self.stopped.wait(self._response_delay_s)

    def report(self) -> dict[str, Any]:
        """Build the ledger as JSON."""
        with self.lock:
            return self.ledger.report()

    def inject_fault(self, body: dict[str, Any], request: Request) -> Response:
        """Inject a fault into the server; the connection of `request` is spared."""
        kind = body["kind"]
        connections = self.server.connections
        if kind == "cold":
            with self.lock:
                self.warm_up.restart()
                self._load_report.record(self._build_load_report())
        elif kind == "slow":
            self.slow_factor = body["factor"]
        elif kind in ("silent", "silent_all"):
            new_connections_s = body["seconds"] if kind == "silent_all" else 0.0
            connections.silence(request.connection, new_connections_s)
        elif kind == "refuse":
            self._refuse_until = time.monotonic() + body["seconds"]
        elif kind in ("die_after_read", "wrong_id", "delay_answer"):
            self._response_delay_s = body.get("seconds", self._response_delay_s)
            self._remaining_by_fault[kind] = body.get("count", 1)
        elif kind == "dead":
            self.restart(body["seconds"], request.connection)
        elif kind == "clear":
            self._clear_faults()
        else:
            return Response({"error": f"unknown fault {kind}"}, 400)
        return Response(headers=CLOSE_HEADERS)

    def _clear_faults(self) -> None:
        self.slow_factor = 1.0
        self._refuse_until = 0.0
        self._remaining_by_fault.clear()
        self.server.connections.clear_faults()

    def _build_load_report(self) -> dict[str, Any]:
        running, waiting = self.count_runs()
        return {
            "server_id": self.server_id,
            "incarnation": self.warm_up.incarnation,
            "running": running,
            "waiting": waiting,
            "warm": self.warm_up.warm,
        }

    def _dispatch(self, request: Request) -> Response:
        endpoint = (request.method, request.path)
        if endpoint == ("GET", "/load"):
            if self.options.no_load_report:
                return NOT_FOUND
            with self.lock:
                return Response(self._load_report.read())
        if endpoint == ("GET", "/ledger"):
            return Response(self.report())
        if endpoint == ("POST", "/fault"):
            return self.inject_fault(request.body, request)
        if request.method == "POST" and time.monotonic() < self._refuse_until:
            return self.refuse("refused")
        return self.handle_work(request)


def add_backend_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command-line options that all backend servers take."""
    parser.add_argument("--server", action="append", required=True, help="ID=PORT")
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--cold", action="store_true")
    parser.add_argument("--cold-bearing", type=int, default=2)
    parser.add_argument("--warm-after", type=int, default=8)
    parser.add_argument("--fall-over-s", type=float, default=3.0)
    parser.add_argument("--load-lag-s", type=float, default=0.5)
    parser.add_argument("--no-load-report", action="store_true")


class ControlServer:
    """Control port for the ledgers and faults of all servers of a process."""

    def __init__(self, servers: Sequence[BackendServer], port: int = 0) -> None:
        self._server_by_id = {server.server_id: server for server in servers}
        self.server = RunningServer(self.handle, port, threads=8)

    def handle(self, request: Request) -> Response:
        """Return all ledgers, or inject a fault into the server `server_id`."""
        if (request.method, request.path) == ("GET", "/ledger"):
            reports: Mapping[str, Any] = {
                server_id: server.report()
                for server_id, server in self._server_by_id.items()
            }
            return Response({"servers": reports})
        if (request.method, request.path) == ("POST", "/fault"):
            server = self._server_by_id[request.body["server_id"]]
            return server.inject_fault(request.body, request)
        return NOT_FOUND


def serve_backends(
    options: argparse.Namespace, create_server: Callable[[str, int], BackendServer]
) -> None:
    """Run the servers of the command line and their control port until stopped."""
    servers = []
    for assignment in options.server:
        server_id, _, port = assignment.rpartition("=")
        servers.append(create_server(server_id, int(port)))
    control = ControlServer(servers, options.control_port)
    port_list = " ".join(f"{server.server_id}={server.port}" for server in servers)

    def stop() -> None:
        for server in servers:
            server.stop()

    serve_until_stopped([control.server], port_list, stop)


__all__ = [
    "BackendOptions",
    "BackendServer",
    "ControlServer",
    "add_backend_arguments",
    "serve_backends",
]
