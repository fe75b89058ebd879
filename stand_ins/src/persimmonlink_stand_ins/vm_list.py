"""Stand-in for the service that lists VMs with a delay."""

from __future__ import annotations

import argparse
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from persimmonlink_stand_ins.serving import (
    NOT_FOUND,
    Request,
    Response,
    RunningServer,
    serve_until_stopped,
)

DEFAULT_LAG_S = 1.0


class VmList:
    """A list of VMs whose changes become visible after a delay.

    Parameters
    ----------
    vms : list of dict
        Initial content, visible at once.
    lag_s : float
        Seconds until a change becomes visible.
    """

    def __init__(
        self, vms: list[dict[str, Any]] | None = None, lag_s: float = DEFAULT_LAG_S
    ) -> None:
        self._lag_s = lag_s
        self._versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, vms or [])]
        self._lock = threading.Lock()
        self._serves_previous_once = False
        self._outage_until = 0.0
        self._read_count = 0

    def replace(self, vms: list[dict[str, Any]]) -> int:
        """Replace the whole list; return the new version."""
        with self._lock:
            self._versions.append((time.monotonic() + self._lag_s, vms))
            return len(self._versions)

    def handle(self, request: Request) -> Response:
        """Handle a request."""
        if (request.method, request.path) == ("GET", "/v1/vms"):
            return self._read_list(request.if_none_match)
        if (request.method, request.path) == ("POST", "/vms"):
            return Response({"version": self.replace(request.body["vms"])})
        if (request.method, request.path) == ("POST", "/fault"):
            return self._inject_fault(request.body)
        if (request.method, request.path) == ("GET", "/ledger"):
            return Response({"reads": self._read_count, "version": len(self._versions)})
        return NOT_FOUND

    def _read_list(self, known_tag: str) -> Response:
        now = time.monotonic()
        if now < self._outage_until:
            return Response({"error": "outage"}, 503)
        with self._lock:
            self._read_count += 1
            version = sum(visible_at <= now for visible_at, _ in self._versions)
            if self._serves_previous_once and version > 1:
                self._serves_previous_once = False
                version -= 1
            tag = f'"{version}"'
            if known_tag == tag:
                return Response(status=304, headers={"ETag": tag})
            listing = {"version": version, "vms": self._versions[version - 1][1]}
            return Response(listing, headers={"ETag": tag})

    def _inject_fault(self, body: dict[str, Any]) -> Response:
        kind = body["kind"]
        if kind == "outage":
            self._outage_until = time.monotonic() + body["seconds"]
        elif kind == "clear":
            self._outage_until = 0.0
        elif kind == "backwards":
            self._serves_previous_once = True
        elif kind in ("leaving", "live", "remove"):
            return self._update_vm(kind, body["vm_id"])
        else:
            return Response({"error": f"unknown fault {kind}"}, 400)
        return Response()

    def _update_vm(self, kind: str, vm_id: str) -> Response:
        vms = []
        for vm in self._versions[-1][1]:
            if vm["vm_id"] != vm_id:
                vms.append(vm)
            elif kind != "remove":
                vms.append({**vm, "state": kind})
        return Response({"version": self.replace(vms)})


def main(arguments: list[str] | None = None) -> None:
    """Run a VM list service until stopped."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--file", type=Path, help='JSON: {"vms": [...]}')
    parser.add_argument("--lag-s", type=float, default=DEFAULT_LAG_S)
    options = parser.parse_args(arguments)
    vms = None
    if options.file:
        vms = msgspec.json.decode(options.file.read_bytes())["vms"]
    vm_list = VmList(vms, options.lag_s)
    serve_until_stopped([RunningServer(vm_list.handle, options.port, threads=16)])


if __name__ == "__main__":
    main()

__all__ = ["VmList", "main"]
