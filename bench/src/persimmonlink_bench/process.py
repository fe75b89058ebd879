"""Child processes of a deployment, and their ports."""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

STOP_TIMEOUT_S = 20.0
HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 32_000
_RANDOM = random.SystemRandom()
_reservation_by_port: dict[int, socket.socket] = {}


def find_free_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback interface.

    The ports are below the range of ephemeral ports. The UDP port of the same number
    stays bound until `release_ports` or the end of this process, which reserves the
    port, so that concurrent trials don't choose the same ones.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _RANDOM.randrange(FIRST_PORT, LAST_PORT)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind((HOST, port))
            with socket.socket() as probe:
                probe.bind((HOST, port))
        except OSError:
            reservation.close()
            continue
        _reservation_by_port[port] = reservation
        ports.append(port)
    return ports


def release_ports(ports: Iterable[int]) -> None:
    """Give back ports of `find_free_ports` whose processes have ended."""
    for port in ports:
        _reservation_by_port.pop(port).close()


@dataclass
class ChildProcess:
    """A child process and its log file.

    Parameters
    ----------
    name : str
        Name for log files and messages.
    process : subprocess.Popen
        The process.
    log_path : Path
        File that receives its stdout and stderr.
    """

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Send SIGSTOP, which suspends the process until `resume`."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM, for a graceful stop."""
        self.process.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit and return the exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            The process still runs after `timeout_s`.
        """
        return self.process.wait(timeout_s)

    def is_running(self) -> bool:
        """Whether the process has not exited; a paused process counts as running."""
        return self.process.poll() is None

    def read_log(self) -> str:
        """Return the output written so far."""
        return self.log_path.read_text(errors="replace")


def start_process(name: str, module: str, arguments: list[str]) -> ChildProcess:
    """Start a Python module as a child process whose output goes to a log file."""
    with tempfile.NamedTemporaryFile(
        prefix=f"persimmonlink-{name}-", suffix=".log", delete=False
    ) as log:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    return ChildProcess(name, process, Path(log.name))


__all__ = ("HOST", "ChildProcess", "find_free_ports", "release_ports", "start_process")
