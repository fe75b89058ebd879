"""Runs a router as a process: settings, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.decision_log import set_up_decision_log
from persimmonlink_router.router import Adapters, Router
from persimmonlink_router.router_settings import RouterSettings, read_router_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

EXIT_BAD_SETTINGS = 2
SETTINGS_CHECK_S = 2.0  # How often the settings file is looked at for changes.


def run(
    path: Path, connect: Callable[[RouterSettings], Adapters], *, check_only: bool
) -> int:
    """Run a router until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    path : Path
        Settings file.
    connect : callable
        Makes the adapters to the platform.
    check_only : bool
        Whether to check the settings and end.
    """
    read = read_router_settings(path)
    if isinstance(read, Err):
        for fault in read.failure():
            print(f"{path}: {fault.path}: {fault.message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = read.unwrap()
    if check_only:
        print(f"{path}: valid")
        return 0
    set_up_decision_log(settings.node, settings.log_level)
    gc.freeze()
    asyncio.run(_serve(path, settings, connect))
    return 0


async def _serve(
    path: Path, settings: RouterSettings, connect: Callable[[RouterSettings], Adapters]
) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    changed = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    router = Router(settings, connect(settings))
    await router.start()
    watcher = loop.create_task(_watch_settings(path, router, changed, settings))
    await stopped.wait()
    watcher.cancel()
    await router.stop()


async def _watch_settings(
    path: Path, router: Router, changed: asyncio.Event, settings: RouterSettings
) -> None:
    """Reload the settings on a signal, and when the file has changed."""
    while True:
        is_asked = False
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await changed.wait()
            is_asked = True
        except TimeoutError:
            pass
        changed.clear()
        read = read_router_settings(path)
        if isinstance(read, Err):
            faults = [f"{f.path}: {f.message}" for f in read.failure()]
            logger.bind(faults=faults[:5]).error("process.reload_refused")
            continue
        new = read.unwrap()
        if new != settings or is_asked:
            settings = new
            router.reload(new)


__all__ = ("run",)
