"""Holds the configuration and the VM list of a node under one lock."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.configuration import Configuration
from persimmonlink_model.record import CURRENT_SCHEMA_VERSION, RecordKind
from persimmonlink_model.request_id import build_id_prefix
from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_model.server_directory import ServerDirectory, Vm, VmListing
from persimmonlink_node.record_codec import (
    CONFIG_PREFIX,
    TOMBSTONE_VALUE,
    parse_record,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmonlink_interfaces.key_value import KeyValue
    from persimmonlink_model.configuration import RefusedRecord
    from persimmonlink_model.record import (
        AccountSpec,
        PipelineSpec,
        Record,
        ServiceSpec,
    )
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.settings import Settings


@dataclass(frozen=True)
class NodeIdentity:
    """Identity and addresses of a node.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : str
        Unique to each start of the node; later ones sort after earlier ones.
    domain : str
        Failure domain.
    http_address : str
        `IP:PORT` for callers and operators.
    peer_address : str
        `IP:PORT` for peers.
    """

    node_id: str
    incarnation: str
    domain: str
    http_address: str
    peer_address: str

    @property
    def id_prefix(self) -> str:
        """Prefix of the request ids that only this incarnation may run."""
        return build_id_prefix(self.node_id, self.incarnation)


@dataclass(frozen=True)
class ConfigurationVersion:
    """Revision and digest by which two configurations are compared.

    Parameters
    ----------
    revision : int
        Revision of the newest record.
    digest : int
        Digest of all records' revisions.
    """

    revision: int
    digest: int


def create_identity(settings: Settings) -> NodeIdentity:
    """Create the identity, with a new incarnation, of a node that starts now."""
    listen = settings.listen
    peer_port = listen.advertised_peer_port or listen.peer_port
    return NodeIdentity(
        settings.node_id,
        f"{time.time_ns() // 1000:015x}{secrets.token_hex(4)}",
        settings.domain,
        f"{listen.address}:{listen.http_port}",
        f"{listen.address}:{peer_port}",
    )


class NodeState:
    """Holds the configuration and the VM list of a node; safe for all threads.

    Parameters
    ----------
    metrics : Metrics
        Counts refused records and outdated VM lists.
    max_schema_version : int
        Newest schema version that this node supports.
    """

    def __init__(
        self, metrics: Metrics, max_schema_version: int = CURRENT_SCHEMA_VERSION
    ) -> None:
        self._lock = Lock()
        self._metrics = metrics
        self._configuration = Configuration(max_schema_version)
        self._directory = ServerDirectory()
        self._mean_weight = 1.0
        self._on_applied: Callable[[list[Record]], None] | None = None

    @property
    def max_schema_version(self) -> int:
        """Newest schema version that this node supports."""
        return self._configuration.max_schema_version

    def set_applied_listener(self, on_applied: Callable[[list[Record]], None]) -> None:
        """Set the callable that receives records that were new to this node."""
        self._on_applied = on_applied

    def apply_records(
        self, records: Iterable[Record], *, announce: bool = True
    ) -> list[Record]:
        """Apply records newer than the known ones; return those that were new.

        Parameters
        ----------
        records : iterable of Record
            Records from the key-value service or from a peer.
        announce : bool
            Whether to pass the new records to the listener.
        """
        applied = []
        refused = []
        with self._lock:
            for record in records:
                outcome = self._configuration.apply(record)
                if isinstance(outcome, Err):
                    refused.append(outcome.failure())
                    applied.append(record)
                    continue
                if outcome.unwrap():
                    applied.append(record)
            drained = self._configuration.list_drained_domains()
            self._directory.set_drained_domains(drained)
            self._mean_weight = self._configuration.compute_mean_weight()
        for failure in refused:
            self._report_refused(failure)
        if applied and announce and self._on_applied is not None:
            self._on_applied(applied)
        return applied

    def apply_entries(
        self, entries: Iterable[KeyValue], *, announce: bool = True
    ) -> list[Record]:
        """Decode and apply stored records; return those that were new.

        A value that can't be decoded is recorded as refused, and the record in force
        stays.
        """
        records = []
        for entry in entries:
            parsed = parse_record(entry)
            if isinstance(parsed, Err):
                self._mark_entry_refused(entry, parsed.failure())
                continue
            records.append(parsed.unwrap())
        return self.apply_records(records, announce=announce)

    def _mark_entry_refused(self, entry: KeyValue, failure: Failure) -> None:
        path = entry.key.removeprefix(CONFIG_PREFIX)
        value = TOMBSTONE_VALUE if entry.deleted else entry.value
        with self._lock:
            is_new = self._configuration.mark_refused(
                path, entry.revision, failure, value
            )
        if is_new and value != TOMBSTONE_VALUE:
            self._report_refused(failure)

    def _report_refused(self, failure: Failure) -> None:
        logger.error("result code {}: {}", failure.code.value, failure.detail)
        self._metrics.count(f"record_refused.{failure.code.value}")

    def apply_listing(self, listing: VmListing) -> bool:
        """Apply a newer VM list; count and ignore one with an older version."""
        with self._lock:
            if self._directory.apply_listing(listing):
                return True
            known_version = self._directory.version
        logger.warning(
            "result code {}: ignored a VM list that went back from version {} to {}",
            ResultCode.VM_LIST_INVALID.value,
            known_version,
            listing.version,
        )
        self._metrics.count("vm_list_backwards")
        return False

    def find_account(self, name: str) -> AccountSpec | None:
        """Return a client account, or None."""
        with self._lock:
            return self._configuration.find_account(name)

    def find_pipeline(self, name: str) -> PipelineSpec | None:
        """Return a pipeline, or None."""
        with self._lock:
            return self._configuration.find_pipeline(name)

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return a service, or None."""
        with self._lock:
            return self._configuration.find_service(name)

    def compute_mean_weight(self) -> float:
        """Return the mean weight of the client accounts."""
        return self._mean_weight

    def list_services(self) -> dict[str, ServiceSpec]:
        """Return the service specifications by name."""
        with self._lock:
            return self._configuration.list_services()

    def list_servers(self, service: str) -> list[Vm]:
        """Return the backend servers of a service that may accept new work."""
        with self._lock:
            return self._directory.list_servers(service)

    def find_vm(self, vm_id: str) -> Vm | None:
        """Return a VM of the VM list, or None."""
        with self._lock:
            return self._directory.vm_by_id.get(vm_id)

    def list_entry_vms(self) -> list[Vm]:
        """Return all entry VMs of the VM list, leaving ones included."""
        with self._lock:
            return self._directory.list_entry_vms()

    def accepts_work(self, vm: Vm) -> bool:
        """Whether a VM is neither leaving nor in a drained domain."""
        with self._lock:
            return self._directory.accepts_work(vm)

    def is_drained(self, domain: str) -> bool:
        """Whether operators have drained a failure domain."""
        with self._lock:
            return domain in self._directory.drained_domains

    def list_records(self) -> list[Record]:
        """Return the newest records, refused ones included, without deletions."""
        with self._lock:
            return self._configuration.list_records()

    def find_record(self, kind: RecordKind, name: str) -> Record | None:
        """Return the newest record of a name, even a deletion, or None."""
        with self._lock:
            return self._configuration.record_by_key.get((kind, name))

    def list_newer(self, revision: int) -> list[Record]:
        """Return the records written after a revision, oldest first."""
        with self._lock:
            return self._configuration.list_newer(revision)

    def list_unreadable(self, revision: int) -> list[RefusedRecord]:
        """Return the values written after a revision that can't be decoded."""
        with self._lock:
            return self._configuration.list_unreadable(revision)

    def list_without_spec(self) -> list[Record]:
        """Return the records of unsupported schemas without a version in force."""
        with self._lock:
            return self._configuration.list_unsupported()

    def describe(self) -> dict[str, object]:
        """Return the status of the configuration and the VM list for operators."""
        with self._lock:
            configuration = self._configuration
            refused = [
                {
                    "record": r.path,
                    "revision": r.revision,
                    "problem": r.failure.to_problem(),
                }
                for r in configuration.refused_by_path.values()
                if r.value != TOMBSTONE_VALUE
            ]
            drained = dict.fromkeys(self._directory.drained_domains, True)
            revision_by_path = {
                record.path: record.revision
                for record in configuration.applied_by_key.values()
            }
            return {
                "revision": configuration.revision,
                "digest": f"{configuration.digest:016x}",
                "max_schema_version": configuration.max_schema_version,
                "refused_records": refused,
                "drained_domains": drained,
                "in_force_revisions": revision_by_path,
                "vm_list_version": self._directory.version,
            }

    @property
    def revision(self) -> int:
        """Revision of the newest record that this node holds."""
        with self._lock:
            return self._configuration.revision

    @property
    def version(self) -> ConfigurationVersion:
        """Revision and digest, read together under the lock."""
        with self._lock:
            return ConfigurationVersion(
                self._configuration.revision, self._configuration.digest
            )


__all__ = ("ConfigurationVersion", "NodeIdentity", "NodeState", "create_identity")
