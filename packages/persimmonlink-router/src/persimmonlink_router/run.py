"""Runs a router as a process: settings, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_router.client_pressure.allocator import return_freed_memory
from persimmonlink_router.router import Adapters, Router
from persimmonlink_router.router_settings import RouterSettings, read_router_settings
from persimmonlink_router.structured_log import set_up_structured_log

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

EXIT_BAD_SETTINGS = 2
EXIT_NOT_STARTED = 3  # An address could not be listened on.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SETTINGS_POLL_INTERVAL_S = 2.0  # Interval of reading the settings file for changes.


def run(
    path: Path,
    create_adapters: Callable[[RouterSettings], Adapters],
    *,
    check_only: bool,
) -> int:
    """Run a router until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    path : Path
        Settings file.
    create_adapters : callable
        Creates the adapters to the platform from the settings.
    check_only : bool
        Whether to check the settings and exit.

    Returns
    -------
    int
        Exit status: 0, `EXIT_BAD_SETTINGS` or `EXIT_NOT_STARTED`.
    """
    result = read_router_settings(path)
    if isinstance(result, Err):
        for fault in result.failure():
            print(f"{path}: {fault.path}: {fault.message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = result.unwrap()
    if check_only:
        print(f"{path}: valid")
        return 0
    log = set_up_structured_log(settings.node, settings.log_level)
    return_freed_memory()
    gc.freeze()
    try:
        return asyncio.run(_serve(path, settings, create_adapters))
    finally:
        log.finish()


async def _serve(
    path: Path,
    settings: RouterSettings,
    create_adapters: Callable[[RouterSettings], Adapters],
) -> int:
    """Serve until a signal; return the exit status."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    router = Router(settings, create_adapters(settings))
    try:
        await router.start()
    except OSError as error:
        logger.bind(code=EXIT_NOT_STARTED, error=str(error)).error(
            "process.not_started"
        )
        return EXIT_NOT_STARTED
    watcher = loop.create_task(
        _watch_settings(path, router, reload_requested, settings)
    )
    await stop_requested.wait()
    watcher.cancel()
    await router.stop()
    # The loop gives up its handlers before the process has written its last lines.
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))
    return 0


async def _watch_settings(
    path: Path,
    router: Router,
    reload_requested: asyncio.Event,
    settings: RouterSettings,
) -> None:
    """Reload the settings on SIGHUP, and when their content has changed."""
    while True:
        is_signalled = False
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload_requested.wait()
            is_signalled = True
        except TimeoutError:
            pass
        reload_requested.clear()
        result = read_router_settings(path)
        if isinstance(result, Err):
            faults = [f"{f.path}: {f.message}" for f in result.failure()]
            logger.bind(faults=faults[:5]).error("process.reload_rejected")
            continue
        new = result.unwrap()
        if new != settings or is_signalled:
            settings = new
            router.reload(new)


__all__ = ("run",)
