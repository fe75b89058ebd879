"""Faults of the key-value stand-in."""

from __future__ import annotations

import threading
import time
from base64 import b64decode
from typing import Any

DEFAULT_LOSS_PATH = "/v3/kv/txn"


class KeyValueFaults:
    """The active faults; times are readings of the monotonic clock, in seconds."""

    def __init__(self) -> None:
        self.outage_count = 0
        self.hangs = False
        self.delay_s = 0.0
        self._outage_until = 0.0
        self._slow_until = 0.0
        self._replies_to_lose = 0
        self._loss_path = ""
        self._loss_key_prefix = b""
        self._lock = threading.Lock()

    def inject(self, body: dict[str, Any]) -> bool:
        """Activate a fault; return whether its kind is known."""
        kind = body["kind"]
        now = time.monotonic()
        if kind == "outage":
            self._outage_until = now + body["seconds"]
            self.hangs = body.get("hang", False)
            self.outage_count += 1
        elif kind == "slow":
            self._slow_until = now + body["seconds"]
            self.delay_s = body["delay_s"]
        elif kind == "lose_reply":
            self._loss_path = body.get("path", DEFAULT_LOSS_PATH)
            self._loss_key_prefix = body.get("key_prefix", "").encode()
            self._replies_to_lose = body.get("count", 1)
        elif kind == "clear":
            self._outage_until = self._slow_until = 0.0
            self._replies_to_lose = 0
        else:
            return False
        return True

    def has_outage(self) -> bool:
        """Return whether an outage is active."""
        return time.monotonic() < self._outage_until

    def wait_if_slow(self) -> None:
        """Wait for the added latency while the `slow` fault is active."""
        if time.monotonic() < self._slow_until:
            time.sleep(self.delay_s)

    def consume_reply_loss(self, path: str, body: dict[str, Any]) -> bool:
        """Return whether the reply to a call is lost; use one occurrence if so."""
        with self._lock:
            if not self._replies_to_lose or path != self._loss_path:
                return False
            if not any(
                key.startswith(self._loss_key_prefix) for key in _list_keys(body)
            ):
                return False
            self._replies_to_lose -= 1
            return True


def _list_keys(body: dict[str, Any]) -> list[bytes]:
    requests = [body] if "key" in body else []
    # Reads in a transaction are left out: a lost reply to a read leaves no write whose
    # outcome the client doesn't know.
    for operation in body.get("success", []):
        if "request_range" not in operation:
            requests.extend(operation.values())
    return [b64decode(request.get("key", "")) for request in requests]


__all__ = ["KeyValueFaults"]
