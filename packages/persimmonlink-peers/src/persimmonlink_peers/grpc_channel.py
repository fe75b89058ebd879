"""gRPC channel whose failures reach its caller as errors, and as nothing else."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from grpclib import client
from grpclib.client import Channel
from grpclib.utils import DeadlineWrapper

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Any

    from grpclib.protocol import H2Protocol


class CallWrapper(DeadlineWrapper):
    """Ends the waiting of a call with an error, by a cancellation that it takes back.

    That of grpclib leaves the task with a cancellation that nobody asked for, so that
    time limits around or after the call pass for one; and it hides a real one.
    """

    def __init__(self) -> None:
        super().__init__()
        self._cancellations: Counter[asyncio.Task[Any]] = Counter()
        self._cancelling_before: dict[asyncio.Task[Any], int] = {}

    def __enter__(self) -> None:
        super().__enter__()
        for task in self._tasks:
            self._cancelling_before.setdefault(task, task.cancelling())

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_val: BaseException | None,
        exc_tb: TracebackType | None,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        for _ in range(self._cancellations.pop(task, 0)):
            task.uncancel()
        was_cancelled = task.cancelling() > self._cancelling_before.pop(task, 0)
        if was_cancelled and exc_type is asyncio.CancelledError:
            self._tasks.discard(task)
            return
        super().__exit__(exc_type, exc_val, exc_tb)

    def cancel(self, error: Exception) -> None:
        """Raise an error in the tasks that wait."""
        self._cancellations.update(self._tasks)
        super().cancel(error)


client.DeadlineWrapper = CallWrapper  # type: ignore[misc]


class GrpcChannel(Channel):
    """Channel that begins no call on a connection that the peer has closed.

    That of grpclib raises `AttributeError` if a new connection is reset before the
    caller that waits for it runs.
    """

    async def __connect__(self) -> H2Protocol:
        protocol = await super().__connect__()
        if protocol.processor.connection.is_closing():
            raise ConnectionResetError("the peer closed the connection")
        return protocol


__all__ = ("CallWrapper", "GrpcChannel")
