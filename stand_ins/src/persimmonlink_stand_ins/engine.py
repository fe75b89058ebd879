"""Stand-in for model engines with continuous batching."""

from __future__ import annotations

import argparse
import threading
import time
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Any

import msgspec

from persimmonlink_stand_ins.backend import (
    BackendOptions,
    BackendServer,
    add_backend_arguments,
    serve_backends,
)
from persimmonlink_stand_ins.prefix_cache import PrefixCache
from persimmonlink_stand_ins.serving import NOT_FOUND, Request, Response
from persimmonlink_stand_ins.work import BLOCK_CHARACTERS, generate

if TYPE_CHECKING:
    from collections.abc import Iterator

    from persimmonlink_stand_ins.server_state import Run

STREAM_RETENTION_S = 30.0  # How long a finished stream can be resumed.
IDLE_WAIT_S = 0.2  # Interval at which an idle engine checks for a stop.
COMPLETIONS_PATH = "/v1/completions"


@dataclass(frozen=True)
class EngineOptions(BackendOptions):
    """Options of engines.

    Parameters
    ----------
    step_ms : float
        Duration of a decoding step, in milliseconds.
    step_ms_per_stream : float
        Added duration of a step for each running stream, in milliseconds.
    prefill_ms : float
        Duration of the prefill of a prompt without cached blocks, in milliseconds.
    max_running : int
        Streams that run at once.
    max_waiting : int
        Queue capacity; further requests are refused.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    checks_fencing : bool
        Whether orders with an outdated fencing token are rejected.
    """

    step_ms: float = 4.0
    step_ms_per_stream: float = 0.2
    prefill_ms: float = 10.0
    max_running: int = 16
    max_waiting: int = 64
    cache_blocks: int = 256
    checks_fencing: bool = False


class Stream:
    """One completion with its generated tokens and state."""

    def __init__(
        self, body: dict[str, Any], arrival_number: int, lock: threading.RLock
    ) -> None:
        self.request_id: str = body["request_id"]
        self.model: str = body.get("model", "")
        self.account: str = body.get("account", "")
        self.prompt: str = body["prompt"]
        self.sort_key = (body.get("priority", 0), arrival_number)
        self.tokens = generate(self.prompt, max(1, body.get("max_tokens", 16)))
        self.generated_count = 0
        self.outcome: str | None = None
        self.ended_at = 0.0
        self.prefilled_at = 0.0
        self.cached_tokens = 0
        self.run: Run | None = None
        self.state_changed = threading.Condition(lock)

    def set_outcome(self, outcome: str) -> None:
        """End the stream with an outcome; the caller holds the server's lock."""
        self.outcome = outcome
        self.ended_at = time.monotonic()
        self.state_changed.notify_all()

    def encode_event(self, index: int, request_id: str) -> bytes:
        """Encode one token as a server-sent event."""
        is_last = index == len(self.tokens) - 1
        choice = {
            "text": self.tokens[index],
            "finish_reason": "stop" if is_last else None,
        }
        event = {"id": request_id, "index": index, "choices": [choice]}
        if is_last:
            event["usage"] = {
                "prompt_tokens": len(self.prompt.split()),
                "cached_tokens": self.cached_tokens,
                "completion_tokens": len(self.tokens),
            }
        return b"data: " + msgspec.json.encode(event) + b"\n\n"


