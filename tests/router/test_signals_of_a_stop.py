"""Signals that come again, early, or together with others end a router in order."""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

import pytest
from tests.router.process_rig import run_process_rig
from tests.router.rig import wait_until

GRACE_S = 8.0
SIGNAL_INTERVAL_S = 0.0005  # Less than the end of the process takes.


def catches_sigterm(pid: int) -> bool:
    """Whether a process has a handler of SIGTERM."""
    status = Path(f"/proc/{pid}/status").read_text()
    mask = re.search(r"^SigCgt:\s*([0-9a-f]+)$", status, re.MULTILINE)[1]
    return bool(int(mask, 16) & 1 << signal.SIGTERM - 1)


def list_faults(router) -> list[dict[str, object]]:
    """Return the log lines that tell of an error."""
    return [line for line in router.read_log() if line["level"] == "ERROR"]


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1, 0.5])
def test_sigterm_during_the_start_ends_a_router_in_order(tmp_path, delay_s):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1) as rig:
            rig.processes[0].signal(signal.SIGKILL)
            rig.processes[0].process.wait()
            rig.processes[0].log_path.write_text("")
            router = rig.start(0, tmp_path)
            await wait_until(lambda: catches_sigterm(router.process.pid))
            await asyncio.sleep(delay_s)
            router.signal(signal.SIGTERM)
            assert await asyncio.to_thread(router.process.wait, GRACE_S) == 0
            assert list_faults(router) == []
            assert "Traceback" not in router.log_path.read_text()

    asyncio.run(scenario())


def test_signals_during_a_stop_do_not_shorten_it(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1) as rig:
            for server in rig.server_by_id.values():
                server.work_s = 3.0
            request = asyncio.ensure_future(rig.send_request("/book/1"))
            await wait_until(lambda: rig.count_runs("id-0"))
            router = rig.processes[0]
            for number in (
                signal.SIGTERM,
                signal.SIGHUP,
                signal.SIGTERM,
                signal.SIGINT,
                signal.SIGHUP,
            ):
                router.signal(number)
                await asyncio.sleep(0.3)
            response = await request
            assert (response.status, response.is_complete) == (200, True)
            assert await asyncio.to_thread(router.process.wait, GRACE_S) == 0
            assert list_faults(router) == []
            events = [line["event"] for line in router.read_log()]
            assert events.count("process.stopping") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_until_the_end_of_a_stop_leave_it_in_order(tmp_path, number):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1) as rig:
            process = rig.processes[0].process
            rig.processes[0].signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            assert process.returncode == 0
            events = [line["event"] for line in rig.processes[0].read_log()]
            assert "process.stopped" in events

    asyncio.run(scenario())
