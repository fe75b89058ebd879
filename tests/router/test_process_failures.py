"""Router processes are killed, paused, stopped and reloaded while requests run."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from tests.router.process_rig import run_process_rig
from tests.router.rig import STAGED, STREAM, wait_until

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_requests_survive_the_loss_of_the_stage_coordinator(tmp_path, number):
    async def scenario():
        async with run_process_rig(tmp_path) as rig:
            for index in range(3):
                assert (
                    await rig.send_request("/chain/1", node=index, **STAGED)
                ).status == 200
            coordinator = rig.find_coordinator()
            others = [i for i in range(3) if i != coordinator]
            tasks = [
                asyncio.ensure_future(
                    rig.send_request("/chain/1", node=others[i % 2], **STAGED)
                )
                for i in range(8)
            ]
            await asyncio.sleep(0.02)
            rig.processes[coordinator].signal(number)
            responses = await asyncio.gather(*tasks)
            assert [a.status for a in responses] == [200] * 8
            assert all(a.is_complete for a in responses)
            for request_id in rig.ids[-8:]:
                assert rig.count_runs(request_id) == 1

    asyncio.run(scenario())


def test_a_rolling_stop_interrupts_no_request(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path, routers=2) as rig:
            for server in rig.server_by_id.values():
                server.event_count = 60
            tasks = [
                asyncio.ensure_future(
                    rig.send_request("/claim/1", node=i % 2, **STREAM)
                )
                for i in range(10)
            ]
            await asyncio.sleep(0.4)
            for process in rig.processes:
                process.signal(signal.SIGTERM)
                process.signal(signal.SIGTERM)
                await asyncio.sleep(0.3)
            responses = await asyncio.gather(*tasks)
            assert [(a.status, a.is_complete) for a in responses] == [(200, True)] * 10
            for process in rig.processes:
                assert await asyncio.to_thread(process.process.wait, 9) == 0

    asyncio.run(scenario())


def test_mutating_requests_run_at_most_once_while_routers_are_killed(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path) as rig:

            async def book(index: int):
                try:
                    return await rig.send_request("/book/1", node=index % 3, body=b"x")
                except OSError:
                    return None

            tasks = []
            for index in range(60):
                tasks.append(asyncio.ensure_future(book(index)))
                await asyncio.sleep(0.01)
                if index == 20:
                    rig.processes[0].signal(signal.SIGKILL)
                if index == 40:
                    rig.processes[1].signal(signal.SIGKILL)
            responses = await asyncio.gather(*tasks)
            assert max(rig.count_runs(request_id) for request_id in rig.ids) == 1
            for request_id, response in zip(rig.ids, responses, strict=False):
                if response is not None and response.status == 503:
                    assert rig.count_runs(request_id) == 0

    asyncio.run(scenario())


def test_service_recovers_within_seconds_after_all_nodes_are_killed(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path) as rig:
            for process in rig.processes:
                process.signal(signal.SIGKILL)
                process.process.wait()
            for index in range(3):
                rig.start(index, tmp_path)
            async with asyncio.timeout(5):
                for index in range(3):
                    await rig.wait_until_ready(index)
            assert (await rig.send_request("/chain/1", **STAGED)).status == 200

    asyncio.run(scenario())


def test_valid_settings_are_reloaded_and_invalid_ones_rejected(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1) as rig:
            process = rig.processes[0]
            path = tmp_path / "router-0.json"
            good = path.read_text()
            path.write_text("{")
            process.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            path.write_text(good)
            process.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert (await rig.send_request("/book/1")).status == 200
            events = [line["event"] for line in process.read_log()]
            assert "process.reload_rejected" in events
            assert "process.reloaded" in events

    asyncio.run(scenario())


def test_a_stopping_coordinator_transfers_its_running_jobs(tmp_path):
    async def scenario():
        async with run_process_rig(tmp_path) as rig:
            for index in range(3):
                assert (
                    await rig.send_request("/chain/1", node=index, **STAGED)
                ).status == 200
            coordinator = rig.find_coordinator()
            others = [i for i in range(3) if i != coordinator]
            tasks = []
            for index in range(30):
                node = others[index % 2]
                tasks.append(
                    asyncio.ensure_future(
                        rig.send_request("/chain/1", node=node, **STAGED)
                    )
                )
                await asyncio.sleep(0.02)
                if index == 10:
                    rig.processes[coordinator].signal(signal.SIGTERM)
            responses = await asyncio.gather(*tasks)
            assert [a.status for a in responses] == [200] * 30
            log = rig.processes[coordinator].read_log()
            stopping = next(
                line["boot_s"] for line in log if line["event"] == "process.stopping"
            )
            late_batches = [
                line
                for line in log
                if line["event"] == "stages.batch_completed"
                and line["boot_s"] > stopping + 0.2
            ]
            assert late_batches == []

    asyncio.run(scenario())


def survives_sighup(pid: int) -> bool:
    """Whether SIGHUP leaves a process running: it ignores or handles the signal."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks)


def test_no_library_is_imported_before_sighup_is_ignored():
    code = (
        "import sys; before = set(sys.modules); import persimmonlink_adapter.__main__; "
        "loaded = set(sys.modules) - before; "
        "sys.exit(any(n.split('.')[0] in ('asyncio', 'msgspec', 'grpclib', 'loguru') "
        "or n.startswith('persimmonlink_router') for n in loaded))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


IMPORTS_BEFORE_IGNORING = """
import builtins, signal, sys
early, import_module = [], builtins.__import__
signal.signal(signal.SIGHUP, signal.SIG_DFL)

def spy(name, *args, **kwargs):
    if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
        early.append(name)
    return import_module(name, *args, **kwargs)

script = compile(open("deploy/start.py").read(), "deploy/start.py", "exec")
sys.argv = ["start.py", "--check", "--settings", "/nonexistent"]
builtins.__import__ = spy
try:
    exec(script, {"__name__": "__main__", "__file__": "deploy/start.py"})
except SystemExit:
    pass
print(*early)
"""


def test_the_start_script_ignores_sighup_before_it_imports_anything_else():
    done = subprocess.run(
        [sys.executable, "-c", IMPORTS_BEFORE_IGNORING],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    # The interpreter itself asks for _io.
    early = [name for name in done.stdout.split() if name != b"_io"]
    assert early == [b"__future__", b"signal"]


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2, 0.3])
def test_sighup_during_startup_does_not_end_a_router(tmp_path, delay_s):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1) as rig:
            rig.processes[0].signal(signal.SIGKILL)
            rig.processes[0].process.wait()
            router = rig.start(0, tmp_path)
            # Until the first line of the program runs, SIGHUP ends the process.
            await wait_until(lambda: survives_sighup(router.process.pid))
            await asyncio.sleep(delay_s)
            router.signal(signal.SIGHUP)
            await rig.wait_until_ready(0)

    asyncio.run(scenario())