class EngineServer(BackendServer):
    """An engine that generates one token for each running stream per step."""

    run_name_field = "model"
    options: EngineOptions

    def __init__(
        self, server_id: str, port: int = 0, options: EngineOptions | None = None
    ) -> None:
        self._running: list[Stream] = []
        self._waiting: list[Stream] = []
        self._stream_by_id: dict[str, Stream] = {}
        self._arrival_numbers = count()
        self._fencing_token_by_model: dict[str, int] = {}
        super().__init__(server_id, port, options or EngineOptions())

    def prepare(self) -> None:
        """Create the prefix cache and start the step thread."""
        self._work_available = threading.Condition(self.lock)
        self._cache = PrefixCache(self.options.cache_blocks, self.options.load_lag_s)
        self._step_thread = threading.Thread(
            target=self._step_until_stopped, daemon=True
        )
        self._step_thread.start()

    def count_runs(self) -> tuple[int, int]:
        """Return the numbers of running and of queued streams."""
        return len(self._running), len(self._waiting)

    def abort_runs(self) -> None:
        """Abort and discard all streams; the caller holds the lock."""
        for stream in self._running:
            if stream.run is not None:
                self.ledger.finish(stream.run, "aborted")
            stream.set_outcome("aborted")
        for stream in self._waiting:
            stream.set_outcome("aborted")
        self._running.clear()
        self._waiting.clear()
        self._stream_by_id.clear()
        self._cache.clear()

    def handle_work(self, request: Request) -> Response:
        """Handle a completion, a cancellation, a cache event read or a fenced order."""
        if (request.method, request.path) == ("POST", COMPLETIONS_PATH):
            return self._handle_completion(request)
        if (request.method, request.path) == ("POST", "/v1/orders"):
            return self._handle_order(request.body)
        if (request.method, request.path) == ("GET", "/cache-events"):
            with self.lock:
                events = self._cache.read_events(int(request.query.get("after", 0)))
            return Response({"events": events})
        if request.method == "DELETE" and request.path.startswith(
            f"{COMPLETIONS_PATH}/"
        ):
            return self._cancel(request.path.rpartition("/")[2])
        return NOT_FOUND

    def _handle_completion(self, request: Request) -> Response:
        offset = request.body.get("stream_offset", 0)
        with self.lock:
            if request.connection.is_cut:
                raise request.abort()
            stream = self._stream_by_id.get(request.body["request_id"])
            if offset and stream is None:
                return Response({"error": "no such stream"}, 404, {"X-Not-Run": "1"})
            if not offset or stream is None:
                if len(self._waiting) >= self.options.max_waiting:
                    return self.refuse("full")
                stream = Stream(request.body, next(self._arrival_numbers), self.lock)
                self._stream_by_id[stream.request_id] = stream
                self._waiting.append(stream)
                self.record_load()
                self._work_available.notify_all()
        if self.consume_fault("die_after_read"):
            with self.lock:
                stream.state_changed.wait_for(lambda: stream.outcome is not None)
            raise request.abort()
        request_id = stream.request_id
        if self.consume_fault("wrong_id"):
            request_id = f"other-{request_id}"
        chunks = self._stream_events(request, stream, offset, request_id)
        return Response(chunks=chunks, content_type="text/event-stream")

    def _stream_events(
        self, request: Request, stream: Stream, position: int, request_id: str
    ) -> Iterator[bytes]:
        self.delay_response()
        while position < len(stream.tokens):
            with self.lock:
                while position >= stream.generated_count and stream.outcome is None:
                    stream.state_changed.wait()
                generated_count = stream.generated_count
                if position >= generated_count and stream.outcome != "completed":
                    raise request.abort()
            events = [
                stream.encode_event(token_index, request_id)
                for token_index in range(position, generated_count)
            ]
            position = generated_count
            yield b"".join(events)
        yield b"data: [DONE]\n\n"

    def _cancel(self, request_id: str) -> Response:
        with self.lock:
            if request_id not in self._stream_by_id:
                return NOT_FOUND
            cancelled = 0
            for stream in [*self._running, *self._waiting]:
                if stream.request_id != request_id:
                    continue
                cancelled += 1
                stream.set_outcome("cancelled")
                if stream.run is not None:
                    self.ledger.finish(stream.run, "cancelled")
            self._running = [active for active in self._running if not active.outcome]
            self._waiting = [active for active in self._waiting if not active.outcome]
            self.record_load()
        return Response({"cancelled": cancelled > 0})

    def _handle_order(self, body: dict[str, Any]) -> Response:
        model, token = body.get("model", ""), body["fencing_token"]
        with self.lock:
            highest_token = self._fencing_token_by_model.get(model, token)
            accepted = token >= highest_token or not self.options.checks_fencing
            self._fencing_token_by_model[model] = max(token, highest_token)
            order = {**body, "received_at": time.time(), "accepted": accepted}
            self.ledger.orders.append(order)
        return Response({"accepted": accepted}, 200 if accepted else 409)

    def _step_until_stopped(self) -> None:
        while not self.stopped.is_set():
            with self.lock:
                if not self._running and not self._waiting:
                    self._work_available.wait(IDLE_WAIT_S)
                self._discard_old_streams()
                self._admit_waiting()
                step_ms = self.options.step_ms
                step_ms += self.options.step_ms_per_stream * len(self._running)
            if self._running:
                self.stopped.wait(step_ms / 1000 * self.slow_factor)
            with self.lock:
                self._generate_tokens()

    def _admit_waiting(self) -> None:
        self._waiting.sort(key=lambda stream: stream.sort_key)
        while self._waiting and len(self._running) < self.options.max_running:
            stream = self._waiting.pop(0)
            hits, blocks = self._cache.look_up_and_store(stream.prompt)
            cached_prompt = stream.prompt[: hits * BLOCK_CHARACTERS]
            stream.cached_tokens = len(cached_prompt.split())
            uncached_share = 1 - hits / blocks if blocks else 1.0
            prefill_s = (
                self.options.prefill_ms / 1000 * uncached_share * self.slow_factor
            )
            stream.prefilled_at = time.monotonic() + prefill_s
            stream.run = self.ledger.start(
                stream.request_id, stream.model, stream.account
            )
            self._running.append(stream)
            self.record_load()

    def _generate_tokens(self) -> None:
        now = time.monotonic()
        for stream in list(self._running):
            if now < stream.prefilled_at or stream.run is None:
                continue
            stream.generated_count += 1
            stream.run.tokens += 1
            if stream.generated_count < len(stream.tokens):
                stream.state_changed.notify_all()
                continue
            self._running.remove(stream)
            stream.set_outcome("completed")
            self.ledger.finish(stream.run, "completed")
            self.warm_up.count_completion()
            self.record_load()

    def _discard_old_streams(self) -> None:
        now = time.monotonic()
        for request_id, stream in list(self._stream_by_id.items()):
            if (
                stream.outcome is not None
                and now - stream.ended_at > STREAM_RETENTION_S
            ):
                del self._stream_by_id[request_id]


def main(arguments: list[str] | None = None) -> None:
    """Run engines until stopped."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    add_backend_arguments(parser)
    parser.add_argument("--step-ms", type=float, default=4.0)
    parser.add_argument("--step-ms-per-stream", type=float, default=0.2)
    parser.add_argument("--prefill-ms", type=float, default=10.0)
    parser.add_argument("--max-running", type=int, default=16)
    parser.add_argument("--max-waiting", type=int, default=64)
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--checks-fencing", action="store_true")
    parsed = parser.parse_args(arguments)
    options = EngineOptions(
        **{name: getattr(parsed, name) for name in EngineOptions.__dataclass_fields__}
    )
    serve_backends(parsed, lambda name, port: EngineServer(name, port, options))


if __name__ == "__main__":
    main()

__all__ = ["EngineOptions", "EngineServer", "Stream", "main"]
