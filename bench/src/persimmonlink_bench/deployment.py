"""A complete system on the loopback interface: nodes and stand-ins as processes."""

from __future__ import annotations

import json
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

import jsonc
import urllib3

from persimmonlink_bench.process import ChildProcess, find_free_ports, start_process

if TYPE_CHECKING:
    from types import TracebackType

EXAMPLES_PATH = Path(__file__).parents[3] / "examples"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 10.0
STAND_INS_PACKAGE = "persimmonlink_stand_ins"


@dataclass(frozen=True)
class DeploymentPlan:
    """The processes that a deployment starts, and their settings.

    Parameters
    ----------
    user : str
        User whose example configuration is used: `trentside` or `nilemark`.
    node_count : int
        Number of nodes, spread over the failure domains.
    engine_arguments : tuple of str
        Additional arguments of the engine stand-ins.
    plain_arguments : tuple of str
        Additional arguments of the plain service stand-ins.
    vm_list_lag_s : float
        Lag of the VM list, in seconds.
    node_module : str
        Module that is started for each node.
    settings : dict
        Settings of each node that override the defaults, by section.
    """

    user: str = "trentside"
    node_count: int = 2
    engine_arguments: tuple[str, ...] = ()
    plain_arguments: tuple[str, ...] = ()
    vm_list_lag_s: float = 0.5
    node_module: str = "persimmonlink_node.run"
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass
class NodeHandle:
    """One node of a deployment.

    Parameters
    ----------
    node_id : str
        Id of the node.
    domain : str
        Failure domain of the node.
    http_address : str
        Address for callers and operators, as `IP:PORT`.
    settings_path : Path
        Settings file of the node.
    child : ChildProcess
        Process of the node.
    """

    node_id: str
    domain: str
    http_address: str
    settings_path: Path
    child: ChildProcess


