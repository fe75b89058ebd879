"""An in-memory key-value store with injected faults, and fake clock and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_interfaces.key_value import KeyRange, KeyValue, SwapOutcome
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping, Sequence

UNAVAILABLE = Failure(ResultCode.KEY_VALUE_UNAVAILABLE, "lost")


class FakeKeyValueStore:
    """Keeps every write in `log`; `choose_fault` decides which message is lost.

    Faults are "none", "request" for a call that never arrives, and "reply" for one
    that takes effect and whose reply is lost.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.entry_by_key: dict[str, KeyValue] = {}
        self.log: list[KeyValue] = []
        self.choose_fault: Callable[[], str] = lambda: "none"
        self.watch_answers: list[KeyRange] = []
        self.watched_from: list[int] = []

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self._store(key, value)

    def read_range(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> Result[KeyRange, Failure]:
        keys = [key for key in self.entry_by_key if key.startswith(prefix)]
        return self.read_keys(keys)

    def read_keys(self, keys: Sequence[str]) -> Result[KeyRange, Failure]:
        if self.choose_fault() != "none":
            return Err(UNAVAILABLE)
        found = [self.entry_by_key[key] for key in keys if key in self.entry_by_key]
        return Success(KeyRange(tuple(found), self.revision))

    def compare_and_swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
        *,
        extra_writes: Mapping[str, bytes] | None = None,
    ) -> Result[SwapOutcome, Failure]:
        fault = self.choose_fault()
        if fault == "request":
            return Err(UNAVAILABLE)
        present = self.entry_by_key.get(key)
        if (present.revision if present else 0) != expected_revision:
            outcome = SwapOutcome(False, self.revision, present)
            return Err(UNAVAILABLE) if fault == "reply" else Success(outcome)
        assert value is not None
        self.put(key, value)
        for other_key, other_value in (extra_writes or {}).items():
            self._store(other_key, other_value)
        if fault == "reply":
            return Err(UNAVAILABLE)
        return Success(SwapOutcome(True, self.revision))

    def grant_lease(self, ttl_s: int) -> Result[int, Failure]:
        return Success(1)

    def watch(self, prefix: str, start_revision: int) -> Iterator[KeyRange]:
        self.watched_from.append(start_revision)
        answers, self.watch_answers = self.watch_answers, []
        yield from answers

    def _store(self, key: str, value: bytes) -> None:
        entry = KeyValue(key, value, self.revision)
        self.entry_by_key[key] = entry
        self.log.append(entry)


class FakeMetrics:
    """Keeps counters and no other metrics."""

    def __init__(self) -> None:
        self.count_by_name: dict[str, float] = {}

    def count(self, name: str, amount: float = 1) -> None:
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount


class FakeClock:
    """A clock that advances only when a test sets `now`."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def unix_ms(self) -> int:
        return int(self.now * 1000)
