"""A deployment with many registered servers and accounts, for capacity measurements."""

from __future__ import annotations

from base64 import b64encode
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import msgspec

from persimmonlink_bench.deployment import Deployment

if TYPE_CHECKING:
    from persimmonlink_bench.deployment import DeploymentPlan

WRITE_THREADS = 8


class ScaledDeployment(Deployment):
    """A deployment whose VM list contains more servers than processes are started.

    The additional servers share the addresses of the real ones, so that few processes
    serve many registered servers. The additional accounts are written to the key-value
    service before the nodes start.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    servers : int
        Number of registered servers, at least that of the user's example. Each copy of
        the services adds the servers of the example once more.
    accounts : int
        Number of client accounts, at least that of the example.
    service_copies : int
        Number of instances of each service of the example, the original included, each
        under its own name.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        servers: int,
        accounts: int,
        service_copies: int = 1,
    ) -> None:
        super().__init__(plan)
        self._service_copies = service_copies
        self._server_count = servers
        self._account_count = accounts
        self._real_servers: list[dict[str, Any]] = []

    def list_servers(self, service: str) -> list[str]:
        """Return the ids of a service's servers that have a process."""
        return [vm["vm_id"] for vm in self._real_servers if vm["service"] == service]

    def _build_vms(self) -> list[dict[str, Any]]:
        vms = super()._build_vms()
        self._real_servers = [vm for vm in vms if vm["role"] == "backend"]
        added_vms = []
        for number in range(self._server_count - len(self._real_servers)):
            real = self._real_servers[number % len(self._real_servers)]
            added_vms.append({**real, "vm_id": f"{real['service']}-wide-{number}"})
        for copy in range(1, self._service_copies):
            for real in self._real_servers:
                name = f"{real['vm_id']}-copy-{copy}"
                service = f"{real['service']}-{copy}"
                added_vms.append({**real, "vm_id": name, "service": service})
        return vms + added_vms

    def _start_backends(self) -> None:
        super()._start_backends()
        services = [record for record in self.records if record["kind"] == "service"]
        for copy in range(1, self._service_copies):
            for record in services:
                self.records.append({**record, "name": f"{record['name']}-{copy}"})
        existing = sum(record["kind"] == "account" for record in self.records)
        names = [f"wide-{number}" for number in range(self._account_count - existing)]
        with ThreadPoolExecutor(WRITE_THREADS) as pool:
            list(pool.map(self._write_account, names))

    def _write_account(self, name: str) -> None:
        value = {"schema_version": 1, "change_id": f"wide-{name}", "spec": {}}
        body = {
            "key": b64encode(f"config/account/{name}".encode()).decode(),
            "value": b64encode(msgspec.json.encode(value)).decode(),
        }
        status, answer = self.send("POST", self.key_value_address, "/v3/kv/put", body)
        if status != 200:
            raise RuntimeError(f"writing account {name} failed: {status} {answer}")


__all__ = ("ScaledDeployment",)