class Deployment:
    """Starts the processes of a plan on entry and stops them on exit.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    """

    def __init__(self, plan: DeploymentPlan) -> None:
        self.plan = plan
        self.records = _load_example(f"{plan.user}.json")
        self.vms: list[dict[str, Any]] = []
        self.node_by_id: dict[str, NodeHandle] = {}
        self.stand_in_by_name: dict[str, ChildProcess] = {}
        self.key_value_address = ""
        self.vm_list_address = ""
        self._http = urllib3.PoolManager(
            maxsize=32, retries=False, timeout=HTTP_TIMEOUT_S
        )
        self._directory = tempfile.TemporaryDirectory(prefix="persimmonlink-trial-")

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def start(self) -> None:
        """Start all processes, apply the configuration and wait until nodes serve.

        Raises
        ------
        TimeoutError
            A stand-in or node is not ready within 30 s.
        RuntimeError
            A stand-in exited, or the configuration was rejected.
        """
        self.vms = self._build_vms()
        self._start_platform()
        self._start_backends()
        for vm in self.vms:
            if vm["role"] == "entry":
                self.start_node(vm["vm_id"])
        first_node = next(iter(self.node_by_id.values()))
        self.wait_for(lambda: self.request("GET", first_node, "/v1/admin/status"))
        self.apply_configuration(self.records)
        for node in self.node_by_id.values():
            self.wait_for(lambda node=node: self._is_serving(node))

    def start_node(self, node_id: str) -> NodeHandle:
        """Start a node, or restart it with its previous settings and address."""
        vm = next(vm for vm in self.vms if vm["vm_id"] == node_id)
        previous = self.node_by_id.get(node_id)
        settings_path = previous.settings_path if previous else self._write_settings(vm)
        child = start_process(
            node_id, self.plan.node_module, ["--settings", str(settings_path)]
        )
        handle = NodeHandle(node_id, vm["domain"], vm["address"], settings_path, child)
        self.node_by_id[node_id] = handle
        return handle

    def wait_until_serving(self, node_id: str) -> None:
        """Wait until a node holds or can request slots of every service."""
        self.wait_for(lambda: self._is_serving(self.node_by_id[node_id]))

    def apply_configuration(self, records: list[dict[str, Any]]) -> None:
        """Write records through the first node whose process is running."""
        for number, record in enumerate(records):
            path = f"/v1/admin/records/{record['kind']}/{record['name']}"
            body = {
                "schema_version": record.get("schema_version", 1),
                "change_id": f"trial-{number}-{time.time_ns()}",
                "spec": record["spec"],
            }
            node = next(n for n in self.node_by_id.values() if n.child.is_running())
            status, answer = self.request("PUT", node, path, body)
            if status != 200:
                raise RuntimeError(f"PUT {path} failed with status {status}: {answer}")

    def request(
        self, method: str, node: NodeHandle, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Send an HTTP request to a node; return its status and decoded JSON body."""
        return self.send(method, node.http_address, path, body)

    def send(
        self, method: str, address: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Send an HTTP request; return its status and decoded JSON body."""
        encoded = None if body is None else json.dumps(body).encode()
        response = self._http.request(method, f"http://{address}{path}", body=encoded)
        return response.status, json.loads(response.data or b"null")

    def inject_fault(self, target: str, kind: str, **fields: object) -> None:
        """Inject a fault into `key_value`, `vm_list` or a backend server."""
        address = self.find_address(target)
        status, answer = self.send("POST", address, "/fault", {"kind": kind, **fields})
        if status != 200:
            raise RuntimeError(f"{target} rejected the fault {kind}: {answer}")

    def read_ledger(self, target: str) -> dict[str, Any]:
        """Return what a stand-in recorded about the work that it ran."""
        return self.send("GET", self.find_address(target), "/ledger")[1]

    def read_ledgers(self, service: str) -> dict[str, dict[str, Any]]:
        """Return the records of a service's servers, read at their control port.

        Unlike the servers' own ports, it answers while a server is overloaded.
        """
        log = self.stand_in_by_name[service].read_log()
        address = log.partition("listening ")[2].split()[0]
        return dict(self.send("GET", address, "/ledger")[1]["servers"])

    def list_backend_vms(self) -> list[dict[str, Any]]:
        """Return the VMs of the user's backend servers; needs no running process."""
        listed = _load_example(f"{self.plan.user}-vms.json")["vms"]
        return [vm for vm in listed if vm["role"] == "backend"]

    def list_servers(self, service: str) -> list[str]:
        """Return the ids of a service's servers."""
        return [vm["vm_id"] for vm in self.vms if vm["service"] == service]

    def read_runs(self, service: str) -> list[dict[str, Any]]:
        """Return all runs recorded by a service's servers, with their server ids."""
        runs = []
        for server_id in self.list_servers(service):
            for run in self.read_ledger(server_id)["runs"]:
                runs.append({**run, "server_id": server_id})
        return runs

    def find_address(self, target: str) -> str:
        """Return the address of `key_value`, `vm_list` or the VM with this id."""
        if target == "key_value":
            return self.key_value_address
        if target == "vm_list":
            return self.vm_list_address
        return next(vm["address"] for vm in self.vms if vm["vm_id"] == target)

    def wait_for(self, condition: Any, timeout_s: float = READY_TIMEOUT_S) -> Any:
        """Wait until a condition returns a true value, and return the value.

        HTTP errors, `OSError` and `KeyError` count as false.

        Raises
        ------
        TimeoutError
            The condition is still false after `timeout_s`.
        """
        timeout_at = time.monotonic() + timeout_s
        last_error: object = None
        while time.monotonic() < timeout_at:
            try:
                value = condition()
            except (urllib3.exceptions.HTTPError, OSError, KeyError) as error:
                value, last_error = None, error
            if value:
                return value
            time.sleep(POLL_INTERVAL_S)
        logs = "\n".join(n.child.read_log()[-2000:] for n in self.node_by_id.values())
        raise TimeoutError(
            f"condition not met within {timeout_s} s; last error: {last_error}\n{logs}"
        )

    def close(self) -> None:
        """Stop all processes: first the nodes gracefully, then the stand-ins."""
        nodes = [node.child for node in self.node_by_id.values()]
        for child in nodes:
            if child.is_running():
                child.resume()
                child.terminate()
        for child in nodes:
            _stop_and_remove_log(child)
        for child in self.stand_in_by_name.values():
            child.terminate()
        for child in self.stand_in_by_name.values():
            _stop_and_remove_log(child)
        self._directory.cleanup()

    def _build_vms(self) -> list[dict[str, Any]]:
        backend_vms = self.list_backend_vms()
        domains = sorted({vm["domain"] for vm in backend_vms})
        entry_vms = []
        for number in range(self.plan.node_count):
            domain = domains[number % len(domains)]
            entry = {"vm_id": f"entry-{number + 1}", "role": "entry", "service": ""}
            entry_vms.append({**entry, "domain": domain, "state": "live"})
        vms = entry_vms + backend_vms
        ports = find_free_ports(len(vms))
        return [
            {**vm, "address": f"127.0.0.1:{port}"}
            for vm, port in zip(vms, ports, strict=True)
        ]

    def _start_platform(self) -> None:
        key_value_port, vm_list_port = find_free_ports(2)
        self.key_value_address = f"127.0.0.1:{key_value_port}"
        self.vm_list_address = f"127.0.0.1:{vm_list_port}"
        path = Path(self._directory.name) / "vms.json"
        path.write_text(json.dumps({"vms": self.vms}))
        self._start_stand_in("key_value", ["--port", str(key_value_port)])
        lag = ["--lag-s", str(self.plan.vm_list_lag_s)]
        self._start_stand_in(
            "vm_list", ["--port", str(vm_list_port), "--file", str(path), *lag]
        )

    def _start_backends(self) -> None:
        spec_by_service = {
            record["name"]: record["spec"]
            for record in self.records
            if record["kind"] == "service"
        }
        for service, spec in spec_by_service.items():
            arguments = []
            for server_id in self.list_servers(service):
                port = self.find_address(server_id).rpartition(":")[2]
                arguments += ["--server", f"{server_id}={port}"]
            if not spec.get("reports_load", True):
                arguments.append("--no-load-report")
            if spec["kind"] == "engine":
                arguments += self.plan.engine_arguments
                self._start_stand_in("engine", arguments, name=service)
                continue
            arguments += self.plan.plain_arguments
            self._start_stand_in("plain_service", arguments, name=service)

    def _start_stand_in(
        self, module: str, arguments: list[str], name: str = ""
    ) -> None:
        child = start_process(
            name or module, f"{STAND_INS_PACKAGE}.{module}", arguments
        )
        self.stand_in_by_name[name or module] = child
        self.wait_for(lambda: "listening" in child.read_log() or _fail_if_exited(child))

    def _write_settings(self, vm: dict[str, Any]) -> Path:
        (peer_port,) = find_free_ports(1)
        settings: dict[str, Any] = {
            "node_id": vm["vm_id"],
            "domain": vm["domain"],
            "listen": {
                "address": "127.0.0.1",
                "http_port": int(vm["address"].rpartition(":")[2]),
                "peer_port": peer_port,
            },
            "key_value": {"addresses": [self.key_value_address]},
            "vm_list": {"address": self.vm_list_address},
        }
        for section, values in self.plan.settings.items():
            settings[section] = settings.get(section, {}) | values
        path = Path(self._directory.name) / f"{vm['vm_id']}.json"
        path.write_text(json.dumps(settings))
        return path

    def _is_serving(self, node: NodeHandle) -> bool:
        _, status = self.request("GET", node, "/v1/admin/status")
        services = {r["name"] for r in self.records if r["kind"] == "service"}
        # An idle node may hold no slot of a service that has few; it requests one when
        # it needs it.
        ready = {
            name
            for name, view in status["services"].items()
            if view["granted"] or view["shared_slots"]
        }
        return services <= ready


def _fail_if_exited(child: ChildProcess) -> bool:
    if not child.is_running():
        raise RuntimeError(
            f"{child.name} exited before it was ready:\n{child.read_log()}"
        )
    return False


def _stop_and_remove_log(child: ChildProcess) -> None:
    if child.is_running():
        try:
            child.wait()
        except subprocess.TimeoutExpired:
            child.kill()
    child.log_path.unlink(missing_ok=True)


def _load_example(name: str) -> Any:
    return jsonc.loads((EXAMPLES_PATH / name).read_text(encoding="utf-8"))


__all__ = ("Deployment", "DeploymentPlan", "NodeHandle")
